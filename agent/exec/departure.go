package exec

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
)

// minUnackedAge is the age of an unacknowledged end from which the store may not know it.
// A store in order has it acknowledged within some tens of milliseconds.
const minUnackedAge = 500 * time.Millisecond

// recordAck records that an owner has acknowledged the ends up to a number.
func (l *lifeRecord) recordAck(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ends.acknowledge(number)
}

// endsToReport returns the ends that no owner has acknowledged.
func (l *lifeRecord) endsToReport() []spar.Ended {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ends.all()
}

// recordLeft records that the worker had deregistered and that its runs are over. It returns
// false if that was recorded before.
func (l *lifeRecord) recordLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	isNew := !l.left
	l.left = true
	return isNew
}

func (l *lifeRecord) hasLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// departure returns what the store may not know of this life, or nil. While the worker is
// draining these are ends that have not been acknowledged for a while, and when no lease on
// it is extended any more, how long the last one runs. After it has left, its runs are over.
// One without any may still count as having runs that never reached it, and an owner that
// knows of its end may be killed before it has stored that, so all entries are told.
func (l *lifeRecord) departure(draining bool, now time.Duration) *link.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.left:
		return &link.Departure{Life: l.life, Ended: l.ends.all(), Left: true}
	case l.leaseFixed:
		return &link.Departure{Life: l.life, Ended: l.ends.all(), LeaseLeft: l.leaseLeftLocked(now)}
	case draining && l.ends.age(now) >= minUnackedAge:
		return &link.Departure{Life: l.life, Ended: l.ends.all()}
	}
	return nil
}

// listWithoutSession lists a worker that leaves while no owner can be reached, for the
// departure. The call has the token of the last session, extends no lease and
// acknowledges nothing, so it changes nothing on the worker. It runs between sessions, so
// that no call with an older token follows one with a newer token.
func (e *Executor) listWithoutSession(ctx context.Context) {
	l, heartbeat := e.lifeRecord, e.heartbeats.Load()
	if l == nil || l.life != e.lastTarget.Life || l.life != heartbeat.Info.Life || !heartbeat.Info.Draining || l.hasLeft() || e.clock()-e.listedAt < holdWait {
		return
	}
	e.listedAt = e.clock()
	begun := time.Now()
	lists, err := e.worker.Hold(ctx, e.lastTarget, 0, 0, 0)
	if ctx.Err() != nil {
		return
	}
	l.recordResult(err, e.clock())
	if err == nil {
		l.recordLists(lists, e.clock())
		return
	}
	e.recordLeft(ctx, l, begun, err)
}

// recordLeft records after a failed call to the worker that it has left, if it had
// deregistered and its runs are proved to be over, and reports whether that is so.
//
// The proof is the answer of a later life, or that nothing runs on the worker even if it is
// up; see isOver. A call without an answer is none: the worker may work on for seconds if it
// has not heard that its deregistration arrived. Nor is a closed, reset or refused
// connection, which may be a fault of the network; see spar.ErrDisconnected. From the first
// failed call after the deregistration no lease is extended; see fixLeases. A call that the
// context has ended tells nothing.
func (e *Executor) recordLeft(ctx context.Context, l *lifeRecord, begun time.Time, err error) bool {
	if ctx.Err() != nil || !e.heartbeats.HasLeft(l.life) {
		return false
	}
	if e.heartbeats.HadLeft(l.life, begun) {
		e.departures.fixLeases(l)
	}
	otherLife := errors.Is(err, spar.ErrOtherLife)
	isOver := otherLife || l.isOver(e.clock())
	if isOver && l.recordLeft() {
		e.Info("worker has left", "worker", l.life.ID, "born", l.life.Born, "answered_by_later_life", otherLife, "err", err)
	}
	e.departures.wake()
	return isOver
}
