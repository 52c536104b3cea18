package front

import (
	"context"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/route"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"
)

// Limits of the connections to agents and of hedging.
const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
	maxConns    = 4096
	// A repeatable request is hedged after hedgeDelayFactor times its expected
	// latency, but not before minHedgeDelay.
	hedgeDelayFactor = 3
	minHedgeDelay    = 2 * time.Millisecond
)

var errDial = errors.New("agent not reached")

// result is the outcome of an attempt. The response is set only for hops.Done.
type result struct {
	outcome  string
	reason   spar.Reason
	response *fasthttp.Response
}

// release returns the response to its pool.
func (r *result) release() {
	if r.response != nil {
		fasthttp.ReleaseResponse(r.response)
		r.response = nil
	}
}

func notRun(reason spar.Reason) *result { return &result{outcome: hops.NotRun, reason: reason} }

// NewBackendClient returns the client for the agent of a backend. It never sends a
// request twice by itself.
func NewBackendClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: maxConns, MaxIdleConnDuration: idleTimeout, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: hops.MaxBodyBytes,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
}

// sendWithRetries sends the request to one backend after another. It retries a
// request only if it was not run, or if its outcome is unknown and it is
// repeatable.
func (s *Server) sendWithRetries(ctx context.Context, c *fasthttp.RequestCtx, p params) *result {
	s.budget.Deposit()
	var tried []*route.Backend
	last := notRun(spar.ReasonNoWorker)
	for n := range s.settings.Tries {
		now := time.Now()
		b, expected := s.router.Pick(p.service, tried, now)
		if b == nil {
			return last
		}
		if remaining := p.deadline.Sub(now); remaining < expected {
			return s.deadlineResult(last, n)
		}
		if n > 0 && !s.budget.TryWithdraw() {
			return last
		}
		if n > 0 {
			s.counters.retried.Inc(1)
		}
		last.release()
		last = s.sendHedged(ctx, c, p, b, &tried, expected)
		if last.outcome == hops.Done || last.outcome == hops.Unknown && !p.repeatable {
			return last
		}
	}
	return last
}

// deadlineResult returns the result of the last attempt, or, before the first
// one, that no backend is expected to answer before the deadline.
func (s *Server) deadlineResult(last *result, tries int) *result {
	if tries > 0 {
		return last
	}
	return notRun(spar.ReasonDeadline)
}

// sendHedged sends the request to b. If a repeatable request is slow, it sends a
// second one to another backend and returns the first successful result.
func (s *Server) sendHedged(ctx context.Context, c *fasthttp.RequestCtx, p params, b *route.Backend, tried *[]*route.Backend, expected time.Duration) *result {
	*tried = append(*tried, b)
	if !p.repeatable || !s.settings.Hedge {
		return s.send(ctx, newAgentRequest(c, p), p, b)
	}
	results := make(chan *result, 2)
	go func(req *fasthttp.Request) { results <- s.send(ctx, req, p, b) }(newAgentRequest(c, p))
	hedgeTimer := time.NewTimer(max(hedgeDelayFactor*expected, minHedgeDelay))
	defer hedgeTimer.Stop()
	select {
	case r := <-results:
		return r
	case <-hedgeTimer.C:
	}
	second, _ := s.router.Pick(p.service, *tried, time.Now())
	if second == nil || !s.budget.TryWithdraw() {
		return <-results
	}
	s.counters.hedged.Inc(1)
	*tried = append(*tried, second)
	go func(req *fasthttp.Request) { results <- s.send(ctx, req, p, second) }(newAgentRequest(c, p))
	return firstDone(results)
}

// firstDone returns the first of two results that is done, or else the last one.
// The other result is released when it arrives.
func firstDone(results chan *result) *result {
	a := <-results
	if a.outcome == hops.Done {
		go func() { (<-results).release() }()
		return a
	}
	a.release()
	return <-results
}

// newAgentRequest copies the request for an agent. A hedged attempt may run longer
// than the handler, which owns the caller's request.
func newAgentRequest(c *fasthttp.RequestCtx, p params) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.Request.CopyTo(req)
	req.Header.Set(hops.Request, p.requestID)
	req.Header.Set(hops.Length, strconv.Itoa(len(req.Body())))
	return req
}

// send sends the request to one backend and releases it.
func (s *Server) send(ctx context.Context, req *fasthttp.Request, p params, b *route.Backend) *result {
	defer fasthttp.ReleaseRequest(req)
	ctx, span := s.Start(ctx, "agent call", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	common.Propagator.Inject(ctx, hops.RequestCarrier{RequestHeader: &req.Header})
	req.SetHost(b.Address())
	req.Header.Set(hops.Budget, strconv.FormatInt(time.Until(p.deadline).Microseconds(), 10))
	res := fasthttp.AcquireResponse()
	b.BeginRequest()
	err := b.Client.DoDeadline(req, res, p.deadline)
	r := s.classify(p, res, err)
	if l, ok := hops.ParseLoad(string(res.Header.Peek(hops.Load))); err == nil && ok {
		b.UpdateLoad(l)
	}
	if reason := s.router.RecordOutcome(b, time.Now(), isHealthy(r)); reason != spar.ReasonNone {
		s.AddDecision(b.Worker(), "ejected", reason, string(r.reason))
		s.Warn("backend ejected", "worker", b.Worker(), "reason", r.reason)
	}
	if r.outcome != hops.Done {
		fasthttp.ReleaseResponse(res)
		return r
	}
	r.response = res
	return r
}

// classify returns the result that an answer or error stands for. An answer that
// is incomplete or belongs to another request is dropped and counted.
func (s *Server) classify(p params, res *fasthttp.Response, err error) *result {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notRun(spar.ReasonNoWorker)
	}
	if err != nil {
		return &result{outcome: hops.Unknown, reason: spar.ReasonNoAnswer}
	}
	if reason := hops.CheckAnswer(res, hops.Request, p.requestID); reason != spar.ReasonNone {
		s.counters.dropped.Inc(1)
		return &result{outcome: hops.Unknown, reason: reason}
	}
	r := &result{outcome: string(res.Header.Peek(hops.Outcome)), reason: spar.Reason(res.Header.Peek(hops.Reason))}
	if r.outcome != hops.Done && r.outcome != hops.NotRun {
		r.outcome = hops.Unknown
	}
	return r
}

// isHealthy reports whether a result counts as a success of the backend. Refusals
// because of load, a planned stop or a closed domain are not failures.
func isHealthy(r *result) bool {
	if r.outcome == hops.Done {
		return true
	}
	switch r.reason {
	case spar.ReasonDeadline, spar.ReasonQueueFull, spar.ReasonLeaving, spar.ReasonDomainClosed:
		return true
	}
	return false
}
