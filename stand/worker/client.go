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

// Faults are what goes wrong between an agent and its worker.
type Faults struct {
	// Cut loses every call.
	Cut bool
	// LateShare is the share of orders that get no answer and are carried out
	// after LateBy.
	LateShare float64
	LateBy    time.Duration
}

// Client is an agent's way to its worker. It implements spar.Worker.
type Client struct {
	worker *Worker
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// callLimit is how long a call without an answer takes.
const callLimit = 300 * time.Millisecond

// who is asked.
const who = "worker"

// NewClient returns a healthy way to a worker.
func NewClient(w *Worker, seed uint64) *Client {
	return &Client{worker: w, random: rand.New(rand.NewPCG(seed, 3))}
}

// SetFaults changes what goes wrong.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

func (c *Client) draw() (cut, late bool, by time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults.Cut, c.random.Float64() < c.faults.LateShare, time.Duration((0.3 + c.random.Float64()) * float64(c.faults.LateBy))
}

// order runs an order under the faults in force.
func order[T any](ctx context.Context, c *Client, do func() (T, error)) (T, error) {
	var zero T
	cut, late, by := c.draw()
	if late {
		time.AfterFunc(by, func() { _, _ = do() })
	}
	if cut || late {
		return zero, delay.Silence(ctx, who, callLimit)
	}
	if err := delay.Sleep(ctx, who, time.Millisecond); err != nil {
		return zero, err
	}
	out, err := do()
	if errors.Is(err, spar.ErrUnknown) {
		return zero, delay.Silence(ctx, who, callLimit)
	}
	return out, err
}

// Start implements spar.Worker.
func (c *Client) Start(ctx context.Context, t spar.Target, o spar.StartOrder) (spar.StartResult, error) {
	return order(ctx, c, func() (spar.StartResult, error) { return c.worker.Start(t, o) })
}

// Stop implements spar.Worker.
func (c *Client) Stop(ctx context.Context, t spar.Target, task spar.TaskRef, run int64) error {
	_, err := order(ctx, c, func() (struct{}, error) { return struct{}{}, c.worker.Stop(t, task, run) })
	return err
}

// Pace implements spar.Worker.
func (c *Client) Pace(context.Context, spar.Target, spar.TaskRef, int64, int) error { return nil }

// Hold implements spar.Worker.
func (c *Client) Hold(ctx context.Context, t spar.Target, acked, until int64, wait time.Duration) (spar.RunLists, error) {
	var more <-chan struct{}
	l, err := order(ctx, c, func() (l spar.RunLists, err error) {
		l, more, err = c.worker.Hold(t, acked, until)
		return l, err
	})
	if err != nil || len(l.Ended) > 0 || wait == 0 {
		return l, err
	}
	delay.Await(ctx, wait, more)
	return order(ctx, c, func() (spar.RunLists, error) {
		l, _, err := c.worker.Hold(t, acked, until)
		return l, err
	})
}
