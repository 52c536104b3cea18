package exec

import (
	"time"

	"github.com/berylspar/spar"
)

// beginLeases records that the life is listed for the first time in this process, under a
// new fencing token. A previous process may have extended leases until just now, and a late
// order to an earlier life of the same name may have given the longest one.
func (l *lifeRecord) beginLeases(now, lease, maxLease time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leased || l.nameReused && maxLease == 0 {
		return
	}
	l.leaseMargin = spar.ClockDriftMargin(max(lease, maxLease))
	if l.nameReused {
		lease = max(lease, maxLease)
	}
	l.leased, l.leaseEnd = true, now+lease
}

// isOver reports whether nothing runs on the life any more, even if the worker is up: no
// lease is extended, and either all have ended or the worker has no run and no order of one,
// and has listed all ends.
func (l *lifeRecord) isOver(now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isEmpty := len(l.starts) == 0 && !l.moreEnds
	return l.leaseFixed && (isEmpty || now > l.leaseEnd+l.leaseMargin)
}

// extendLease records that a lease until a time is given, and reports false if it must not
// be.
func (l *lifeRecord) extendLease(until time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseFixed {
		return false
	}
	l.leaseEnd = max(l.leaseEnd, until)
	return true
}

// fixLeases has no lease extended any more, so that the entries can be told when the last
// one ends. It does nothing if this process does not know that.
func (l *lifeRecord) fixLeases() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaseFixed = l.leased
}

// leaseLeft returns how long leases on the life can still last, or nil if this process
// does not know.
func (l *lifeRecord) leaseLeft(now time.Duration) *time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaseLeftLocked(now)
}

func (l *lifeRecord) leaseLeftLocked(now time.Duration) *time.Duration {
	if !l.leased {
		return nil
	}
	left := max(l.leaseEnd-now, 0)
	return &left
}

// fixLeases has no lease on a worker that has deregistered extended any more, and with that
// all entries told when the last one ends, since the agent's machine may be gone by then.
//
// Without leases the worker is of no use, so it counts as draining from then on, even if
// the deregistration was a late one of an earlier life.
func (s *departureSender) fixLeases(l *lifeRecord) {
	if s.heartbeats.KeepDeregistered(l.life) {
		l.fixLeases()
	}
}

// fixLeasesOfDrained does so for a worker that had drained and is not known to have ended
// some time after it has deregistered.
func (s *departureSender) fixLeasesOfDrained(l *lifeRecord) {
	if s.heartbeats.HadDrainedAndLeft(l.life, time.Now().Add(-minUnackedAge)) {
		s.fixLeases(l)
	}
}
