// Package back is a stand-in for a backend server: slots, and a service time
// that grows with what else runs on its machine. It answers with the identity
// and the body of the request.
package back

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/stand/work"
	"github.com/valyala/fasthttp"
)

// Server answers requests on one machine.
type Server struct {
	worker  *work.Worker
	truth   *work.Truth
	slots   chan struct{}
	service time.Duration
	served  atomic.Int64
}

// NewServer returns a backend server beside a worker.
func NewServer(worker *work.Worker, truth *work.Truth, slots int, service time.Duration) *Server {
	return &Server{worker: worker, truth: truth, slots: make(chan struct{}, slots), service: service}
}

// Served counts the answers.
func (s *Server) Served() int64 { return s.served.Load() }

// Handle serves one request.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	f := s.worker.Faults()
	c.Response.Header.SetBytesV("X-Request-Id", c.Request.Header.Peek("X-Request-Id"))
	if f.Broken {
		c.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	s.slots <- struct{}{}
	time.Sleep(s.duration(f))
	<-s.slots
	if k := c.Request.Header.Peek("Beryl-Key"); len(k) > 0 {
		s.truth.Executed(string(k))
	}
	s.served.Add(1)
	c.SetBody(c.PostBody())
}

// duration draws a service time: exponential around the mean above half of it,
// longer by what the machine's batch tasks take.
func (s *Server) duration(f work.Faults) time.Duration {
	d := float64(s.service) * (0.5 + 0.5*min(rand.ExpFloat64(), 6))
	noise := s.worker.Noise()
	d *= 1 + 4*noise*noise
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	return time.Duration(d)
}
