package hand

import (
	"context"
	"net"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

const (
	// connectLimit ends a connection attempt to the owner without an answer.
	connectLimit = 400 * time.Millisecond
	// welcomeLimit ends a session that the owner does not open.
	welcomeLimit = time.Second
	// silentLimit ends a session whose owner does not answer heartbeats.
	silentLimit = 2500 * time.Millisecond
	// sessionPause is the pause between two sessions.
	sessionPause = 100 * time.Millisecond
	// shortSession is the time below which a session counts as one that failed;
	// of those in a row only the first and every tellEvery-th is logged.
	shortSession = time.Second
	tellEvery    = 20
	// ownerWait bounds how long a read for a new owner waits; a connection that
	// has gone silent is found out after it.
	ownerWait = 3 * time.Second
)

// Dial connects to an owner.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP connects over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectLimit}
	return d.DialContext(ctx, "tcp4", address)
}

// Hand serves the owner of the shard, one session after the other.
type Hand struct {
	common.Common
	node   string
	beats  *Beats
	worker spar.Worker
	place  *track.Owner
	dial   Dial
	// clock is steady time, which goes on while the machine is suspended.
	clock func() time.Duration
	// epoch is the highest of the owners served.
	epoch int64
	// held is the life whose leases this process extends, and heldUntil when
	// they end at the latest.
	held      spar.Life
	heldUntil time.Duration
	// told is the epoch of the owner that knows that the worker has left.
	told int64
}

// NewHand returns the hand of a node.
func NewHand(c common.Common, node string, b *Beats, w spar.Worker, s spar.Store, d Dial, clock func() time.Duration) *Hand {
	return &Hand{Common: c, node: node, beats: b, worker: w, dial: d, clock: clock, place: track.NewOwner(s, ownerWait, func(err error) {
		c.Warn("owner's place not readable", "err", err)
	})}
}

// Run serves until the context ends.
func (h *Hand) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	following := h.place.Run(ctx)
	go func() {
		failures := 0
		for ctx.Err() == nil {
			begun := time.Now()
			err := h.next(ctx)
			switch {
			case err == nil || ctx.Err() != nil || time.Since(begun) > shortSession:
				failures = 0
			default:
				failures++
			}
			if err != nil && ctx.Err() == nil {
				h.Counter("sessions_ended").Inc(1)
				if failures <= 1 || failures%tellEvery == 0 {
					h.Warn("session ends", "failures", failures, "err", err)
				}
			}
			h.wait(ctx)
		}
		done <- <-following
	}()
	return done
}

// wait waits for a pause, or less when there is news.
func (h *Hand) wait(ctx context.Context) {
	t := time.NewTimer(sessionPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-h.beats.Changed():
	case <-h.place.Changed():
	}
}

// next runs one session with the owner, if both it and the worker are known.
func (h *Hand) next(ctx context.Context) error {
	at, beat := h.place.Load(), h.beats.Load()
	if at == nil || beat == nil || h.beats.HasLeft(beat.Info.Life) && h.told == at.Epoch {
		return nil
	}
	c, err := h.dial(ctx, at.Agents)
	if err != nil {
		return errors.Wrap(err, "connect to the owner")
	}
	conn := link.NewConn[link.Down, link.Up](c)
	defer conn.Close()
	if err := conn.Send(&link.Up{Node: h.node, Worker: &beat.Info, Lease: h.leaseLeft(beat.Info.Life)}); err != nil {
		return err
	}
	m, err := conn.Receive(welcomeLimit)
	if err != nil {
		return errors.Wrap(err, "no welcome")
	}
	if m.Welcome == nil || m.Welcome.Epoch < h.epoch {
		return errors.Newf("owner of epoch %d, below %d", epochOf(m), h.epoch)
	}
	h.epoch = m.Welcome.Epoch
	h.Info("session begins", "epoch", h.epoch, "token", m.Welcome.Token, "worker", beat.Info.Life.ID)
	h.Counter("sessions").Inc(1)
	return newSession(h, conn, *m.Welcome, *beat).run(ctx)
}

// leaseLeft is how long leases on a life can last that this process extends,
// nil when it has not listed that life yet.
func (h *Hand) leaseLeft(l spar.Life) *time.Duration {
	if h.held != l {
		return nil
	}
	left := max(h.heldUntil-h.clock(), 0)
	return &left
}

func epochOf(m *link.Down) int64 {
	if m.Welcome == nil {
		return 0
	}
	return m.Welcome.Epoch
}
