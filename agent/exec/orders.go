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
	// orderRetryDelay is the pause before an order without an answer is repeated.
	orderRetryDelay = 30 * time.Millisecond
	// maxRefusedConnections is how many connections the worker may refuse before a
	// start is given back.
	maxRefusedConnections = 3
)

// receive takes the owner's messages.
func (s *session) receive(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			m, err := s.conn.Receive(ownerTimeout)
			if err != nil {
				done <- errors.Wrap(err, "owner silent")
				return
			}
			s.handleMessage(ctx, m)
		}
	}()
	return done
}

func (s *session) handleMessage(ctx context.Context, m *link.Down) {
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

// extendLease extends the lease to what the heartbeat's clock allows. The clock
// was read before the heartbeat was sent, so the lease ends no later than the
// owner counts on, also when this machine was suspended in between.
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

// runOrder runs an order beside the others.
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

// start has a run begin. A call without an answer may still be carried out, so
// after one only a success or an answered stop settles the run.
func (s *session) start(ctx context.Context, o spar.StartOrder) {
	maybeStarted := false
	for attempts := 1; ctx.Err() == nil; attempts++ {
		if !maybeStarted && s.heartbeats.Load().Info.Draining {
			s.queueOutcome(link.Outcome{Task: o.Task, Run: o.Run, Result: spar.StartDraining})
			return
		}
		s.mu.Lock()
		o.Until = s.workerLeaseEnd
		s.mu.Unlock()
		started := time.Now()
		result, err := s.worker.Start(ctx, s.target, o)
		s.Timer("start").Record(time.Since(started))
		switch {
		case err == nil && result == spar.StartDone:
			s.queueOutcome(link.Outcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil && !maybeStarted && result != spar.StartOld:
			s.Info("start refused", "task", o.Task, "run", o.Run, "reason", result)
			s.queueOutcome(link.Outcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil:
			s.stop(ctx, o.Task, o.Run)
			return
		case errors.Is(err, spar.ErrOtherLife):
			// The session ends with the worker's life, and the next one settles
			// what was ordered in this one.
			return
		case errors.Is(err, spar.ErrRefused) && !maybeStarted:
			if attempts >= maxRefusedConnections {
				s.queueOutcome(link.Outcome{Task: o.Task, Run: o.Run, Result: spar.StartUnhealthy})
				return
			}
		default:
			maybeStarted = true
			s.Warn("start not answered", "task", o.Task, "run", o.Run, "err", err)
		}
		track.Pause(ctx, orderRetryDelay)
	}
}

// stop ends a run. Once a stop is answered, the run is on the lists or will
// never be.
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
		s.Warn("stop not carried out", "task", task, "run", run, "err", err)
		track.Pause(ctx, orderRetryDelay)
	}
}

func (s *session) pace(ctx context.Context, o link.Pace) {
	if err := s.worker.Pace(ctx, s.target, o.Task, o.Run, o.Percent); err != nil {
		s.Warn("pace not carried out", "task", o.Task, "run", o.Run, "percent", o.Percent, "err", err)
	}
}
