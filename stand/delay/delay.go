// Package delay makes the stand-ins' callers wait: for an answer's way, for
// answers that never come, and for news.
package delay

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Sleep takes a time of a call to someone. It fails with spar.ErrUnknown when the
// context ends before.
func Sleep(ctx context.Context, who string, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Mark(errors.Wrap(ctx.Err(), who), spar.ErrUnknown)
	case <-t.C:
		return nil
	}
}

// Silence waits for an answer that does not come, and fails with
// spar.ErrUnknown.
func Silence(ctx context.Context, who string, d time.Duration) error {
	if err := Sleep(ctx, who, d); err != nil {
		return err
	}
	return errors.Mark(errors.Newf("%s: no answer", who), spar.ErrUnknown)
}

// Await waits for news, for some time at most.
func Await(ctx context.Context, d time.Duration, news <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-news:
	}
}
