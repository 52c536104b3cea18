// Package relay forwards requests to the backend server beside the agent. It
// limits the requests and connections that the backend has at once, refuses
// requests that can't be answered before their deadline, and passes on an answer
// only if it belongs to the request.
package relay

import (
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"go.opentelemetry.io/otel/trace"
)

// Relay forwards requests to one backend server.
type Relay struct {
	common.Common
	settings      Settings
	client        *fasthttp.HostClient
	slots         chan struct{}
	queued        atomic.Int64
	inFlight      atomic.Int64
	serviceTime   movingAverage
	refusalReason func() spar.Reason
	onServiceTime func(time.Duration)
	counters      counters
}

// counters holds the metrics, looked up once instead of for each request.
type counters struct {
	done    tally.Counter
	refused tally.Counter
	bad     tally.Counter
	unknown tally.Counter
}

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
	// A request is refused at once if it would miss its deadline with a wait of
	// waitMarginNumerator/waitMarginDenominator times the expected one. A request
	// that is refused only after queueing has cost its caller the wait.
	waitMarginNumerator   = 3
	waitMarginDenominator = 2
)

var errDial = errors.New("backend not reached")

// NewRelay returns a relay. refusalReason returns why no requests are accepted
// now, or spar.ReasonNone. onServiceTime is called with each service time.
func NewRelay(c common.Common, s Settings, refusalReason func() spar.Reason, onServiceTime func(time.Duration)) *Relay {
	r := &Relay{Common: c, settings: s, slots: make(chan struct{}, s.Slots), refusalReason: refusalReason, onServiceTime: onServiceTime}
	r.client = &fasthttp.HostClient{
		Addr: s.Backend, MaxConns: s.Connections, MaxIdleConnDuration: idleTimeout,
		MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, MaxResponseBodySize: hops.MaxBodyBytes,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial:       dial,
	}
	r.counters = counters{
		done: c.Counter("requests_done"), refused: c.Counter("requests_refused"),
		bad: c.Counter("answers_bad"), unknown: c.Counter("requests_unknown"),
	}
	return r
}

// dial connects to the backend. Its errors are marked with errDial, which means
// that nothing was sent.
func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, dialTimeout)
	return c, errors.Mark(err, errDial)
}

// Load returns the load that is reported to entries.
func (r *Relay) Load() *wire.Load {
	return &wire.Load{
		InFlight: r.inFlight.Load(), Queued: r.queued.Load(), Slots: int64(r.settings.Slots),
		ServiceUs: r.serviceTime.mean().Microseconds(), Leaving: r.refusalReason() == spar.ReasonLeaving,
	}
}

// Pending returns the number of requests that are queued or at the backend.
func (r *Relay) Pending() int64 { return r.inFlight.Load() + r.queued.Load() }

// Handle serves one request of an entry.
func (r *Relay) Handle(c *fasthttp.RequestCtx) {
	requestID := string(c.Request.Header.Peek(hops.Request))
	ctx := common.Propagator.Extract(context.Background(), hops.RequestCarrier{RequestHeader: &c.Request.Header})
	ctx, span := r.Start(ctx, "agent request")
	defer span.End()
	c.Response.Header.Set(hops.Request, requestID)
	if reason := r.admit(c, requestID); reason != spar.ReasonNone {
		r.writeNotRun(c, reason)
		return
	}
	deadline := time.Now().Add(remainingTime(c))
	if reason := r.acquireSlot(deadline); reason != spar.ReasonNone {
		r.writeNotRun(c, reason)
		return
	}
	defer r.releaseSlot()
	r.forward(ctx, c, requestID, deadline)
}

