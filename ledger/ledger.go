// Package ledger accounts for the resources of a worker that are reserved for and
// committed to tasks. Only reserved resources can be committed, and the sum never
// exceeds the size of the worker: a violation of this invariant panics.
package ledger

import (
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Ledger holds the reservations of one worker. It is safe for concurrent use.
type Ledger struct {
	mu           sync.Mutex
	total        spar.Size
	used         spar.Size
	reservations map[spar.TaskID]reservation
}

// reservation holds the resources of one task.
type reservation struct {
	size spar.Size
	// expiresAt is when an uncommitted reservation ends; zero once committed.
	expiresAt time.Time
}

// NewLedger returns an empty ledger for a worker with the given total size.
func NewLedger(total spar.Size) *Ledger {
	return &Ledger{total: total, reservations: map[spar.TaskID]reservation{}}
}

// Reserve reserves a size for a task until a time. It returns false if there is
// not enough room. A second call for the same task extends the reservation.
func (l *Ledger) Reserve(id spar.TaskID, size spar.Size, now, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.dropExpired(now)
	if r, ok := l.reservations[id]; ok {
		if !r.expiresAt.IsZero() {
			r.expiresAt = until
			l.reservations[id] = r
		}
		return true
	}
	if !l.used.Add(size).Fits(l.total) {
		return false
	}
	l.reservations[id] = reservation{size: size, expiresAt: until}
	l.used = l.used.Add(size)
	return true
}

// Commit makes a reservation last until Release. It returns false if the
// reservation has expired.
func (l *Ledger) Commit(id spar.TaskID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.dropExpired(now)
	r, ok := l.reservations[id]
	if !ok {
		return false
	}
	r.expiresAt = time.Time{}
	l.reservations[id] = r
	return true
}

// Release frees the resources of a task. It is idempotent.
func (l *Ledger) Release(id spar.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.release(id)
}

// Free returns the size that can still be reserved.
func (l *Ledger) Free(now time.Time) spar.Size {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	return l.total.Sub(l.used)
}

// Total returns the size of the worker that batch work may use.
func (l *Ledger) Total() spar.Size { return l.total }

func (l *Ledger) release(id spar.TaskID) {
	r, ok := l.reservations[id]
	if !ok {
		return
	}
	l.used = l.used.Sub(r.size)
	delete(l.reservations, id)
}

// dropExpired releases the reservations that expired without a commit.
func (l *Ledger) dropExpired(now time.Time) {
	for id, r := range l.reservations {
		if !r.expiresAt.IsZero() && now.After(r.expiresAt) {
			l.release(id)
		}
	}
}

// checkInvariants panics if used differs from the sum of the reservations, or if
// the sum is negative or exceeds the size of the worker.
func (l *Ledger) checkInvariants() {
	var sum spar.Size
	for _, r := range l.reservations {
		sum = sum.Add(r.size)
	}
	if sum != l.used {
		panic(errors.AssertionFailedf("ledger: reservations sum to %s, but used is %s", sum, l.used))
	}
	if !sum.Fits(l.total) || sum.IsNegative() {
		panic(errors.AssertionFailedf("ledger: reservations sum to %s, want between 0 and %s", sum, l.total))
	}
}
