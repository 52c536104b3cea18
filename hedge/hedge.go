// Package hedge repeats calls whose answers are late, beside the first one, for
// calls that may be carried out more than once.
package hedge

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

const (
	// leastWait is the shortest wait before a call is repeated; a store answers
	// within some milliseconds, and a repeat costs a call.
	leastWait = 60 * time.Millisecond
	// patience is how many times the usual time an answer may take.
	patience = 4
	// tries bounds the calls that are made for one answer.
	tries = 3
	// memory is the weight of the newest answer in the usual time.
	memory = 0.2
)

// Caller makes calls of one kind and learns how long their answers take. The
// zero value is ready to use.
type Caller struct {
	mu    sync.Mutex
	usual time.Duration
}

// wait is how long an answer may take before the call is repeated.
func (c *Caller) wait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(leastWait, patience*c.usual)
}

func (c *Caller) took(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.usual += time.Duration(memory * float64(d-c.usual))
}

// outcome is the answer to one of the calls.
type outcome[T any] struct {
	value T
	err   error
	took  time.Duration
}

// Do makes a call, and makes it again while its answer is late; try counts from 0. It returns the
// first answer that says what was done. An error that is spar.ErrRefused is one
// of the only call that was made: where others may have been carried out, a
// refusal is spar.ErrUnknown. The goroutines of calls that are left behind end
// with the calls, which have deadlines of their own.
func Do[T any](ctx context.Context, c *Caller, call func(ctx context.Context, try int) (T, error)) (T, error) {
	done := make(chan outcome[T], tries)
	launch := func(try int) {
		begun := time.Now()
		v, err := call(ctx, try)
		done <- outcome[T]{v, err, time.Since(begun)}
	}
	go launch(0)
	made, open, wait := 1, 1, c.wait()
	late := time.NewTimer(wait)
	defer late.Stop()
	var none T
	for {
		select {
		case <-ctx.Done():
			return none, errors.Mark(errors.Wrap(ctx.Err(), "no answer"), spar.ErrUnknown)
		case <-late.C:
			if made < tries {
				go launch(made)
				made, open = made+1, open+1
				wait *= 2
				late.Reset(wait)
			}
		case o := <-done:
			open--
			switch {
			case o.err == nil:
				c.took(o.took)
				return o.value, nil
			case !errors.Is(o.err, spar.ErrRefused) && !errors.Is(o.err, spar.ErrUnknown):
				return none, o.err
			case open == 0 && made == 1:
				return none, o.err
			case open == 0:
				return none, errors.Mark(errors.Newf("after %d calls: %v", made, o.err), spar.ErrUnknown)
			}
		}
	}
}
