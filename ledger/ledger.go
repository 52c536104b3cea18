// Package ledger accounts for what a worker has promised. Nothing is committed
// that was not reserved here, and the sum never exceeds the worker: a breach
// is a broken invariant and stops the process.
package ledger

import (
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Ledger keeps the reservations of one worker.
type Ledger struct {
	mu           sync.Mutex
	total        spar.Size
	used         spar.Size
	reservations map[spar.TaskID]reservation
}

type reservation struct {
	size spar.Size
	// lapses is when an uncommitted reservation ends; zero once committed.
	expiresAt time.Time
}

// NewLedger returns an empty ledger of a worker of a size.
func NewLedger(total spar.Size) *Ledger {
	return &Ledger{total: total, reservations: map[spar.TaskID]reservation{}}
}

// Reserve holds a size for a task until a time. It tells false when there is
// no room. A second call for the same task extends the reservation.
func (l *Ledger) Reserve(id spar.TaskID, size spar.Size, now, until time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.dropExpired(now)
	if n, ok := l.reservations[id]; ok {
		if !n.expiresAt.IsZero() {
			n.expiresAt = until
			l.reservations[id] = n
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

// Commit turns a reservation into a commitment that lasts until Release. It
// tells false when the reservation has lapsed.
func (l *Ledger) Commit(id spar.TaskID, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.dropExpired(now)
	n, ok := l.reservations[id]
	if !ok {
		return false
	}
	n.expiresAt = time.Time{}
	l.reservations[id] = n
	return true
}

// Release gives back what a task holds. It is idempotent.
func (l *Ledger) Release(id spar.TaskID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.checkInvariants()
	l.release(id)
}

// Free is what can still be reserved.
func (l *Ledger) Free(now time.Time) spar.Size {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired(now)
	return l.total.Sub(l.used)
}

// Total is the size of the worker that batch work may use.
func (l *Ledger) Total() spar.Size { return l.total }

func (l *Ledger) release(id spar.TaskID) {
	n, ok := l.reservations[id]
	if !ok {
		return
	}
	l.used = l.used.Sub(n.size)
	delete(l.reservations, id)
}

func (l *Ledger) dropExpired(now time.Time) {
	for id, n := range l.reservations {
		if !n.expiresAt.IsZero() && now.After(n.expiresAt) {
			l.release(id)
		}
	}
}

// assert holds the promise that no worker is committed beyond its size.
func (l *Ledger) checkInvariants() {
	var sum spar.Size
	for _, n := range l.reservations {
		sum = sum.Add(n.size)
	}
	if sum != l.used {
		panic(errors.AssertionFailedf("ledger: lines sum to %s, used is %s", sum, l.used))
	}
	if !sum.Fits(l.total) || sum.IsNegative() {
		panic(errors.AssertionFailedf("ledger: %s committed of %s", sum, l.total))
	}
}
