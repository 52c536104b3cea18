package exec

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

const (
	// departureInterval is the time between two looks for a departure, and between two
	// attempts to tell an entry of it.
	departureInterval = 500 * time.Millisecond
	// departureTimeout bounds the attempts to tell the entries of a departure. After that
	// leases on the worker end about as soon as an entry would be told.
	departureTimeout = 15 * time.Second
)

// departureSender tells all entries what the store may not know of a worker that leaves.
// It does not depend on the session, which ends with the owner.
type departureSender struct {
	common.Common
	node       string
	heartbeats *Heartbeats
	directory  *track.Directory
	dial       Dial
	// clock is the executor's.
	clock func() time.Duration
	// life is the record of the life of the last session.
	life    atomic.Pointer[lifeRecord]
	changed chan struct{}
}

// delivery is a departure that is being sent.
type delivery struct {
	departure *link.Departure
	cancel    context.CancelFunc
	done      <-chan error
}

// wake has the sender look for a departure at once.
func (s *departureSender) wake() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// run sends departures until the context ends. The channel then receives the result.
func (s *departureSender) run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		ticker := time.NewTicker(departureInterval)
		defer ticker.Stop()
		var last *delivery
		for ctx.Err() == nil {
			last = s.update(ctx, last)
			select {
			case <-ctx.Done():
			case <-ticker.C:
			case <-s.changed:
			}
		}
		last.stop()
		done <- nil
	}()
	return done
}

// update returns the delivery of the current departure: the last one if it says the same,
// else a new one. There is none while there is no departure.
func (s *departureSender) update(ctx context.Context, last *delivery) *delivery {
	life := s.life.Load()
	if life == nil {
		return last
	}
	s.fixLeasesOfDrained(life)
	heartbeat := s.heartbeats.Load()
	d := life.departure(heartbeat.Info.Life == life.life && heartbeat.Info.Draining, s.clock())
	switch {
	case d == nil && last != nil && last.departure.Life == life.life:
		// An owner has acknowledged all ends.
		last.stop()
		return nil
	case d == nil || last != nil && last.includes(d):
		return last
	}
	d.Node = s.node
	last.stop()
	return s.deliver(ctx, d)
}

// includes reports whether a departure says nothing beyond the one that is being sent.
func (d *delivery) includes(next *link.Departure) bool {
	last := d.departure
	return last.Life == next.Life && (last.Left || !next.Left) && (last.Left || last.LeaseLeft != nil || next.LeaseLeft == nil) && lastEnd(next) <= lastEnd(last)
}

// lastEnd returns the highest number of an end, or 0.
func lastEnd(d *link.Departure) int64 {
	if len(d.Ended) == 0 {
		return 0
	}
	return d.Ended[len(d.Ended)-1].Number
}

// stop ends a delivery, if there is one, and waits for its end.
func (d *delivery) stop() {
	if d != nil {
		d.cancel()
		<-d.done
	}
}

// deliver sends a departure to the entries until each has answered, for departureTimeout
// at most.
func (s *departureSender) deliver(ctx context.Context, d *link.Departure) *delivery {
	s.Info("departure is sent to all entries", "worker", d.Life.ID, "born", d.Life.Born, "ends", len(d.Ended), "left", d.Left, "lease_left", d.LeaseLeft)
	s.Counter("departures").Inc(1)
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	done, begun := make(chan error, 1), s.clock()
	go func() {
		defer cancel()
		answered := map[string]bool{}
		pending := s.sendToPending(ctx, d, answered)
		for ctx.Err() == nil && (pending > 0 || len(answered) == 0) {
			track.Pause(ctx, departureInterval)
			pending = s.sendToPending(ctx, d.After(s.clock()-begun), answered)
		}
		s.Info("departure was sent", "worker", d.Life.ID, "born", d.Life.Born, "ends", len(d.Ended), "left", d.Left, "answered", len(answered), "unanswered", pending)
		done <- nil
	}()
	return &delivery{departure: d, cancel: cancel, done: done}
}

// sendToPending sends a departure to the entries that have not answered yet, at the same
// time. It adds those that answer and returns the number of those that do not.
func (s *departureSender) sendToPending(ctx context.Context, d *link.Departure, answered map[string]bool) int {
	var pending []string
	for _, a := range s.directory.AgentAddresses() {
		if !answered[a] {
			pending = append(pending, a)
		}
	}
	answers := make([]chan error, len(pending))
	for i, a := range pending {
		answers[i] = make(chan error, 1)
		go func() { answers[i] <- s.send(ctx, a, d) }()
	}
	left := 0
	for i, a := range pending {
		if err := <-answers[i]; err != nil {
			left++
			continue
		}
		answered[a] = true
	}
	return left
}

// send sends a departure to one entry and waits for its answers.
func (s *departureSender) send(ctx context.Context, address string, d *link.Departure) error {
	dialing, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	c, err := s.dial(dialing, address)
	if err != nil {
		return errors.Wrapf(err, "connect to the entry at %s", address)
	}
	conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	for _, piece := range d.Split() {
		if err := conn.Send(&link.AgentMessage{Departure: piece}); err != nil {
			return err
		}
		m, err := conn.Receive(welcomeTimeout)
		if err != nil {
			return errors.Wrapf(err, "wait for the answer of the entry at %s", address)
		}
		if !m.DepartureKept {
			return errors.Newf("the entry at %s does not answer the departure", address)
		}
	}
	return nil
}
