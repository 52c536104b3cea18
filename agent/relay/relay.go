// Package relay forwards requests to the backend server beside the agent. It
// holds the backend's slots and connections, refuses early what can't be
// answered in time, and passes on no answer that isn't the request's own.
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

// Relay forwards requests.
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

// counters are resolved once, off the request's path.
type counters struct {
	done    tally.Counter
	refused tally.Counter
	bad     tally.Counter
	unknown tally.Counter
}

const (
	dialTimeout = 300 * time.Millisecond
	idleTimeout = 30 * time.Second
	// waitMargin over waitWhole is how much longer than expected a wait may be
	// before it would miss the deadline: a request that queues and is refused
	// later has cost its caller the wait.
	waitMarginNumerator   = 3
	waitMarginDenominator = 2
)

var errDial = errors.New("backend not reached")

// NewRelay returns a relay. gate tells why no request is taken now; observe is
// told each service time.
func NewRelay(c common.Common, s Settings, gate func() spar.Reason, observe func(time.Duration)) *Relay {
	r := &Relay{Common: c, settings: s, slots: make(chan struct{}, s.Slots), refusalReason: gate, onServiceTime: observe}
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

func dial(addr string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(addr, dialTimeout)
	return c, errors.Mark(err, errDial)
}

// Load is what to tell entries.
func (r *Relay) Load() *wire.Load {
	return &wire.Load{
		InFlight: r.inFlight.Load(), Queued: r.queued.Load(), Slots: int64(r.settings.Slots),
		ServiceUs: r.serviceTime.mean().Microseconds(), Leaving: r.refusalReason() == spar.ReasonLeaving,
	}
}

// InFlight counts the requests held here.
func (r *Relay) InFlight() int64 { return r.inFlight.Load() + r.queued.Load() }

// Handle serves one request.
func (r *Relay) Handle(c *fasthttp.RequestCtx) {
	identity := string(c.Request.Header.Peek(hops.Request))
	ctx := common.Propagator.Extract(context.Background(), hops.RequestCarrier{RequestHeader: &c.Request.Header})
	ctx, span := r.Start(ctx, "agent request")
	defer span.End()
	c.Response.Header.Set(hops.Request, identity)
	if reason := r.admit(c, identity); reason != spar.ReasonNone {
		r.writeNotRun(c, reason)
		return
	}
	deadline := time.Now().Add(remainingTime(c))
	if reason := r.acquireSlot(deadline); reason != spar.ReasonNone {
		r.writeNotRun(c, reason)
		return
	}
	defer r.releaseSlot()
	r.forward(ctx, c, identity, deadline)
}

func remainingTime(c *fasthttp.RequestCtx) time.Duration {
	us, err := strconv.ParseInt(string(c.Request.Header.Peek(hops.Budget)), 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(us) * time.Microsecond
}

// admit checks what the entry sent.
func (r *Relay) admit(c *fasthttp.RequestCtx, identity string) spar.Reason {
	if identity == "" || string(c.Request.Header.Peek(hops.Length)) != strconv.Itoa(len(c.PostBody())) {
		return spar.ReasonInvalid
	}
	if string(c.Request.Header.Peek(hops.Service)) != r.settings.Service {
		return spar.ReasonUnknownService
	}
	return r.refusalReason()
}

// enter takes a slot, or refuses at once what would wait beyond its deadline.
func (r *Relay) acquireSlot(deadline time.Time) spar.Reason {
	select {
	case r.slots <- struct{}{}:
		r.inFlight.Add(1)
		return spar.ReasonNone
	default:
	}
	left := time.Until(deadline)
	if r.expectedWait()*waitMarginNumerator/waitMarginDenominator+r.serviceTime.mean() > left {
		return spar.ReasonDeadline
	}
	if r.queued.Add(1) > int64(r.settings.Queue) {
		r.queued.Add(-1)
		return spar.ReasonQueueFull
	}
	defer r.queued.Add(-1)
	limit := time.NewTimer(left - r.serviceTime.mean())
	defer limit.Stop()
	select {
	case r.slots <- struct{}{}:
		r.inFlight.Add(1)
		return spar.ReasonNone
	case <-limit.C:
		return spar.ReasonDeadline
	}
}

// wait is the expected time until a new request would get a slot.
func (r *Relay) expectedWait() time.Duration {
	ahead := r.queued.Load() + 1
	return r.serviceTime.mean() * time.Duration(ahead) / time.Duration(r.settings.Slots)
}

func (r *Relay) releaseSlot() {
	r.inFlight.Add(-1)
	<-r.slots
}

// forward sends the request to the backend once, and never again.
func (r *Relay) forward(ctx context.Context, c *fasthttp.RequestCtx, identity string, deadline time.Time) {
	_, span := r.Start(ctx, "backend call", trace.WithSpanKind(trace.SpanKindClient))
	defer span.End()
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c.Request.CopyTo(req)
	req.SetHost(r.settings.Backend)
	req.Header.Set(hops.BackendRequest, identity)
	sent := time.Now()
	err := r.client.DoDeadline(req, res, deadline)
	if err != nil {
		r.handleFailure(c, err)
		return
	}
	took := time.Since(sent)
	r.serviceTime.add(took)
	r.onServiceTime(took)
	if reason := hops.CheckAnswer(res, hops.BackendRequest, identity); reason != spar.ReasonNone {
		r.counters.bad.Inc(1)
		r.writeUnknown(c, reason)
		return
	}
	r.counters.done.Inc(1)
	res.Header.CopyTo(&c.Response.Header)
	c.Response.Header.Set(hops.Request, identity)
	c.SetBody(res.Body())
	r.setOutcome(c, hops.Done, spar.ReasonNone)
}

// failed tells a request that was never sent from one whose outcome nobody
// knows.
func (r *Relay) handleFailure(c *fasthttp.RequestCtx, err error) {
	if errors.Is(err, errDial) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		r.writeNotRun(c, spar.ReasonNoWorker)
		return
	}
	r.Debug("backend did not answer", "err", err)
	r.writeUnknown(c, spar.ReasonNoAnswer)
}

func (r *Relay) writeNotRun(c *fasthttp.RequestCtx, reason spar.Reason) {
	r.counters.refused.Inc(1)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.setOutcome(c, hops.NotRun, reason)
}

func (r *Relay) writeUnknown(c *fasthttp.RequestCtx, reason spar.Reason) {
	r.counters.unknown.Inc(1)
	c.SetStatusCode(fasthttp.StatusGatewayTimeout)
	r.setOutcome(c, hops.Unknown, reason)
}

// seal adds what the entry checks: outcome, length and load.
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
