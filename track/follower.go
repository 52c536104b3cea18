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
type Follower struct {
	Store spar.Store
	Topic string
	// Wait is how long a read waits for the next record; it bounds how old the
	// knowledge becomes on a calm topic.
	Wait time.Duration
	// Reset gets the newest record of each key, when following begins and
	// again when records were dropped before they were read.
	OnSnapshot func([]spar.Record)
	// Apply gets the records that follow.
	OnRecords func([]spar.Record)
	// Failed gets the errors of reads; following goes on.
	OnError func(error)

	freshNS atomic.Int64
}

// FreshAt is the time up to which everything written has been seen; zero
// before the first read.
func (f *Follower) FreshAt() time.Time {
	if n := f.freshNS.Load(); n != 0 {
		return startTime.Add(time.Duration(n))
	}
	return time.Time{}
}

// begin makes steady times of the durations that are stored.
var startTime = time.Now()

// Run follows until the context ends, which it reports on the channel.
func (f *Follower) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		next := int64(-1)
		for ctx.Err() == nil {
			sent := time.Now()
			n, err := f.read(ctx, next)
			if err == nil {
				next = n
				f.freshNS.Store(int64(sent.Sub(startTime)))
				continue
			}
			if errors.Is(err, spar.ErrGone) {
				next = -1
				continue
			}
			if ctx.Err() == nil && f.OnError != nil {
				f.OnError(err)
			}
			Pause(ctx, retryPause)
		}
		done <- nil
	}()
	return done
}

func (f *Follower) read(ctx context.Context, next int64) (int64, error) {
	if next < 0 {
		b, err := f.Store.Newest(ctx, f.Topic)
		if err != nil {
			return 0, err
		}
		f.OnSnapshot(b.Records)
		return b.Next, nil
	}
	b, err := f.Store.Follow(ctx, f.Topic, next, f.Wait)
	if err != nil {
		return 0, err
	}
	if len(b.Records) > 0 {
		f.OnRecords(b.Records)
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
