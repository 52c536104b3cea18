// Package back is a stand-in for a backend server. It has a limited number of
// slots, and a service time that grows with the batch tasks on its machine. It
// echoes the id and the body of a request.
package back

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/stand/work"
	"github.com/valyala/fasthttp"
)

// Server serves requests on one machine.
type Server struct {
	worker          *work.Worker
	recorder        *work.Recorder
	slots           chan struct{}
	meanServiceTime time.Duration
	served          atomic.Int64
}

// NewServer returns a backend server beside a worker.
func NewServer(worker *work.Worker, recorder *work.Recorder, slots int, meanServiceTime time.Duration) *Server {
	return &Server{worker: worker, recorder: recorder, slots: make(chan struct{}, slots), meanServiceTime: meanServiceTime}
}

// Served returns the number of requests served.
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
	time.Sleep(s.drawServiceTime(f))
	<-s.slots
	if k := c.Request.Header.Peek("Beryl-Key"); len(k) > 0 {
		s.recorder.CountExecution(string(k))
	}
	s.served.Add(1)
	c.SetBody(c.PostBody())
}

// drawServiceTime draws a service time. It is half of meanServiceTime plus an
// exponential part that averages the other half and is capped at six times that.
// It grows with the square of the interference by batch tasks on the machine.
func (s *Server) drawServiceTime(f work.Faults) time.Duration {
	d := float64(s.meanServiceTime) * (0.5 + 0.5*min(rand.ExpFloat64(), 6))
	noise := s.worker.Interference()
	d *= 1 + 4*noise*noise
	if f.SlowFactor > 0 {
		d *= f.SlowFactor
	}
	return time.Duration(d)
}
