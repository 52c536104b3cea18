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
	// orderRetryDelay is the delay before a failed order is retried.
	orderRetryDelay = 30 * time.Millisecond
	// maxRefusedConnections is the number of connections that the worker may
	// refuse before a start is reported to the owner as failed.
	maxRefusedConnections = 3
)

// receive handles the owner's messages until the connection fails.
func (s *session) receive(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			m, err := s.conn.Receive(ownerTimeout)
			if err != nil {
				done <- errors.Wrap(err, "wait for the owner's next message")
				return
			}
			s.handleMessage(ctx, m)
		}
	}()
	return done
}

func (s *session) handleMessage(ctx context.Context, m *link.OwnerMessage) {
	s.mu.Lock()
	if m.Grant > 0 {
		s.extendLease(m.Grant)
	}
	if m.Acked > s.acked {
		s.acked = m.Acked
		select {
		case s.ackReceived <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	for _, o := range m.Starts {
		s.runOrder(ctx, func() { s.start(ctx, o) })
	}
	for _, o := range m.Stops {
		s.runOrder(ctx, func() { s.stop(ctx, o.Task, o.Run) })
	}
	for _, o := range m.Paces {
		s.runOrder(ctx, func() { s.pace(ctx, o) })
	}
}

// extendLease extends the lease after the owner has granted the heartbeat with
// the given number. The lease is counted from the clock reading in that
// heartbeat. The clock was read before the heartbeat was sent, so the lease ends
// no later than the owner assumes, even if this machine was suspended in between.
func (s *session) extendLease(number int64) {
	heartbeat, ok := s.ungranted[number]
	if !ok {
		return
	}
	s.workerLeaseEnd = max(s.workerLeaseEnd, heartbeat.workerClock+s.lease.Milliseconds())
	s.leaseEnd = max(s.leaseEnd, heartbeat.sentAt+s.lease)
	for n := range s.ungranted {
		if n <= number {
			delete(s.ungranted, n)
		}
	}
}

// runOrder runs an order concurrently with others, at most maxParallelOrders at
// a time.
func (s *session) runOrder(ctx context.Context, order func()) {
	go func() {
		select {
		case <-ctx.Done():
			return
		case s.orderSlots <- struct{}{}:
		}
		defer func() { <-s.orderSlots }()
		order()
	}()
}

// start starts a run on the worker. A call that was not answered may still be
// carried out later. After such a call the outcome is known only from a
// successful start or from an answered stop.
func (s *session) start(ctx context.Context, o spar.StartOrder) {
	maybeStarted := false
	for attempts := 1; ctx.Err() == nil; attempts++ {
		current := s.heartbeats.Load().Info
		fits := o.Room.Fits(current.Size)
		switch {
		case !maybeStarted && current.Draining:
			s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartDraining})
			return
		case !maybeStarted && !fits:
			s.Info("start refused", "task", o.Task, "run", o.Run, "reason", spar.StartNoRoom, "room", o.Room, "size", current.Size)
			s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartNoRoom})
			return
		case !fits:
			s.Info("unanswered start is stopped", "task", o.Task, "run", o.Run, "reason", spar.StartNoRoom, "room", o.Room, "size", current.Size)
			s.stop(ctx, o.Task, o.Run)
			return
		}
		s.mu.Lock()
		o.Until = s.workerLeaseEnd
		s.mu.Unlock()
		started := time.Now()
		s.life.recordStart(runKey{o.Task, o.Run}, s.clock())
		result, err := s.worker.Start(ctx, s.target, o)
		if ctx.Err() == nil && (err == nil || errors.Is(err, spar.ErrDisconnected)) {
			// A start without an answer says nothing about the worker: it may be
			// carried out late. The hold calls tell whether the worker is silent.
			s.life.recordResult(err, s.clock())
		}
		s.Timer("start").Record(time.Since(started))
		switch {
		case err == nil && result == spar.StartDone:
			s.life.confirmRun(runKey{o.Task, o.Run})
			s.queueOutcome(link.StartOutcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil && !maybeStarted && result != spar.StartOld:
			s.Info("start refused", "task", o.Task, "run", o.Run, "reason", result)
			s.life.removeRun(runKey{o.Task, o.Run})
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
}

// stop stops a run on the worker and retries until the call is answered. From
// then on the run is on one of the worker's lists or will never start.
func (s *session) stop(ctx context.Context, task spar.TaskRef, run int64) {
	for ctx.Err() == nil {
		err := s.worker.Stop(ctx, s.target, task, run)
		if err == nil {
			s.mu.Lock()
			s.stoppedRuns[runKey{task, run}] = s.listNumber
			s.mu.Unlock()
			return
		}
		if errors.Is(err, spar.ErrOtherLife) {
			return
		}
		s.Warn("stop failed, will be retried", "task", task, "run", run, "err", err)
		track.Pause(ctx, orderRetryDelay)
	}
}

func (s *session) pace(ctx context.Context, o link.Pace) {
	if err := s.worker.Pace(ctx, s.target, o.Task, o.Run, o.Percent); err != nil {
		s.Warn("pace change failed", "task", o.Task, "run", o.Run, "percent", o.Percent, "err", err)
	}
}
