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
	// holdWait is how long a hold call waits for a run to end.
	holdWait = 500 * time.Millisecond
	// ackWait limits the wait for the owner to acknowledge ended runs before the
	// next hold call. While there are ended runs the worker answers a hold call
	// immediately, so calling without the wait would only repeat them.
	ackWait = 60 * time.Millisecond
	// holdRetryDelay is the delay after a failed hold call.
	holdRetryDelay = 50 * time.Millisecond
	// heartbeatInterval is the minimum time between two heartbeats to the owner.
	heartbeatInterval = 300 * time.Millisecond
	// maxHoldAttempts is the number of consecutive failed hold calls after which
	// the session ends and the lease is no longer extended.
	maxHoldAttempts = 4
	// maxStartCalls, maxStopCalls and maxPaceCalls limit the calls of each kind in
	// flight, and with them the connections to the worker. Stops have connections of
	// their own, since a worker that hangs leaves the starts without an answer.
	maxStartCalls = 12
	maxStopCalls  = 8
	maxPaceCalls  = 4
)

// session serves one owner and one life of the worker.
type session struct {
	*Executor
	life   *lifeRecord
	conn   *link.Conn[link.OwnerMessage, link.AgentMessage]
	target spar.Target
	// lease is the length of the lease that a grant gives, and maxLease the longest that
	// the worker accepts.
	lease, maxLease time.Duration
	startCalls      slots
	stopCalls       slots
	paceCalls       slots

	mu sync.Mutex
	// ownerHeardAt is when the owner's last message was received, on the executor's
	// clock.
	ownerHeardAt time.Duration
	// workerLeaseEnd is the end of the lease in ms on the worker's clock.
	workerLeaseEnd int64
	// ungranted holds the heartbeats that the owner has not granted yet, by
	// number.
	ungranted       map[int64]sentHeartbeat
	heartbeatNumber int64
	lastHeartbeat   time.Time
	// acked is the number of the last end that the owner has acknowledged, and
	// reportedEnd of the last one that was reported to it.
	acked           int64
	reportedEnd     int64
	reportedRunning map[spar.TaskRef]spar.Running
	// complete reports that the ends were listed to the last one under the
	// session's token, and that the owner was told so.
	complete bool
	outcomes []link.StartOutcome
	// starting holds, for each start order in progress, the function that ends it.
	starting map[runKey]context.CancelFunc
	// stopOrdered holds the runs that must not be started any more: those whose stop
	// was ordered, until it is known what became of them.
	stopOrdered map[runKey]bool
	// stoppedRuns holds the runs whose stop was answered, with the number of the
	// last hold call made before the answer. The lists of a later call show
	// whether the run had started.
	stoppedRuns map[runKey]int64
	// listNumber counts the hold calls of the session.
	listNumber int64
	// listBegun is when the last hold call was made.
	listBegun     time.Time
	ackReceived   chan struct{}
	outcomeQueued chan struct{}
}

// sentHeartbeat holds the times at which a heartbeat was sent to the owner.
type sentHeartbeat struct {
	// workerClock is the time in ms on the worker's clock, read before the
	// heartbeat was sent.
	workerClock int64
	// sentAt is the send time on the executor's clock.
	sentAt time.Duration
}

type runKey struct {
	task spar.TaskRef
	run  int64
}

func newSession(e *Executor, life *lifeRecord, c *link.Conn[link.OwnerMessage, link.AgentMessage], w link.Welcome, h Heartbeat) *session {
	return &session{
		Executor: e, life: life, conn: c, lease: w.Lease, maxLease: w.MaxLease,
		startCalls: make(slots, maxStartCalls), stopCalls: make(slots, maxStopCalls), paceCalls: make(slots, maxPaceCalls),
		starting: map[runKey]context.CancelFunc{}, stopOrdered: map[runKey]bool{}, ownerHeardAt: e.clock(),
		target:    spar.Target{Address: h.Address, Life: h.Info.Life, Token: w.Token},
		ungranted: map[int64]sentHeartbeat{}, reportedRunning: map[spar.TaskRef]spar.Running{}, stoppedRuns: map[runKey]int64{},
		ackReceived: make(chan struct{}, 1), outcomeQueued: make(chan struct{}, 1),
	}
}

// run serves the owner until the connection, the worker's life or the context
// ends.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-ctx.Done()
		s.conn.Close()
	}()
	lists, err := s.fenceAndList(ctx)
	if err != nil {
		return s.reportLeft(ctx, err)
	}
	s.life.recordFencedLists(lists, s.clock())
	s.life.beginLeases(s.clock(), s.lease, s.maxLease)
	if err := s.reportLists(lists); err != nil {
		return err
	}
	ends := []<-chan error{s.receive(ctx), s.hold(ctx), s.sendOutcomes(ctx), s.watchWorkerAndOwner(ctx)}
	err = firstError(ends)
	cancel()
	return err
}

