// Package hedge repeats a call whose answer is late while the first one is still
// in flight. It is for calls that may be carried out more than once.
package hedge

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

const (
	// minDelay is the shortest time before a call is repeated: a store answers
	// within a few milliseconds, and a repeat costs it another call.
	minDelay = 60 * time.Millisecond
	// delayFactor is how many times the mean duration an answer may take before
	// the call is repeated.
	delayFactor = 4
	// maxCalls bounds the calls that are made for one answer.
	maxCalls = 3
	// newestWeight is the weight of the newest duration in the moving mean.
	newestWeight = 0.2
	// slowLinkBytesPerSecond is the rate of the slowest links, less what other calls take.
	slowLinkBytesPerSecond = 1_000_000
)

// TransferTime returns how long a slow link takes for a number of bytes. A call that
// sends them can't have been answered before, and a repeat would hold up all others.
func TransferTime(bytes int) time.Duration {
	return time.Duration(bytes) * time.Second / slowLinkBytesPerSecond
}

// Latency holds the moving mean of how long calls of one kind take. The zero
// value is ready to use.
type Latency struct {
	mu   sync.Mutex
	mean time.Duration
}

// hedgeDelay returns how long an answer may take before the call is repeated.
func (l *Latency) hedgeDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(minDelay, delayFactor*l.mean)
}

// RaiseTo raises the mean to a duration that calls of another kind to the same
// callee take, so that the first late answer is not taken for a lost one.
func (l *Latency) RaiseTo(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean = max(l.mean, d)
}

func (l *Latency) record(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mean += time.Duration(newestWeight * float64(d-l.mean))
}

// result is the result of one of the calls.
type result[T any] struct {
	value    T
	err      error
	duration time.Duration
}

// Do makes a call and repeats it while the answer is late; try counts from 0. It
// returns the first success, or the first error that is neither spar.ErrRefused
// nor spar.ErrUnknown. It returns spar.ErrRefused only if every call that was made
// was refused: if one may have been carried out, a refusal becomes spar.ErrUnknown.
// Calls that are still in flight when Do returns go on until their own deadlines.
func Do[T any](ctx context.Context, latency *Latency, call func(ctx context.Context, try int) (T, error)) (T, error) {
	return DoLarge(ctx, latency, 0, call)
}

// DoOften is Do for a call that has to arrive often although answers may be late. It is
// made as many times as calls says at most, and repeated after maxDelay at the latest.
func DoOften[T any](ctx context.Context, latency *Latency, maxDelay time.Duration, calls int, call func(ctx context.Context, try int) (T, error)) (T, error) {
	return do(ctx, latency, schedule{maxDelay: maxDelay, maxCalls: calls}, call)
}

// DoLarge is Do for a call that sends a number of bytes.
func DoLarge[T any](ctx context.Context, latency *Latency, bytes int, call func(ctx context.Context, try int) (T, error)) (T, error) {
	return do(ctx, latency, schedule{extraDelay: TransferTime(bytes), maxDelay: math.MaxInt64, maxCalls: maxCalls}, call)
}

// schedule is when and how often a call is repeated.
type schedule struct {
	// extraDelay is added to the first delay, and maxDelay bounds each.
	extraDelay, maxDelay time.Duration
	maxCalls             int
}

func do[T any](ctx context.Context, latency *Latency, s schedule, call func(ctx context.Context, try int) (T, error)) (T, error) {
	results := make(chan result[T], s.maxCalls)
	launch := func(try int) {
		begun := time.Now()
		v, err := call(ctx, try)
		results <- result[T]{v, err, time.Since(begun)}
	}
	go launch(0)
	started, inFlight, delay, unsure := 1, 1, min(latency.hedgeDelay()+s.extraDelay, s.maxDelay), false
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var zero T
	for {
		select {
		case <-ctx.Done():
			return zero, errors.Mark(errors.Wrap(ctx.Err(), "wait for an answer"), spar.ErrUnknown)
		case <-timer.C:
			if started < s.maxCalls {
				go launch(started)
				started, inFlight = started+1, inFlight+1
				delay = min(2*delay, s.maxDelay)
				timer.Reset(delay)
			}
		case r := <-results:
			inFlight--
			unsure = unsure || errors.Is(r.err, spar.ErrUnknown)
			switch {
			case r.err == nil:
				latency.record(r.duration)
				return r.value, nil
			case !errors.Is(r.err, spar.ErrRefused) && !errors.Is(r.err, spar.ErrUnknown):
				return zero, r.err
			case inFlight == 0 && !unsure:
				return zero, r.err
			case inFlight == 0:
				return zero, errors.Mark(errors.Newf("no success after %d calls, last error: %v", started, r.err), spar.ErrUnknown)
			}
		}
	}
}
