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

// Faults are the faults of the connection between an agent and its worker.
type Faults struct {
	// Unreachable drops every call: it is not carried out and gets no answer.
	Unreachable bool
	// MuteShare is the share of starts and stops that are dropped like that, while
	// the other calls are answered.
	MuteShare float64
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
}

// noAnswerTimeout is the duration of a call that gets no answer.
const noAnswerTimeout = 300 * time.Millisecond

// callee names the worker in errors.
const callee = "worker"

// NewClient returns a client without faults.
func NewClient(w *Worker, seed uint64) *Client {
	return &Client{worker: w, random: rand.New(rand.NewPCG(seed, 3))}
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

// isMuted draws whether a start or a stop is dropped.
func (c *Client) isMuted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.Float64() < c.faults.MuteShare
}

func (c *Client) drawFaults() (unreachable, late bool, lateBy time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Unreachable, c.random.Float64() < c.faults.LateShare, time.Duration((0.3 + c.random.Float64()) * float64(c.faults.LateBy))
}

// order runs call under the faults in force.
func order[T any](ctx context.Context, c *Client, call func(late bool) (T, error)) (T, error) {
	var zero T
	unreachable, late, lateBy := c.drawFaults()
	if late {
		time.AfterFunc(lateBy, func() { _, _ = call(true) })
	}
	if unreachable || late {
		return zero, delay.NoAnswer(ctx, callee, noAnswerTimeout)
	}
	if err := delay.Sleep(ctx, callee, time.Millisecond); err != nil {
		return zero, err
	}
	out, err := call(false)
	if errors.Is(err, spar.ErrUnknown) && !errors.Is(err, spar.ErrDisconnected) {
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
	var changed <-chan struct{}
	l, err := order(ctx, c, func(bool) (l spar.RunLists, err error) {
		l, changed, err = c.worker.Hold(t, acked, until)
		return l, err
	})
	if err != nil || len(l.Ended) > 0 || wait == 0 {
		return l, err
	}
	delay.AwaitSignal(ctx, wait, changed)
	return order(ctx, c, func(bool) (spar.RunLists, error) {
		l, _, err := c.worker.Hold(t, acked, until)
		return l, err
	})
}
