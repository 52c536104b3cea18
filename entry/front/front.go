// Package front serves callers' requests. It picks a backend and sends the request
// to the agent there, retries only requests that were not run or are repeatable,
// and returns an answer only if it is complete and belongs to the request.
package front

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/route"
	"github.com/berylspar/spar/tail"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"
)

// Server serves callers' requests.
type Server struct {
	common.Common
	settings        Settings
	name            string
	tail            *tail.Tail
	rules           *rules.Rules
	router          *route.Router
	budget          route.RetryBudget
	isConfigFresh   func() bool
	inFlight        atomic.Int64
	pendingOutcomes sync.WaitGroup
	// background is the context of appends that outlive their request.
	background     context.Context
	stopBackground context.CancelFunc
	counters       counters
}

// counters holds the metrics, looked up once instead of for each request.
type counters struct {
	done    tally.Counter
	notRun  tally.Counter
	unknown tally.Counter
	retried tally.Counter
	hedged  tally.Counter
	dropped tally.Counter
}

// NewServer returns the server of the entry with a session name. isConfigFresh
// reports whether the entry's configuration is recent enough to serve requests.
func NewServer(c common.Common, s Settings, name string, t *tail.Tail, r *rules.Rules, router *route.Router, isConfigFresh func() bool) *Server {
	srv := &Server{Common: c, settings: s, name: name, tail: t, rules: r, router: router, isConfigFresh: isConfigFresh}
	srv.background, srv.stopBackground = context.WithCancel(context.Background())
	srv.counters = counters{
		done: c.Counter("requests_done"), notRun: c.Counter("requests_not_run"), unknown: c.Counter("requests_unknown"),
		retried: c.Counter("requests_retried"), hedged: c.Counter("requests_hedged"), dropped: c.Counter("answers_dropped"),
	}
	return srv
}

// InFlight returns the number of callers' requests that are not answered yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// AwaitOutcomes waits until the outcomes of keyed requests are on the log or ctx
// ends, and then stops the appends that are still running.
func (s *Server) AwaitOutcomes(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		s.pendingOutcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	s.stopBackground()
}

// Handle serves one request of a caller.
func (s *Server) Handle(c *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	now := time.Now()
	ctx := common.Propagator.Extract(context.Background(), hops.RequestCarrier{RequestHeader: &c.Request.Header})
	ctx, span := s.Start(ctx, "entry request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	p, err := parseParams(c, time.Duration(s.settings.DeadlineMS)*time.Millisecond, now)
	if err != nil {
		s.writeStatus(c, fasthttp.StatusBadRequest, hops.NotRun, spar.ReasonInvalid, err.Error()+"\n")
		return
	}
	if !s.isConfigFresh() {
		s.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonNotReady, "")
		return
	}
	if _, ok := s.rules.Load().Service(p.service); !ok {
		s.writeStatus(c, fasthttp.StatusNotFound, hops.NotRun, spar.ReasonUnknownService, "service "+p.service+" is not in the configuration\n")
		return
	}
	p.requestID = newRequestID()
	if p.key != "" {
		s.serveKeyed(ctx, c, p)
		return
	}
	s.writeResult(c, p, s.sendWithRetries(ctx, c, p))
}

// newRequestID returns 128 random bits in hexadecimal.
func newRequestID() string {
	var b [16]byte
	for i := 0; i < len(b); i += 8 {
		v := rand.Uint64()
		for n := range 8 {
			b[i+n] = byte(v >> (8 * n))
		}
	}
	return hex.EncodeToString(b[:])
}

// writeResult answers the caller with a result and releases it.
func (s *Server) writeResult(c *fasthttp.RequestCtx, p params, r *result) {
	defer r.release()
	switch r.outcome {
	case hops.Done:
		s.counters.done.Inc(1)
		c.SetStatusCode(r.response.StatusCode())
		c.SetContentTypeBytes(r.response.Header.ContentType())
		c.SetBody(r.response.Body())
		s.setOutcome(c, hops.Done, spar.ReasonNone)
	case hops.NotRun:
		s.AddDecision(p.requestID, "not run", r.reason, p.service)
		s.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, r.reason, "")
	default:
		s.AddDecision(p.requestID, "outcome unknown", r.reason, p.service)
		s.writeStatus(c, fasthttp.StatusGatewayTimeout, hops.Unknown, r.reason, "")
	}
	c.Response.Header.Set(hops.Request, p.requestID)
}

// writeStatus answers a caller without a backend's answer.
func (s *Server) writeStatus(c *fasthttp.RequestCtx, status int, outcome string, reason spar.Reason, text string) {
	switch outcome {
	case hops.NotRun:
		s.counters.notRun.Inc(1)
	case hops.Unknown:
		s.counters.unknown.Inc(1)
	}
	c.SetStatusCode(status)
	c.SetBodyString(text)
	s.setOutcome(c, outcome, reason)
}

// setOutcome sets the headers of the outcome and of the reason, if there is one.
func (s *Server) setOutcome(c *fasthttp.RequestCtx, outcome string, reason spar.Reason) {
	c.Response.Header.Set(hops.Outcome, outcome)
	if reason != spar.ReasonNone {
		c.Response.Header.Set(hops.Reason, string(reason))
	}
}
