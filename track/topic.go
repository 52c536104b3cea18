// Package track follows a compacted topic of the store: the newest record of
// each key first, then every record that is written. It keeps no state of its
// own beside the time up to which it has seen everything.
package track

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// retryPause is the pause after a read that failed.
const retryPause = 100 * time.Millisecond

// Topic follows one topic.
type Topic struct {
	Store spar.Store
	Name  string
	// Wait is how long a read waits for the next record; it bounds how old the
	// knowledge becomes on a calm topic.
	Wait time.Duration
	// Reset gets the newest record of each key, when following begins and
	// again when records were dropped before they were read.
	Reset func([]spar.Record)
	// Apply gets the records that follow.
	Apply func([]spar.Record)
	// Failed gets the errors of reads; following goes on.
	Failed func(error)

	fresh atomic.Int64
}

// FreshAt is the time up to which everything written has been seen; zero
// before the first read.
func (t *Topic) FreshAt() time.Time {
	if n := t.fresh.Load(); n != 0 {
		return begin.Add(time.Duration(n))
	}
	return time.Time{}
}

// begin makes steady times of the durations that are stored.
var begin = time.Now()

// Run follows until the context ends, which it reports on the channel.
func (t *Topic) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := int64(-1)
		for ctx.Err() == nil {
			sent := time.Now()
			n, err := t.step(ctx, next)
			if err == nil {
				next = n
				t.fresh.Store(int64(sent.Sub(begin)))
				continue
			}
			if errors.Is(err, spar.ErrGone) {
				next = -1
				continue
			}
			if ctx.Err() == nil && t.Failed != nil {
				t.Failed(err)
			}
			Pause(ctx, retryPause)
		}
		done <- nil
	}()
	return done
}

func (t *Topic) step(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		b, err := t.Store.Newest(ctx, t.Name)
		if err != nil {
			return 0, err
		}
		t.Reset(b.Records)
		return b.Next, nil
	}
	b, err := t.Store.Follow(ctx, t.Name, next, t.Wait)
	if err != nil {
		return 0, err
	}
	if len(b.Records) > 0 {
		t.Apply(b.Records)
	}
	return b.Next, nil
}

// Pause waits for a time or for the end of the context.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
