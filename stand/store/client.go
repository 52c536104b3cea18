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

// Faults are the faults of the connection between one instance and the store.
type Faults struct {
	// Unreachable drops every call: it is not carried out and gets no answer.
	Unreachable bool
	// Refuse rejects every call with spar.ErrRefused, and RefuseTopic every append to
	// one topic, whose partition is down.
	Refuse      bool
	RefuseTopic string
	// Delay is added to every call.
	Delay time.Duration
	// LostShare is the share of writes that are carried out and not answered;
	// LateShare is the share of writes that are carried out after LateBy and
	// not answered.
	LostShare, LateShare float64
	LateBy               time.Duration
}

// Client is one instance's connection to the store. It implements spar.Store.
type Client struct {
	store  *Store
	link   link
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// callLatency is the duration of a call without faults. noAnswerTimeout is the
// duration of a call that gets no answer.
const (
	callLatency     = 4 * time.Millisecond
	noAnswerTimeout = time.Second
)

// callee names the store in errors.
const callee = "store"

// NewClient returns a client without faults.
func NewClient(s *Store, seed uint64) *Client {
	return &Client{store: s, random: rand.New(rand.NewPCG(seed, 7))}
}

// SetFaults replaces the faults in force.
func (c *Client) SetFaults(f Faults) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.faults = f
}

// drawnFaults are the faults that apply to one call.
type drawnFaults struct {
	Faults
	lost, late bool
}

// Faults returns the faults in force.
func (c *Client) Faults() Faults {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.faults
}

func (c *Client) refusesTopic(topic string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return topic != "" && c.faults.RefuseTopic == topic
}

func (c *Client) drawFaults() drawnFaults {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := drawnFaults{Faults: c.faults}
	draw := c.random.Float64()
	f.lost = draw < f.LostShare
	f.late = !f.lost && draw < f.LostShare+f.LateShare
	return f
}

// call runs op under the faults in force. Only writes get no answer (lost) or
// are carried out late.
func call[T any](ctx context.Context, c *Client, write bool, op func() (T, error)) (T, error) {
	return callWithin(ctx, c, write, noAnswerTimeout, op)
}

// callWithin is call with a time after which a call without an answer fails.
func callWithin[T any](ctx context.Context, c *Client, write bool, timeout time.Duration, op func() (T, error)) (T, error) {
	var zero T
	f := c.drawFaults()
	if err := delay.Sleep(ctx, callee, callLatency/2+f.Delay); err != nil {
		return zero, err
	}
	switch {
	case f.Unreachable:
		return zero, delay.NoAnswer(ctx, callee, timeout)
	case f.Refuse:
		return zero, errors.Mark(errors.New("store: call refused by injected fault"), spar.ErrRefused)
	case write && f.late:
		time.AfterFunc(f.LateBy, func() { _, _ = op() })
		return zero, delay.NoAnswer(ctx, callee, timeout)
	}
	out, err := op()
	if write && f.lost {
		return zero, delay.NoAnswer(ctx, callee, timeout)
	}
	if e := c.link.receive(ctx, answerBytes(out), timeout); e != nil {
		return zero, e
	}
	if e := delay.Sleep(ctx, callee, callLatency/2); e != nil {
		return zero, e
	}
	return out, err
}

// Append implements spar.Store.
func (c *Client) Append(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) (int64, error) {
	return call(ctx, c, true, func() (int64, error) {
		if c.refusesTopic(topic) {
			return 0, errors.Mark(errors.Newf("store: partition of %s is down", topic), spar.ErrRefused)
		}
		return c.store.Append(topic, p, records)
	})
}

// Follow implements spar.Store.
func (c *Client) Follow(ctx context.Context, topic string, from int64, wait time.Duration) (spar.Batch, error) {
	var appended <-chan struct{}
	b, err := callWithin(ctx, c, false, wait+noAnswerTimeout, func() (b spar.Batch, err error) {
		b, appended, err = c.store.Read(topic, from)
		return b, err
	})
	if err != nil || len(b.Records) > 0 {
		return b, err
	}
	delay.AwaitSignal(ctx, wait, appended)
	return call(ctx, c, false, func() (spar.Batch, error) {
		b, _, err := c.store.Read(topic, from)
		return b, err
	})
}

// Newest implements spar.Store.
func (c *Client) Newest(ctx context.Context, topic string) (spar.Batch, error) {
	b, err := call(ctx, c, false, func() (newest, error) { return newest(c.store.Newest(topic)), nil })
	if err != nil {
		return spar.Batch{}, err
	}
	return spar.Batch(b), c.link.receivePages(ctx, b.Records)
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
