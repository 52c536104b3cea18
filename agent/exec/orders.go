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
	// orderPause is the pause before an order without an answer is repeated.
	orderPause = 30 * time.Millisecond
	// unreachableTries is how many connections the worker may refuse before a
	// start is given back.
	unreachableTries = 3
)

// receive takes the owner's messages.
func (s *session) receive(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			m, err := s.conn.Receive(silentLimit)
			if err != nil {
				done <- errors.Wrap(err, "owner silent")
				return
			}
			s.take(ctx, m)
		}
	}()
	return done
}

func (s *session) take(ctx context.Context, m *link.OwnerMessage) {
	s.mu.Lock()
	if m.Grant > 0 {
		s.granted(m.Grant)
	}
	if m.Acked > s.acked {
		s.acked = m.Acked
		select {
		case s.acks <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	for _, o := range m.Starts {
		s.carry(ctx, func() { s.start(ctx, o) })
	}
	for _, o := range m.Stops {
		s.carry(ctx, func() { s.stop(ctx, o.Task, o.Run) })
	}
	for _, o := range m.Paces {
		s.carry(ctx, func() { s.pace(ctx, o) })
	}
}

// granted extends the lease to what the heartbeat's clock allows. The clock
// was read before the heartbeat was sent, so the lease ends no later than the
// owner counts on, also when this machine was suspended in between.
func (s *session) granted(beat int64) {
	b, ok := s.sent[beat]
	if !ok {
		return
	}
	s.until = max(s.until, b.clock+s.lease.Milliseconds())
	s.heldUntil = max(s.heldUntil, b.at+s.lease)
	for n := range s.sent {
		if n <= beat {
			delete(s.sent, n)
		}
	}
}

// carry runs an order beside the others.
func (s *session) carry(ctx context.Context, order func()) {
	go func() {
		select {
		case <-ctx.Done():
			return
		case s.slots <- struct{}{}:
		}
		defer func() { <-s.slots }()
		order()
	}()
}

// start has a run begin. A call without an answer may still be carried out, so
// after one only a success or an answered stop settles the run.
func (s *session) start(ctx context.Context, o spar.StartOrder) {
	unsure := false
	for tries := 1; ctx.Err() == nil; tries++ {
		if !unsure && s.beats.Load().Info.Draining {
			s.result(link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartDraining})
			return
		}
		s.mu.Lock()
		o.Until = s.until
		s.mu.Unlock()
		begun := time.Now()
		result, err := s.worker.Start(ctx, s.target, o)
		s.Timer("start").Record(time.Since(begun))
		switch {
		case err == nil && result == spar.StartDone:
			s.result(link.StartOutcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil && !unsure && result != spar.StartOld:
			s.Info("start refused", "task", o.Task, "run", o.Run, "reason", result)
			s.result(link.StartOutcome{Task: o.Task, Run: o.Run, Result: result})
			return
		case err == nil:
			s.stop(ctx, o.Task, o.Run)
			return
		case errors.Is(err, spar.ErrOtherLife):
			// The session ends with the worker's life, and the next one settles
			// what was ordered in this one.
			return
		case errors.Is(err, spar.ErrRefused) && !unsure:
			if tries >= unreachableTries {
				s.result(link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartUnwell})
				return
			}
		default:
			unsure = true
			s.Warn("start not answered", "task", o.Task, "run", o.Run, "err", err)
		}
		track.Pause(ctx, orderPause)
	}
}

// stop ends a run. Once a stop is answered, the run is on the lists or will
// never be.
func (s *session) stop(ctx context.Context, task spar.TaskRef, run int64) {
	for ctx.Err() == nil {
		err := s.worker.Stop(ctx, s.target, task, run)
		if err == nil {
			s.mu.Lock()
			s.unsettled[runKey{task, run}] = s.lists
			s.mu.Unlock()
			return
		}
		if errors.Is(err, spar.ErrOtherLife) {
			return
		}
		s.Warn("stop not carried out", "task", task, "run", run, "err", err)
		track.Pause(ctx, orderPause)
	}
}

func (s *session) pace(ctx context.Context, o link.Pace) {
	if err := s.worker.Pace(ctx, s.target, o.Task, o.Run, o.Percent); err != nil {
		s.Warn("pace not carried out", "task", o.Task, "run", o.Run, "percent", o.Percent, "err", err)
	}
}
