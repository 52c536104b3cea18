package store

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/delay"
	"github.com/cockroachdb/errors"
)

// Faults are what goes wrong between one instance and the store.
type Faults struct {
	// Cut loses every call: no answer, and nothing done.
	Cut bool
	// Refuse answers every call that it is not served.
	Refuse bool
	// Delay is added to every call.
	Delay time.Duration
	// LostShare is the share of writes that are done and not answered;
	// LateShare that of writes that are done only after LateBy, unanswered.
	LostShare, LateShare float64
	LateBy               time.Duration
}

// Client is one instance's way to the store. It implements spar.Store.
type Client struct {
	store  *Store
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// answerTime is how long a call takes on a calm day, and callLimit how long a
// call without an answer.
const (
	answerTime = 4 * time.Millisecond
	callLimit  = time.Second
)

// who is asked.
const who = "store"

// NewClient returns a healthy way to a store.
func NewClient(s *Store, seed uint64) *Client {
	return &Client{store: s, random: rand.New(rand.NewPCG(seed, 7))}
}

// SetFaults changes what goes wrong.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// fate is what becomes of a call.
type fate struct {
	Faults
	lost, late bool
}

func (c *Client) draw() fate {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := fate{Faults: c.faults}
	d := c.random.Float64()
	f.lost = d < f.LostShare
	f.late = !f.lost && d < f.LostShare+f.LateShare
	return f
}

// call runs a call under the faults in force. A write may be lost or late.
func call[T any](ctx context.Context, c *Client, write bool, do func() (T, error)) (T, error) {
	var zero T
	f := c.draw()
	if err := delay.Sleep(ctx, who, answerTime/2+f.Delay); err != nil {
		return zero, err
	}
	switch {
	case f.Cut:
		return zero, delay.Silence(ctx, who, callLimit)
	case f.Refuse:
		return zero, errors.Mark(errors.New("store: not served"), spar.ErrRefused)
	case write && f.late:
		time.AfterFunc(f.LateBy, func() { _, _ = do() })
		return zero, delay.Silence(ctx, who, callLimit)
	}
	out, err := do()
	if write && f.lost {
		return zero, delay.Silence(ctx, who, callLimit)
	}
	if e := delay.Sleep(ctx, who, answerTime/2); e != nil {
		return zero, e
	}
	return out, err
}

// Append implements spar.Store.
func (c *Client) Append(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) (int64, error) {
	return call(ctx, c, true, func() (int64, error) { return c.store.Append(topic, p, records) })
}

// Follow implements spar.Store.
func (c *Client) Follow(ctx context.Context, topic string, from int64, wait time.Duration) (spar.Batch, error) {
	var more <-chan struct{}
	b, err := call(ctx, c, false, func() (b spar.Batch, err error) {
		b, more, err = c.store.Read(topic, from)
		return b, err
	})
	if err != nil || len(b.Records) > 0 {
		return b, err
	}
	delay.Await(ctx, wait, more)
	return call(ctx, c, false, func() (spar.Batch, error) {
		b, _, err := c.store.Read(topic, from)
		return b, err
	})
}

// Newest implements spar.Store.
func (c *Client) Newest(ctx context.Context, topic string) (spar.Batch, error) {
	return call(ctx, c, false, func() (spar.Batch, error) { return c.store.Newest(topic), nil })
}

// Join implements spar.Store.
func (c *Client) Join(ctx context.Context, m spar.Member) (spar.Membership, error) {
	return call(ctx, c, false, func() (spar.Membership, error) { return c.store.Join(m, time.Now()), nil })
}

// Leave implements spar.Store.
func (c *Client) Leave(ctx context.Context, group, member string) error {
	_, err := call(ctx, c, false, func() (struct{}, error) {
		c.store.Leave(group, member, time.Now())
		return struct{}{}, nil
	})
	return err
}
