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

// Times of a try.
const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
	maxConns    = 4096
	// hedgeFactor is how many times the expected time a repeatable request
	// waits before a second one is sent.
	hedgeDelayFactor = 3
	minHedgeDelay    = 2 * time.Millisecond
)

var errDial = errors.New("agent not reached")

// result is the end of a try.
type result struct {
	outcome  string
	reason   spar.Reason
	response *fasthttp.Response
}

func (r *result) release() {
	if r.response != nil {
		fasthttp.ReleaseResponse(r.response)
		r.response = nil
	}
}

func notRun(reason spar.Reason) *result { return &result{outcome: hops.NotRun, reason: reason} }

// Dial returns the client of a backend's agent. It never sends a request twice.
func NewBackendClient(address string) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr: address, MaxConns: maxConns, MaxIdleConnDuration: idleTimeout, MaxIdemponentCallAttempts: 1,
		NoDefaultUserAgentHeader: true, MaxResponseBodySize: hops.MaxBodyBytes,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
}

// try sends the request to one backend after the other, as far as it may be
// sent again: what was not run, and what is repeatable.
func (f *Server) sendWithRetries(ctx context.Context, c *fasthttp.RequestCtx, k params) *result {
	f.budget.Deposit()
	var tried []*route.Backend
	last := notRun(spar.ReasonNoWorker)
	for n := range f.settings.Tries {
		now := time.Now()
		b, expected := f.router.Pick(k.service, tried, now)
		if b == nil {
			return last
		}
		if left := k.deadline.Sub(now); left < expected {
			return f.deadlineResult(last, n)
		}
		if n > 0 && !f.budget.TryWithdraw() {
			return last
		}
		if n > 0 {
			f.counters.retried.Inc(1)
		}
		last.release()
		last = f.sendHedged(ctx, c, k, b, &tried, expected)
		if last.outcome == hops.Done || last.outcome == hops.Unknown && !k.repeatable {
			return last
		}
	}
	return last
}

// tooLate keeps what an earlier try told, and otherwise says that no backend
// can answer in time.
func (f *Server) deadlineResult(last *result, tries int) *result {
	if tries > 0 {
		return last
	}
	return notRun(spar.ReasonDeadline)
}

// hedged sends a request, and when a repeatable one is slow, a second one to
// another backend. The first good answer counts.
func (f *Server) sendHedged(ctx context.Context, c *fasthttp.RequestCtx, k params, b *route.Backend, tried *[]*route.Backend, expected time.Duration) *result {
	*tried = append(*tried, b)
	if !k.repeatable || !f.settings.Hedge {
		return f.send(ctx, newAgentRequest(c, k), k, b)
	}
	results := make(chan *result, 2)
	go func(req *fasthttp.Request) { results <- f.send(ctx, req, k, b) }(newAgentRequest(c, k))
	patience := time.NewTimer(max(hedgeDelayFactor*expected, minHedgeDelay))
	defer patience.Stop()
	select {
	case r := <-results:
		return r
	case <-patience.C:
	}
	second, _ := f.router.Pick(k.service, *tried, time.Now())
	if second == nil || !f.budget.TryWithdraw() {
		return <-results
	}
	f.counters.hedged.Inc(1)
	*tried = append(*tried, second)
	go func(req *fasthttp.Request) { results <- f.send(ctx, req, k, second) }(newAgentRequest(c, k))
	return firstDone(results)
}

// firstGood returns the first answer of two that is done, or else the last. The
// other one is dropped when it comes.
func firstDone(results chan *result) *result {
	a := <-results
	if a.outcome == hops.Done {
		go func() { (<-results).release() }()
		return a
	}
	a.release()
	return <-results
}

// copyOf makes the request to an agent, so that it outlives the caller's.
func newAgentRequest(c *fasthttp.RequestCtx, k params) *fasthttp.Request {
	req := fasthttp.AcquireRequest()
	c.Request.CopyTo(req)
	req.Header.Set(hops.Request, k.requestID)
	req.Header.Set(hops.Length, strconv.Itoa(len(req.Body())))
	return req
}

// send makes one try at one backend. It consumes the request.
func (f *Server) send(ctx context.Context, req *fasthttp.Request, k params, b *route.Backend) *result {
	defer fasthttp.ReleaseRequest(req)
	ctx, span := f.Start(ctx, "agent call", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	common.Propagator.Inject(ctx, hops.RequestCarrier{RequestHeader: &req.Header})
	req.SetHost(b.Address())
	req.Header.Set(hops.Budget, strconv.FormatInt(time.Until(k.deadline).Microseconds(), 10))
	res := fasthttp.AcquireResponse()
	b.BeginRequest()
	err := b.Client.DoDeadline(req, res, k.deadline)
	r := f.classify(k, res, err)
	if l, ok := hops.ParseLoad(string(res.Header.Peek(hops.Load))); err == nil && ok {
		b.UpdateLoad(l)
	}
	if reason := f.router.RecordOutcome(b, time.Now(), isHealthy(r)); reason != spar.ReasonNone {
		f.AddDecision(b.Worker(), "ejected", reason, string(r.reason))
		f.Warn("backend ejected", "worker", b.Worker(), "reason", r.reason)
	}
	if r.outcome != hops.Done {
		fasthttp.ReleaseResponse(res)
		return r
	}
	r.response = res
	return r
}

// judge tells what an answer means. An answer that is not the request's own, or
// not whole, is dropped and counted.
func (f *Server) classify(k params, res *fasthttp.Response, err error) *result {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return notRun(spar.ReasonNoWorker)
	}
	if err != nil {
		return &result{outcome: hops.Unknown, reason: spar.ReasonNoAnswer}
	}
	if reason := hops.CheckAnswer(res, hops.Request, k.requestID); reason != spar.ReasonNone {
		f.counters.dropped.Inc(1)
		return &result{outcome: hops.Unknown, reason: reason}
	}
	r := &result{outcome: string(res.Header.Peek(hops.Outcome)), reason: spar.Reason(res.Header.Peek(hops.Reason))}
	if r.outcome != hops.Done && r.outcome != hops.NotRun {
		r.outcome = hops.Unknown
	}
	return r
}

// isHealthy tells whether a result speaks for the backend: refusals because of
// load or a planned stop are no failures.
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
