package exec

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

const (
	// holdWait is how long a call for the worker's list waits for an end.
	holdWait = 500 * time.Millisecond
	// ackWait is how long the next call waits for the owner's acknowledgement
	// of ends: the worker answers at once while there are any.
	ackWait = 60 * time.Millisecond
	// holdRetryDelay is the pause after a call without an answer.
	holdRetryDelay = 50 * time.Millisecond
	// heartbeatInterval is the least time between two heartbeats to the owner.
	heartbeatInterval = 300 * time.Millisecond
	// maxHoldAttempts is how many calls in a row may go unanswered before the
	// session ends, and with it the extension of the lease.
	maxHoldAttempts = 4
	// maxParallelOrders bounds the orders that are carried out at once.
	maxParallelOrders = 12
)

// session serves one owner and one life of the worker.
type session struct {
	*Executor
	conn       *link.Conn[link.Down, link.Up]
	target     spar.Target
	lease      time.Duration
	orderSlots chan struct{}

	mu sync.Mutex
	// workerLeaseEnd ends the lease, on the worker's clock.
	workerLeaseEnd int64
	// ungranted are the heartbeats that are not granted yet.
	ungranted       map[int64]sentHeartbeat
	heartbeatNumber int64
	lastHeartbeat   time.Time
	acked           int64
	reportedEnd     int64
	reportedRunning map[spar.TaskRef]spar.Running
	outcomes        []link.Outcome
	// stoppedRuns are runs whose stop was answered, by the number of the list
	// that will tell whether they are there.
	stoppedRuns   map[runKey]int64
	listNumber    int64
	ackReceived   chan struct{}
	outcomeQueued chan struct{}
}

// sentHeartbeat is a heartbeat to the owner.
type sentHeartbeat struct {
	// workerClock is the worker's clock at or before its sending.
	workerClock int64
	// sentAt is when it was sent, as steady time.
	sentAt time.Duration
}

type runKey struct {
	task spar.TaskRef
	run  int64
}

func newSession(e *Executor, c *link.Conn[link.Down, link.Up], w link.Welcome, h Heartbeat) *session {
	return &session{
		Executor: e, conn: c, lease: w.Lease, orderSlots: make(chan struct{}, maxParallelOrders),
		target:    spar.Target{Address: h.Address, Life: h.Info.Life, Token: w.Token},
		ungranted: map[int64]sentHeartbeat{}, reportedRunning: map[spar.TaskRef]spar.Running{}, stoppedRuns: map[runKey]int64{},
		ackReceived: make(chan struct{}, 1), outcomeQueued: make(chan struct{}, 1),
	}
}

// run serves until the connection, the worker's life or the context ends.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-ctx.Done()
		s.conn.Close()
	}()
	lists, err := s.fenceAndList(ctx)
	if err != nil {
		return s.reportLeft(err)
	}
	if s.leasedLife != s.target.Life {
		// An earlier process may have extended leases until a moment ago.
		s.leasedLife, s.leaseEnd = s.target.Life, s.clock()+s.lease
	}
	if err := s.reportLists(lists, true); err != nil {
		return err
	}
	ends := []<-chan error{s.receive(ctx), s.hold(ctx), s.sendOutcomes(ctx), s.watchWorkerAndOwner(ctx)}
	err = firstError(ends)
	cancel()
	return err
}

// firstError waits for the first end; the others follow when the context ends.
func firstError(ends []<-chan error) error {
	errs := make(chan error, len(ends))
	for _, e := range ends {
		go func() { errs <- <-e }()
	}
	return <-errs
}

// reportLeft tells the owner when the worker that does not answer has said
// goodbye: nothing runs there any more. Each owner has to be told, since a next
// one may count on the worker's runs.
func (s *session) reportLeft(cause error) error {
	if !s.heartbeats.HasLeft(s.target.Life) {
		return cause
	}
	if err := s.conn.Send(&link.Up{Left: true}); err != nil {
		return errors.CombineErrors(cause, err)
	}
	s.leaveReportedEpoch = s.epoch
	return errors.Wrap(cause, "worker has left")
}

// fenceAndList lists the worker under the session's token, which shuts out every
// order of an earlier session that was not carried out yet.
func (s *session) fenceAndList(ctx context.Context) (spar.RunLists, error) {
	var err error
	for range maxHoldAttempts {
		var l spar.RunLists
		l, err = s.worker.Hold(ctx, s.target, 0, 0, 0)
		if err == nil || errors.Is(err, spar.ErrOtherLife) || ctx.Err() != nil {
			return l, err
		}
		track.Pause(ctx, holdRetryDelay)
	}
	return spar.RunLists{}, errors.Wrap(err, "worker does not answer")
}

// hold extends the lease and lists the worker, again and again.
func (s *session) hold(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.holdLoop(ctx) }()
	return done
}

func (s *session) holdLoop(ctx context.Context) error {
	failures := 0
	deliveredAck := int64(0)
	for ctx.Err() == nil {
		s.mu.Lock()
		acked, until := s.acked, s.workerLeaseEnd
		s.listNumber++
		number := s.listNumber
		s.mu.Unlock()
		started := time.Now()
		l, err := s.worker.Hold(ctx, s.target, ackToSend(acked, deliveredAck), until, holdWait)
		s.Timer("hold").Record(time.Since(started))
		if err != nil {
			failures++
			if errors.Is(err, spar.ErrOtherLife) || failures >= maxHoldAttempts || s.heartbeats.HasLeft(s.target.Life) {
				return s.reportLeft(errors.Wrap(err, "worker not held"))
			}
			s.Warn("worker not held", "err", err, "failures", failures)
			track.Pause(ctx, holdRetryDelay)
			continue
		}
		failures, deliveredAck = 0, acked
		s.resolveStoppedRuns(l, number)
		if err := s.reportLists(l, false); err != nil {
			return err
		}
		if len(l.Ended) > 0 {
			s.awaitAck(ctx)
		}
	}
	return nil
}

// ackToSend is the number that a call carries. One that the worker has had is
// not sent again: a worker that was restarted under its name a moment ago counts
// its ends anew, and would forget some that nobody has heard of.
func ackToSend(acked, delivered int64) int64 {
	if acked <= delivered {
		return 0
	}
	return acked
}

func (s *session) awaitAck(ctx context.Context) {
	t := time.NewTimer(ackWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.ackReceived:
	case <-t.C:
	}
}

// watchWorkerAndOwner passes on what the worker says of itself, and ends the session when
// the worker is in a new life or a newer owner is there.
func (s *session) watchWorkerAndOwner(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-s.owner.Changed():
				if owner := s.owner.Load(); owner.Epoch > s.epoch {
					done <- errors.Newf("newer owner of epoch %d", owner.Epoch)
					return
				}
			case <-s.heartbeats.Changed():
				heartbeat := s.heartbeats.Load()
				if heartbeat.Info.Life != s.target.Life {
					done <- errors.New("worker in a new life")
					return
				}
				if err := s.conn.Send(&link.Up{Worker: &heartbeat.Info}); err != nil {
					done <- err
					return
				}
			}
		}
	}()
	return done
}
