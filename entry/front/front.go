// Package front serves callers: it picks a backend, sends the request to the
// agent there, tries again only what may be, and delivers only whole answers
// to the request they belong to.
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

// Front serves callers' requests.
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
	background      context.Context
	stopBackground  context.CancelFunc
	counters        counters
}

// counters are resolved once, off the request's path.
type counters struct {
	done    tally.Counter
	notRun  tally.Counter
	unknown tally.Counter
	retried tally.Counter
	hedged  tally.Counter
	dropped tally.Counter
}

// NewFront returns the front of the entry with a session name. fresh tells
// whether the entry holds a configuration that it may serve by.
func NewServer(c common.Common, s Settings, name string, t *tail.Tail, r *rules.Rules, router *route.Router, fresh func() bool) *Server {
	f := &Server{Common: c, settings: s, name: name, tail: t, rules: r, router: router, isConfigFresh: fresh}
	f.background, f.stopBackground = context.WithCancel(context.Background())
	f.counters = counters{
		done: c.Counter("requests_done"), notRun: c.Counter("requests_not_run"), unknown: c.Counter("requests_unknown"),
		retried: c.Counter("requests_retried"), hedged: c.Counter("requests_hedged"), dropped: c.Counter("answers_dropped"),
	}
	return f
}

// InFlight counts the requests of callers that are not answered yet.
func (f *Server) InFlight() int64 { return f.inFlight.Load() }

// Settle waits until the outcomes of keyed requests are on the log, or the
// context ends.
func (f *Server) AwaitOutcomes(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		f.pendingOutcomes.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	f.stopBackground()
}

// Handle serves one request.
func (f *Server) Handle(c *fasthttp.RequestCtx) {
	f.inFlight.Add(1)
	defer f.inFlight.Add(-1)
	now := time.Now()
	ctx := common.Propagator.Extract(context.Background(), hops.RequestCarrier{RequestHeader: &c.Request.Header})
	ctx, span := f.Start(ctx, "entry request", trace.WithSpanKind(trace.SpanKindServer))
	defer span.End()
	k, err := parseParams(c, time.Duration(f.settings.DeadlineMS)*time.Millisecond, now)
	if err != nil {
		f.writeStatus(c, fasthttp.StatusBadRequest, hops.NotRun, spar.ReasonInvalid, err.Error()+"\n")
		return
	}
	if !f.isConfigFresh() {
		f.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonNotReady, "")
		return
	}
	if _, ok := f.rules.Load().Service(k.service); !ok {
		f.writeStatus(c, fasthttp.StatusNotFound, hops.NotRun, spar.ReasonUnknownService, "service "+k.service+" is not in the configuration\n")
		return
	}
	k.requestID = newRequestID()
	if k.key != "" {
		f.serveKeyed(ctx, c, k)
		return
	}
	f.writeResult(c, k, f.sendWithRetries(ctx, c, k))
}

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

// deliver passes on a result to the caller.
func (f *Server) writeResult(c *fasthttp.RequestCtx, k params, r *result) {
	defer r.release()
	switch r.outcome {
	case hops.Done:
		f.counters.done.Inc(1)
		c.SetStatusCode(r.response.StatusCode())
		c.SetContentTypeBytes(r.response.Header.ContentType())
		c.SetBody(r.response.Body())
		f.setOutcome(c, hops.Done, spar.ReasonNone)
	case hops.NotRun:
		f.AddDecision(k.requestID, "not run", r.reason, k.service)
		f.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, r.reason, "")
	default:
		f.AddDecision(k.requestID, "outcome unknown", r.reason, k.service)
		f.writeStatus(c, fasthttp.StatusGatewayTimeout, hops.Unknown, r.reason, "")
	}
	c.Response.Header.Set(hops.Request, k.requestID)
}

// answer ends a request with no answer of a backend.
func (f *Server) writeStatus(c *fasthttp.RequestCtx, status int, outcome string, reason spar.Reason, text string) {
	switch outcome {
	case hops.NotRun:
		f.counters.notRun.Inc(1)
	case hops.Unknown:
		f.counters.unknown.Inc(1)
	}
	c.SetStatusCode(status)
	c.SetBodyString(text)
	f.setOutcome(c, outcome, reason)
}

func (f *Server) setOutcome(c *fasthttp.RequestCtx, outcome string, reason spar.Reason) {
	c.Response.Header.Set(hops.Outcome, outcome)
	if reason != spar.ReasonNone {
		c.Response.Header.Set(hops.Reason, string(reason))
	}
}
