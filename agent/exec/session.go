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
	// holdPause is the pause after a call without an answer.
	holdPause = 50 * time.Millisecond
	// beatEvery is the least time between two heartbeats to the owner.
	beatEvery = 300 * time.Millisecond
	// holdTries is how many calls in a row may go unanswered before the
	// session ends, and with it the extension of the lease.
	holdTries = 4
	// parallel bounds the orders that are carried out at once.
	parallel = 12
)

// session serves one owner and one life of the worker.
type session struct {
	*Executor
	conn   *link.Conn[link.OwnerMessage, link.AgentMessage]
	target spar.Target
	lease  time.Duration
	slots  chan struct{}

	mu sync.Mutex
	// until ends the lease, on the worker's clock.
	until int64
	// sent are the heartbeats that are not granted yet.
	sent    map[int64]sentBeat
	beat    int64
	beatAt  time.Time
	acked   int64
	passed  int64
	rows    map[spar.TaskRef]spar.Running
	results []link.StartOutcome
	// unsettled are runs whose stop was answered, by the number of the list
	// that will tell whether they are there.
	unsettled map[runKey]int64
	lists     int64
	acks      chan struct{}
	news      chan struct{}
}

// sentBeat is a heartbeat to the owner.
type sentBeat struct {
	// clock is the worker's clock at or before its sending.
	clock int64
	// at is when it was sent, as steady time.
	at time.Duration
}

type runKey struct {
	task spar.TaskRef
	run  int64
}

func newSession(e *Executor, c *link.Conn[link.OwnerMessage, link.AgentMessage], w link.Welcome, b Report) *session {
	return &session{
		Executor: e, conn: c, lease: w.Lease, slots: make(chan struct{}, parallel),
		target: spar.Target{Address: b.Address, Life: b.Info.Life, Token: w.Token},
		sent:   map[int64]sentBeat{}, rows: map[spar.TaskRef]spar.Running{}, unsettled: map[runKey]int64{},
		acks: make(chan struct{}, 1), news: make(chan struct{}, 1),
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
	first, err := s.first(ctx)
	if err != nil {
		return s.farewell(err)
	}
	if s.held != s.target.Life {
		// An earlier process may have extended leases until a moment ago.
		s.held, s.heldUntil = s.target.Life, s.clock()+s.lease
	}
	if err := s.report(first, true); err != nil {
		return err
	}
	ends := []<-chan error{s.receive(ctx), s.hold(ctx), s.flush(ctx), s.watch(ctx)}
	err = firstOf(ends)
	cancel()
	return err
}

// firstOf waits for the first end; the others follow when the context ends.
func firstOf(ends []<-chan error) error {
	all := make(chan error, len(ends))
	for _, e := range ends {
		go func() { all <- <-e }()
	}
	return <-all
}

// farewell tells the owner when the worker that does not answer has said
// goodbye: nothing runs there any more. Each owner has to be told, since a next
// one may count on the worker's runs.
func (s *session) farewell(why error) error {
	if !s.beats.HasLeft(s.target.Life) {
		return why
	}
	if err := s.conn.Send(&link.AgentMessage{WorkerLeft: true}); err != nil {
		return errors.CombineErrors(why, err)
	}
	s.told = s.epoch
	return errors.Wrap(why, "worker has left")
}

// first lists the worker under the session's token, which shuts out every
// order of an earlier session that was not carried out yet.
func (s *session) first(ctx context.Context) (spar.Listed, error) {
	var err error
	for range holdTries {
		var l spar.Listed
		l, err = s.worker.Hold(ctx, s.target, 0, 0, 0)
		if err == nil || errors.Is(err, spar.ErrOtherLife) || ctx.Err() != nil {
			return l, err
		}
		track.Pause(ctx, holdPause)
	}
	return spar.Listed{}, errors.Wrap(err, "worker does not answer")
}

// hold extends the lease and lists the worker, again and again.
func (s *session) hold(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- s.holdLoop(ctx) }()
	return done
}

func (s *session) holdLoop(ctx context.Context) error {
	failures := 0
	forgotten := int64(0)
	for ctx.Err() == nil {
		s.mu.Lock()
		acked, until := s.acked, s.until
		s.lists++
		number := s.lists
		s.mu.Unlock()
		begun := time.Now()
		l, err := s.worker.Hold(ctx, s.target, acknowledge(acked, forgotten), until, holdWait)
		s.Timer("hold").Record(time.Since(begun))
		if err != nil {
			failures++
			if errors.Is(err, spar.ErrOtherLife) || failures >= holdTries || s.beats.HasLeft(s.target.Life) {
				return s.farewell(errors.Wrap(err, "worker not held"))
			}
			s.Warn("worker not held", "err", err, "failures", failures)
			track.Pause(ctx, holdPause)
			continue
		}
		failures, forgotten = 0, acked
		s.settle(l, number)
		if err := s.report(l, false); err != nil {
			return err
		}
		if len(l.Ended) > 0 {
			s.awaitAck(ctx)
		}
	}
	return nil
}

// acknowledge is the number that a call carries. One that the worker has had is
// not sent again: a worker that was restarted under its name a moment ago counts
// its ends anew, and would forget some that nobody has heard of.
func acknowledge(acked, forgotten int64) int64 {
	if acked <= forgotten {
		return 0
	}
	return acked
}

func (s *session) awaitAck(ctx context.Context) {
	t := time.NewTimer(ackWait)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-s.acks:
	case <-t.C:
	}
}

// watch passes on what the worker says of itself, and ends the session when
// the worker is in a new life or a newer owner is there.
func (s *session) watch(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-s.place.OwnerChanged():
				if at := s.place.Owner(); at.Epoch > s.epoch {
					done <- errors.Newf("newer owner of epoch %d", at.Epoch)
					return
				}
			case <-s.beats.Changed():
				b := s.beats.Load()
				if b.Info.Life != s.target.Life {
					done <- errors.New("worker in a new life")
					return
				}
				if err := s.conn.Send(&link.AgentMessage{Worker: &b.Info}); err != nil {
					done <- err
					return
				}
			}
		}
	}()
	return done
}
