package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/delay"
	"github.com/cockroachdb/errors"
)

// Faults are the faults of the connection between an agent and its worker. The worker
// is at work meanwhile.
type Faults struct {
	// Unreachable drops every call: it is not carried out and gets no answer.
	Unreachable bool
	// Refused has every connection refused: no call is carried out.
	Refused bool
	// Unanswered has every call carried out and its answer dropped.
	Unanswered bool
	// MuteShare is the share of starts and stops that are dropped like that, while
	// the other calls are answered.
	MuteShare float64
	// ResetShare is the share of calls whose connection is reset, half of them after
	// they were carried out.
	ResetShare float64
	// LateShare is the share of calls that get no answer and are carried out
	// later, after 0.3 to 1.3 times LateBy.
	LateShare float64
	LateBy    time.Duration
}

// MaxDelay is the longest delay of a call that is carried out late.
func (f Faults) MaxDelay() time.Duration { return f.LateBy * 13 / 10 }

// Client is an agent's connection to its worker. It implements spar.Worker.
type Client struct {
	worker *Worker
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	// reset is closed when the connections in use are reset.
	reset chan struct{}
}

// noAnswerTimeout is the duration of a call that gets no answer.
const noAnswerTimeout = 300 * time.Millisecond

// callee names the worker in errors.
const callee = "worker"

// Errors of connections that fail while the worker may be at work.
var (
	errReset   = errors.Mark(errors.Mark(errors.New("worker: connection reset"), spar.ErrDisconnected), spar.ErrUnknown)
	errRefused = errors.Mark(errors.Mark(errors.Mark(errors.New("worker: connection refused"), spar.ErrDisconnected), spar.ErrRefused), spar.ErrNotSent)
)

// NewClient returns a client without faults.
func NewClient(w *Worker, seed uint64) *Client {
	return &Client{worker: w, random: rand.New(rand.NewPCG(seed, 3)), reset: make(chan struct{})}
}

// SetFaults replaces the faults in force.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// Faults returns the faults in force.
func (c *Client) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

// ResetConnections resets the connections of the calls in progress. Later calls have new
// ones.
func (c *Client) ResetConnections() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.reset)
	c.reset = make(chan struct{})
}

// isMuted draws whether a start or a stop is dropped.
func (c *Client) isMuted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.faults.MuteShare
}

// callFaults are the faults that one call meets.
type callFaults struct {
	Faults
	late   bool
	lateBy time.Duration
	// resetBefore and resetAfter report that the connection is reset before or after the
	// call is carried out.
	resetBefore, resetAfter bool
}

func (c *Client) drawFaults() callFaults {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := callFaults{Faults: c.faults, late: c.random.Float64() < c.faults.LateShare, lateBy: time.Duration((0.3 + c.random.Float64()) * float64(c.faults.LateBy))}
	if c.faults.ResetShare > 0 {
		draw := c.random.Float64() / c.faults.ResetShare
		f.resetBefore, f.resetAfter = draw < 0.5, draw >= 0.5 && draw < 1
	}
	return f
}

// connect returns a context that ends with the connections in use now, whose cause is
// then errReset.
func (c *Client) connect(ctx context.Context) (context.Context, context.CancelFunc) {
	c.mu.Lock()
	reset := c.reset
	c.mu.Unlock()
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		select {
		case <-reset:
			cancel(errReset)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(nil) }
}

// order runs call under the faults in force.
func order[T any](ctx context.Context, c *Client, call func(late bool) (T, error)) (T, error) {
	var zero T
	ctx, disconnect := c.connect(ctx)
	defer disconnect()
	out, err := carryOut(ctx, c, call)
	if errors.Is(context.Cause(ctx), errReset) {
		return zero, errReset
	}
	return out, err
}

// carryOut runs call under the faults in force, on connections that are not reset as long
// as the context has not ended.
func carryOut[T any](ctx context.Context, c *Client, call func(late bool) (T, error)) (T, error) {
	var zero T
	f := c.drawFaults()
	if f.Refused {
		return zero, errRefused
	}
	if f.late {
		time.AfterFunc(f.lateBy, func() { _, _ = call(true) })
	}
	if f.Unreachable || f.late {
		return zero, delay.NoAnswer(ctx, callee, noAnswerTimeout)
	}
	if err := delay.Sleep(ctx, callee, time.Millisecond); err != nil {
		return zero, err
	}
	if f.resetBefore {
		return zero, errReset
	}
	out, err := call(false)
	switch {
	case f.resetAfter:
		return zero, errReset
	case f.Unanswered, errors.Is(err, spar.ErrUnknown) && !errors.Is(err, spar.ErrDisconnected):
		return zero, delay.NoAnswer(ctx, callee, noAnswerTimeout)
	}
	return out, err
}

// Start implements spar.Worker.
func (c *Client) Start(ctx context.Context, t spar.Target, o spar.StartOrder) (spar.StartResult, error) {
	if c.isMuted() {
		return "", delay.NoAnswer(ctx, callee, noAnswerTimeout)
	}
	return order(ctx, c, func(late bool) (spar.StartResult, error) { return c.worker.start(t, o, late) })
}

// Stop implements spar.Worker.
func (c *Client) Stop(ctx context.Context, t spar.Target, task spar.TaskRef, run int64) error {
	if c.isMuted() {
		return delay.NoAnswer(ctx, callee, noAnswerTimeout)
	}
	_, err := order(ctx, c, func(bool) (struct{}, error) { return struct{}{}, c.worker.Stop(t, task, run) })
	return err
}

// Pace implements spar.Worker.
func (c *Client) Pace(context.Context, spar.Target, spar.TaskRef, int64, int) error { return nil }

// Hold implements spar.Worker.
func (c *Client) Hold(ctx context.Context, t spar.Target, acked, until int64, wait time.Duration) (spar.RunLists, error) {
	l, changed, err := c.list(ctx, t, acked, until)
	if err != nil || len(l.Ended) > 0 || wait == 0 {
		return l, err
	}
	if err := c.awaitChange(ctx, wait, changed); err != nil {
		return spar.RunLists{}, err
	}
	l, _, err = c.list(ctx, t, acked, until)
	return l, err
}

// list makes one hold call. The lists of another life of the same name are not those that
// were asked for, which only the time of birth in them tells.
func (c *Client) list(ctx context.Context, t spar.Target, acked, until int64) (l spar.RunLists, changed <-chan struct{}, err error) {
	l, err = order(ctx, c, func(bool) (l spar.RunLists, err error) {
		l, changed, err = c.worker.Hold(t, acked, until)
		return l, err
	})
	if err == nil && l.Born != t.Life.Born {
		return spar.RunLists{}, nil, errors.Wrap(spar.ErrOtherLife, "worker")
	}
	return l, changed, err
}

// awaitChange waits for a change of the lists. It fails if the connection is reset
// meanwhile.
func (c *Client) awaitChange(ctx context.Context, wait time.Duration, changed <-chan struct{}) error {
	connected, disconnect := c.connect(ctx)
	defer disconnect()
	delay.AwaitSignal(connected, wait, changed)
	if errors.Is(context.Cause(connected), errReset) {
		return errReset
	}
	return nil
}
