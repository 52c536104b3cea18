package track

import (
	"context"
	"sync"
	"time"
)

// currentRead is the read of a follower that is in flight and may be sent again. The zero
// value is none.
type currentRead struct {
	mu     sync.Mutex
	sentAt time.Time
	cancel context.CancelFunc
}

// begin returns the context of a read that is sent now, and a function that ends it. Only a
// read that waits for a next record may be sent again: the others have a time limit of
// their own, and a slow store would never answer one in time.
func (r *currentRead) begin(ctx context.Context, now time.Time, waits bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sentAt, r.cancel = now, nil
	if waits {
		r.cancel = cancel
	}
	return ctx, cancel
}

// RepeatRead sends the current read again if it has had no answer for minAge, now
// without waiting for a next record. A read on a connection that has gone silent would
// otherwise hide new records until it times out, long after the store is back.
func (f *Follower) RepeatRead(minAge time.Duration) {
	f.current.mu.Lock()
	defer f.current.mu.Unlock()
	if f.current.cancel != nil && time.Since(f.current.sentAt) >= minAge {
		f.current.cancel()
	}
}