// firstError returns the first result from the channels. The goroutines behind
// the others end when the context is cancelled.
func firstError(ends []<-chan error) error {
	errs := make(chan error, len(ends))
	for _, e := range ends {
		go func() { errs <- <-e }()
	}
	return <-errs
}

// reportLeft informs the owner if the worker had deregistered and its runs are proved to be
// over. Each owner has to be informed, also of the ends, since a new owner may still expect
// the worker's runs and not know how they ended. It returns cause, the error that ends the
// session, with that fact added.
func (s *session) reportLeft(ctx context.Context, cause error) error {
	if !s.recordLeft(ctx, s.life, s.listBegun, cause) {
		return cause
	}
	if err := s.send(&link.AgentMessage{Ended: s.life.endsToReport(), WorkerLeft: true}); err != nil {
		return errors.CombineErrors(cause, err)
	}
	s.leaveReportedEpoch = s.epoch
	return errors.Wrap(cause, "worker has left")
}

// fenceAndList lists the worker's runs using the session's fencing token. From
// then on the worker rejects orders of earlier sessions that it has not carried
// out yet.
func (s *session) fenceAndList(ctx context.Context) (spar.RunLists, error) {
	var err error
	for range maxHoldAttempts {
		var l spar.RunLists
		l, err = s.listWorker(ctx, 0, 0, 0)
		if err == nil || errors.Is(err, spar.ErrOtherLife) || ctx.Err() != nil {
			return l, err
		}
		if s.recordLeft(ctx, s.life, s.listBegun, err) {
			// The machine may be gone soon, and the owner has to be told before.
			break
		}
		track.Pause(ctx, holdRetryDelay)
	}
	return spar.RunLists{}, errors.Wrap(err, "worker does not answer")
}

// listWorker makes a hold call and records its result.
func (s *session) listWorker(ctx context.Context, acked, until int64, wait time.Duration) (spar.RunLists, error) {
	s.listBegun = time.Now()
	l, err := s.worker.Hold(ctx, s.target, acked, until, wait)
	if ctx.Err() != nil {
		return l, err
	}
	s.life.recordResult(err, s.clock())
	if err == nil {
		s.life.recordLists(l, s.clock())
	}
	return l, err
}

// hold runs holdLoop in a goroutine.
func (s *session) hold(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.holdLoop(ctx) }()
	return done
}

// holdLoop repeatedly extends the lease on the worker, lists its runs and
// reports changes to the owner.
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
		l, err := s.listWorker(ctx, ackToSend(acked, deliveredAck), until, holdWait)
		s.Timer("hold").Record(time.Since(started))
		if err != nil {
			failures++
			if errors.Is(err, spar.ErrOtherLife) || failures >= maxHoldAttempts || s.recordLeft(ctx, s.life, s.listBegun, err) {
				return s.reportLeft(ctx, errors.Wrap(err, "hold call to the worker"))
			}
			s.Warn("hold call to the worker failed", "err", err, "failures", failures)
			track.Pause(ctx, holdRetryDelay)
			continue
		}
		failures, deliveredAck = 0, acked
		s.resolveStoppedRuns(l, number)
		if err := s.reportLists(l); err != nil {
			return err
		}
		if len(l.Ended) > 0 {
			s.awaitAck(ctx)
		}
	}
	return nil
}

// ackToSend returns the acknowledged end number to send in a hold call, or 0 if
// the worker has received it already. A worker that was just restarted under the
// same name numbers its ends from 1 again. Repeating an old acknowledgement would
// make it drop ends that were never reported.
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

// watchWorkerAndOwner forwards changes in the worker's state to the owner. It
// ends the session when the worker has a new life or a newer owner exists.
func (s *session) watchWorkerAndOwner(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-s.directory.OwnerChanged():
				if owner := s.directory.Owner(); owner.Epoch > s.epoch {
					done <- errors.Newf("session superseded by the owner of epoch %d", owner.Epoch)
					return
				}
			case <-s.heartbeats.Changed():
				heartbeat := s.heartbeats.Load()
				if heartbeat.Info.Life != s.target.Life {
					done <- errors.New("worker restarted with a new life")
					return
				}
				if err := s.conn.Send(&link.AgentMessage{Worker: &heartbeat.Info}); err != nil {
					done <- err
					return
				}
			}
		}
	}()
	return done
}
