// Package delay simulates the latency of calls to the stand-ins, calls without
// an answer, and long polls.
package delay

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Sleep waits for d as the latency of a call to callee. It fails with
// spar.ErrUnknown when the context ends first.
func Sleep(ctx context.Context, callee string, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), callee), spar.ErrUnknown)
	case <-t.C:
		return nil
	}
}

// NoAnswer waits for d as a call to callee that gets no answer, and fails with
// spar.ErrUnknown.
func NoAnswer(ctx context.Context, callee string, d time.Duration) error {
	if err := Sleep(ctx, callee, d); err != nil {
		return err
	}
	return errors.Mark(errors.Newf("%s: no answer", callee), spar.ErrUnknown)
}

// AwaitSignal waits until signal is closed, the context ends or d has passed.
func AwaitSignal(ctx context.Context, d time.Duration, signal <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-signal:
	}
}
