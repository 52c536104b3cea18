// Package track follows compacted topics of the store: it reads the newest record
// of each key first, then every record that is written.
package track

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// retryPause is the pause after a failed read.
const retryPause = 100 * time.Millisecond

// Follower reads one topic and passes its records on. The only state that it
// keeps is the time up to which it has read everything.
type Follower struct {
	Store spar.Store
	Topic string
	// Wait is how long a read waits for the next record. It bounds the age of
	// FreshAt on an idle topic.
	Wait time.Duration
	// OnSnapshot receives the newest record of each key, at the start and again
	// when records were dropped before they were read.
	OnSnapshot func([]spar.Record)
	// OnRecords receives the records that are written after the snapshot.
	OnRecords func([]spar.Record)
	// OnError receives the errors of reads, which are then repeated.
	OnError func(error)

	// startsAt is where Run begins to read after ContinueFrom.
	startsAt  int64
	continues bool
	// freshNS is FreshAt in nanoseconds since startTime, 0 before the first read.
	freshNS atomic.Int64
	failing atomic.Bool
	current currentRead
}

// FreshAt returns the time up to which every written record has been read; zero
// before the first read.
func (f *Follower) FreshAt() time.Time {
	if n := f.freshNS.Load(); n != 0 {
		return startTime.Add(time.Duration(n))
	}
	return time.Time{}
}

// IsFailing reports whether the last read failed, so that records may be missing that were
// written after FreshAt.
func (f *Follower) IsFailing() bool { return f.failing.Load() }

// startTime is the origin of freshNS. It has a monotonic reading, and so have the
// times that FreshAt computes from it.
var startTime = time.Now()

// ContinueFrom has Run begin behind the newest records that were read elsewhere, which it
// does not pass on. sentAt is when they were requested. It is called before Run.
func (f *Follower) ContinueFrom(newest spar.Batch, sentAt time.Time) {
	f.startsAt, f.continues = newest.Next, true
	f.freshNS.Store(int64(sentAt.Sub(startTime)))
}

// Run starts to follow the topic. Once the context has ended and the last read
// has returned, the channel receives nil.
func (f *Follower) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		next, wait := int64(-1), f.Wait
		if f.continues {
			// The answer tells at once whether anything was written since.
			next, wait = f.startsAt, 0
		}
		for ctx.Err() == nil {
			sent := time.Now()
			readCtx, end := f.current.begin(ctx, sent, next >= 0 && wait > 0)
			b, err := f.read(readCtx, next, wait)
			repeat := err != nil && ctx.Err() == nil && readCtx.Err() != nil
			end()
			wait = f.Wait
			if repeat {
				// The answer tells at once that everything is read.
				wait = 0
				continue
			}
			f.failing.Store(err != nil && !errors.Is(err, spar.ErrGone))
			if err == nil {
				next = b.Next
				if !b.More {
					f.freshNS.Store(int64(sent.Sub(startTime)))
				}
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

// read reads the records from next on, or the newest of each key if next is
// negative, and passes them on.
func (f *Follower) read(ctx context.Context, next int64, wait time.Duration) (spar.Batch, error) {
	if next < 0 {
		b, err := f.Store.Newest(ctx, f.Topic)
		if err == nil {
			f.OnSnapshot(b.Records)
		}
		return b, err
	}
	b, err := f.Store.Follow(ctx, f.Topic, next, wait)
	if err == nil && len(b.Records) > 0 {
		f.OnRecords(b.Records)
	}
	return b, err
}

// Pause waits for d or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
