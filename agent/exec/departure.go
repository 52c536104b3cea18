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

// recordLeft records that the worker had deregistered and then did not answer a call.
func (l *lifeRecord) recordLeft() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.left = true
}

func (l *lifeRecord) hasLeft() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.left
}

// departure returns what the store may not know of this life, or nil. While the worker is
// draining these are ends that have not been acknowledged for a while, and after it has
// left, that its runs are over. One without any may still count as having runs that never
// reached it, and an owner that was told of its end in a session may be killed before it
// has stored that.
func (l *lifeRecord) departure(draining bool, now time.Duration) *link.Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.left:
	case draining && l.ends.age(now) >= minUnackedAge:
	default:
		return nil
	}
	return &link.Departure{Life: l.life, Ended: l.ends.all(), Left: l.left}
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
// deregistered, and reports whether that is so. A call that was sent before says so only
// if it was disconnected: the worker may still have been at work when it got no answer. A
// call that the context has ended never does.
func (e *Executor) recordLeft(ctx context.Context, l *lifeRecord, begun time.Time, err error) bool {
	isOver := errors.Is(err, spar.ErrDisconnected) || errors.Is(err, spar.ErrOtherLife)
	if ctx.Err() != nil || !e.heartbeats.HasLeft(l.life) || !isOver && !e.heartbeats.HadLeft(l.life, begun) {
		return false
	}
	l.recordLeft()
	e.departures.wake()
	return true
}
