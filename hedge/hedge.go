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
	minDelay = 60 * time.Millisecond
	// patience is how many times the usual time an answer may take.
	delayFactor = 4
	// tries bounds the calls that are made for one answer.
	maxCalls = 3
	// memory is the weight of the newest answer in the usual time.
	newestWeight = 0.2
)

// Caller makes calls of one kind and learns how long their answers take. The
// zero value is ready to use.
type Latency struct {
	mu   sync.Mutex
	mean time.Duration
}

// wait is how long an answer may take before the call is repeated.
func (l *Latency) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minDelay, delayFactor*l.mean)
}

func (l *Latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += time.Duration(newestWeight * float64(d-l.mean))
}

// outcome is the answer to one of the calls.
type result[T any] struct {
	value    T
	err      error
	duration time.Duration
}

// Do makes a call, and makes it again while its answer is late; try counts from 0. It returns the
// first answer that says what was done. An error that is spar.ErrRefused is one
// of the only call that was made: where others may have been carried out, a
// refusal is spar.ErrUnknown. The goroutines of calls that are left behind end
// with the calls, which have deadlines of their own.
func Do[T any](ctx context.Context, latency *Latency, call func(ctx context.Context, try int) (T, error)) (T, error) {
	results := make(chan result[T], maxCalls)
	launch := func(try int) {
		begun := time.Now()
		v, err := call(ctx, try)
		results <- result[T]{v, err, time.Since(begun)}
	}
	go launch(0)
	started, inFlight, delay := 1, 1, latency.hedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var zero T
	for {
		select {
		case <-ctx.Done():
			return zero, errors.Mark(errors.Wrap(ctx.Err(), "no answer"), spar.ErrUnknown)
		case <-timer.C:
			if started < maxCalls {
				go launch(started)
				started, inFlight = started+1, inFlight+1
				delay *= 2
				timer.Reset(delay)
			}
		case r := <-results:
			inFlight--
			switch {
			case r.err == nil:
				latency.record(r.duration)
				return r.value, nil
			case !errors.Is(r.err, spar.ErrRefused) && !errors.Is(r.err, spar.ErrUnknown):
				return zero, r.err
			case inFlight == 0 && started == 1:
				return zero, r.err
			case inFlight == 0:
				return zero, errors.Mark(errors.Newf("after %d calls: %v", started, r.err), spar.ErrUnknown)
			}
		}
	}
}
