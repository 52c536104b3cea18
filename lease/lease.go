// Package lease tells, on the holder's side, how long a lease still holds. It
// counts from the sending of the question, never from the answer, so that a
// slow answer makes a lease shorter and not longer.
package lease

import (
	"sync"
	"time"
)

// Holder keeps a lease and the age of what was learnt with it. The zero value
// holds nothing.
type Holder struct {
	mu       sync.Mutex
	deadline time.Time
	known    time.Time
	revoked  bool
}

// Renewed records a grant: sent is when its question was sent, and length the
// lease that it grants.
func (h *Holder) Renewed(sent time.Time, length time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.revoked {
		return
	}
	if d := sent.Add(length); d.After(h.deadline) {
		h.deadline = d
	}
}

// Learnt records knowledge that was of an age when the question arrived.
func (h *Holder) Learnt(sent time.Time, age time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if k := sent.Add(-age); k.After(h.known) {
		h.known = k
	}
}

// Revoke ends the lease for good.
func (h *Holder) Revoke() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revoked = true
	h.deadline = time.Time{}
}

// Left is how long the lease holds after now; not above 0 when it has ended.
func (h *Holder) Left(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deadline.IsZero() {
		return 0
	}
	return h.deadline.Sub(now)
}

// Deadline is when the lease ends; zero when none is held.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

// Known is the moment up to which knowledge is complete; zero before the first
// answer.
func (h *Holder) Known() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}
