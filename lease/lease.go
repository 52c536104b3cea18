// Package lease tracks, on the holder's side, how long a lease remains valid. A
// lease is counted from the time the request was sent, never from the time of
// the answer, so that a slow answer shortens the lease and never extends it.
package lease

import (
	"sync"
	"time"
)

// Holder keeps a lease and the time up to which the holder's knowledge is
// complete. The zero value holds no lease and no knowledge.
type Holder struct {
	mu       sync.Mutex
	deadline time.Time
	known    time.Time
	revoked  bool
}

// Renewed records a grant: sent is when the renewal request was sent, and length
// is the duration of the lease that was granted.
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

// Learnt records an answer to a request. sent is when the request was sent, and
// age is the age that the answering side's knowledge had when it arrived there.
// The knowledge is thus complete at least up to age before sent.
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

// Left returns how long the lease remains valid after now. It is zero or
// negative once the lease has ended.
func (h *Holder) Left(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deadline.IsZero() {
		return 0
	}
	return h.deadline.Sub(now)
}

// Deadline returns when the lease ends, or the zero time when none is held.
func (h *Holder) Deadline() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deadline
}

// Known returns the time up to which the knowledge is complete, or the zero
// time before the first answer.
func (h *Holder) Known() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}