// remainingTime returns the time that the entry allows for the answer; 0 without
// a valid header.
func remainingTime(c *fasthttp.RequestCtx) time.Duration {
	us, err := strconv.ParseInt(string(c.Request.Header.Peek(hops.Budget)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// admit returns why a request must be refused before it gets a slot: its body is
// incomplete, it is for another service, or no requests are accepted now.
func (r *Relay) admit(c *fasthttp.RequestCtx, requestID string) spar.Reason {
	if requestID == "" || string(c.Request.Header.Peek(hops.Length)) != strconv.Itoa(len(c.PostBody())) {
		return spar.ReasonInvalid
	}
	if string(c.Request.Header.Peek(hops.Service)) != r.settings.Service {
		return spar.ReasonUnknownService
	}
	return r.refusalReason()
}

// acquireSlot waits for a slot. It refuses at once a request that is expected to
// miss its deadline, or that the queue has no room for.
func (r *Relay) acquireSlot(deadline time.Time) spar.Reason {
	select {
	case r.slots <- struct{}{}:
		r.inFlight.Add(1)
		return spar.ReasonNone
	default:
	}
	remaining := time.Until(deadline)
	if r.expectedWait()*waitMarginNumerator/waitMarginDenominator+r.serviceTime.mean() > remaining {
		return spar.ReasonDeadline
	}
	if r.queued.Add(1) > int64(r.settings.Queue) {
		r.queued.Add(-1)
		return spar.ReasonQueueFull
	}
	defer r.queued.Add(-1)
	timer := time.NewTimer(remaining - r.serviceTime.mean())
	defer timer.Stop()
	select {
	case r.slots <- struct{}{}:
		r.inFlight.Add(1)
		return spar.ReasonNone
	case <-timer.C:
		return spar.ReasonDeadline
	}
}

// expectedWait returns the expected time until a new request gets a slot.
func (r *Relay) expectedWait() time.Duration {
	ahead := r.queued.Load() + 1
	return r.serviceTime.mean() * time.Duration(ahead) / time.Duration(r.settings.Slots)
}

// releaseSlot frees the slot of an answered request.
func (r *Relay) releaseSlot() {
	r.inFlight.Add(-1)
	<-r.slots
}

// forward sends the request to the backend exactly once, without retries.
func (r *Relay) forward(ctx context.Context, c *fasthttp.RequestCtx, requestID string, deadline time.Time) {
	_, span := r.Start(ctx, "backend call", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.Request.CopyTo(req)
	req.SetHost(r.settings.Backend)
	req.Header.Set(hops.BackendRequest, requestID)
	sent := time.Now()
	err := r.client.DoDeadline(req, res, deadline)
	if err != nil {
		r.handleFailure(c, err)
		return
	}
	elapsed := time.Since(sent)
	r.serviceTime.add(elapsed)
	r.onServiceTime(elapsed)
	if reason := hops.CheckAnswer(res, hops.BackendRequest, requestID); reason != spar.ReasonNone {
		r.counters.bad.Inc(1)
		r.writeUnknown(c, reason)
		return
	}
	r.counters.done.Inc(1)
	res.Header.CopyTo(&c.Response.Header)
	c.Response.Header.Set(hops.Request, requestID)
	c.SetBody(res.Body())
	r.setOutcome(c, hops.Done, spar.ReasonNone)
}

// handleFailure answers a request that got no answer from the backend: not run if
// it was never sent, otherwise unknown.
func (r *Relay) handleFailure(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		r.writeNotRun(c, spar.ReasonNoWorker)
		return
	}
	r.Debug("backend did not answer", "err", err)
	r.writeUnknown(c, spar.ReasonNoAnswer)
}

// writeNotRun answers that the request was not run.
func (r *Relay) writeNotRun(c *fasthttp.RequestCtx, reason spar.Reason) {
	r.counters.refused.Inc(1)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.setOutcome(c, hops.NotRun, reason)
}

// writeUnknown answers that the outcome of the request is unknown.
func (r *Relay) writeUnknown(c *fasthttp.RequestCtx, reason spar.Reason) {
	r.counters.unknown.Inc(1)
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	r.setOutcome(c, hops.Unknown, reason)
}

// setOutcome sets the headers that the entry reads: outcome, reason, length and
// load.
func (r *Relay) setOutcome(c *fasthttp.RequestCtx, outcome string, reason spar.Reason) {
	h := &c.Response.Header
	h.Set(hops.Outcome, outcome)
	if reason != spar.ReasonNone {
		h.Set(hops.Reason, string(reason))
	}
	h.Set(hops.Length, strconv.Itoa(len(c.Response.Body())))
	var b [64]byte
	h.SetBytesV(hops.Load, hops.FormatLoad(b[:0], r.Load()))
}
