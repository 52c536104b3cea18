package exec

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

const (
	// maxStartAge is the age of an order from which no first start call is sent for it,
	// and the silence of the owner during which no call is repeated. The process may
	// have been suspended meanwhile, or a cancel not have reached it.
	maxStartAge = 2 * time.Second
	// maxRefusedConnections is the number of connections that the worker may
	// refuse before a start is reported to the owner as failed.
	maxRefusedConnections = 3
)

// beginStart returns the context of a start order, which ends when a stop of the run is
// ordered. It returns false if that was ordered before.
func (s *session) beginStart(ctx context.Context, k runKey) (context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopOrdered[k] {
		return nil, false
	}
	ctx, cancel := context.WithCancel(ctx)
	s.starting[k] = cancel
	return ctx, true
}

// endStart ends the start order of a run, if it is in progress, and allows no other one.
// It has no effect on a call that was sent already: only an answered stop tells that the
// run does not start any more.
func (s *session) endStart(k runKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopOrdered[k] = true
	s.forgetStart(k)
}

// forgetStart removes a start order that has ended. The session's lock is held.
func (s *session) forgetStart(k runKey) {
	if cancel := s.starting[k]; cancel != nil {
		cancel()
		delete(s.starting, k)
	}
}

// start starts a run on the worker. A call that was not answered may still be
// carried out later. After such a call the outcome is known only from a
// successful start or from an answered stop. The context ends when a stop of the run is
// ordered; the stop settles the outcome then.
//
// No first call is sent while the worker does not answer hold calls: if it has crashed, its
// next life may carry the call out when the owner has given the task elsewhere. A repeated
// call adds little to that risk.
func (s *session) start(ctx context.Context, o spar.StartOrder) {
	k := runKey{o.Task, o.Run}
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.forgetStart(k)
	}()
	received, maybeStarted := s.clock(), false
	for attempts := 1; s.startCalls.acquire(ctx); attempts++ {
		if reason := s.rejectStart(o, received, maybeStarted); reason != "" {
			s.startCalls.release()
			s.giveUpStart(ctx, o, reason, maybeStarted)
			return
		}
		if s.ownerSilence() > maxStartAge || !maybeStarted && s.life.lastCallFailed() {
			s.startCalls.release()
			track.Pause(ctx, orderRetryDelay)
			continue
		}
		result, err := s.callStart(ctx, o)
		s.startCalls.release()
		switch {
		case err == nil && result == spar.StartDone:
			s.life.confirmRun(k)
			s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil && !maybeStarted && result != spar.StartOld:
			s.Info("start refused", "task", o.Task, "run", o.Run, "reason", result)
			s.life.removeRun(k)
			s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil:
			s.stop(ctx, o.Task, o.Run)
			return
		case errors.Is(err, spar.ErrOtherLife):
			// The worker was restarted, so this session ends. The next session
			// determines the outcome of this order from the worker's lists.
			return
		case errors.Is(err, spar.ErrRefused) && !maybeStarted:
			if attempts >= maxRefusedConnections {
				s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartUnhealthy})
				return
			}
		default:
			maybeStarted = true
			s.Warn("start not answered", "task", o.Task, "run", o.Run, "err", err)
		}
		track.Pause(ctx, orderRetryDelay)
	}
	s.Info("start ended by a stop or with the session", "task", o.Task, "run", o.Run, "maybe_started", maybeStarted)
}

// ownerSilence returns how long the owner has not been heard of.
func (s *session) ownerSilence() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock() - s.ownerHeardAt
}

// rejectStart returns why no start call may be sent for an order, or "". A start that was
// not answered is repeated whatever its age: its task would go elsewhere after a stop, and
// a worker that restarts under its name could still carry out the first call.
func (s *session) rejectStart(o spar.StartOrder, received time.Duration, maybeStarted bool) spar.StartResult {
	current := s.heartbeats.Load().Info
	switch {
	case current.Draining:
		return spar.StartDraining
	case !o.Room.Fits(current.Size):
		return spar.StartNoRoom
	case !maybeStarted && s.clock()-received > maxStartAge:
		return spar.StartLate
	}
	return ""
}

// giveUpStart ends a start order without another call. A run that may have started is
// stopped.
func (s *session) giveUpStart(ctx context.Context, o spar.StartOrder, reason spar.StartResult, maybeStarted bool) {
	s.Info("start given up", "task", o.Task, "run", o.Run, "reason", reason, "room", o.Room, "size", s.heartbeats.Load().Info.Size, "maybe_started", maybeStarted)
	if maybeStarted {
		s.stop(ctx, o.Task, o.Run)
		return
	}
	s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: reason})
}

// callStart makes one start call and records its result. It makes none to a worker on which
// no lease is extended any more.
func (s *session) callStart(ctx context.Context, o spar.StartOrder) (spar.StartResult, error) {
	s.mu.Lock()
	o.Until = s.workerLeaseEnd
	s.mu.Unlock()
	started := time.Now()
	if !s.life.recordStart(runKey{o.Task, o.Run}, s.clock()) {
		return spar.StartDraining, nil
	}
	result, err := s.worker.Start(ctx, s.target, o)
	if ctx.Err() == nil && (err == nil || errors.Is(err, spar.ErrDisconnected)) {
		// A start without an answer says nothing about the worker: it may be
		// carried out late. The hold calls tell whether the worker is silent.
		s.life.recordResult(err, s.clock())
	}
	s.Timer("start").Record(time.Since(started))
	return result, err
}
