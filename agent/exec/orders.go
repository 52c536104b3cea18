package exec

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// orderRetryDelay is the delay before a failed order is retried.
const orderRetryDelay = 30 * time.Millisecond

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
	s.ownerHeardAt = s.clock()
	if m.Grant > 0 {
		s.extendLease(m.Grant)
	}
	if m.Acked > s.acked {
		s.acked = m.Acked
		s.life.recordAck(m.Acked)
		select {
		case s.ackReceived <- struct{}{}:
		default:
		}
	}
	s.mu.Unlock()
	for _, o := range m.Starts {
		if startCtx, ok := s.beginStart(ctx, runKey{o.Task, o.Run}); ok {
			go s.start(startCtx, o)
		}
	}
	for _, o := range m.Stops {
		s.endStart(runKey{o.Task, o.Run})
		go s.stop(ctx, o.Task, o.Run)
	}
	for _, o := range m.Paces {
		go s.pace(ctx, o)
	}
}

// extendLease extends the lease after the owner has granted the heartbeat with
// the given number. The lease is counted from the clock reading in that
// heartbeat. The clock was read before the heartbeat was sent, so the lease ends
// no later than the owner assumes, even if this machine was suspended in between. Once
// the entries were told when the leases on the worker end, none is extended.
func (s *session) extendLease(number int64) {
	heartbeat, ok := s.ungranted[number]
	if !ok {
		return
	}
	if s.life.extendLease(heartbeat.sentAt + s.lease) {
		s.workerLeaseEnd = max(s.workerLeaseEnd, heartbeat.workerClock+s.lease.Milliseconds())
	}
	for n := range s.ungranted {
		if n <= number {
			delete(s.ungranted, n)
		}
	}
}

// stop stops a run on the worker and retries until the call is answered. From
// then on the run is on one of the worker's lists or will never start.
func (s *session) stop(ctx context.Context, task spar.TaskRef, run int64) {
	for s.stopCalls.acquire(ctx) {
		err := s.worker.Stop(ctx, s.target, task, run)
		s.stopCalls.release()
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
	if !s.paceCalls.acquire(ctx) {
		return
	}
	defer s.paceCalls.release()
	if err := s.worker.Pace(ctx, s.target, o.Task, o.Run, o.Percent); err != nil {
		s.Warn("pace change failed", "task", o.Task, "run", o.Run, "percent", o.Percent, "err", err)
	}
}
