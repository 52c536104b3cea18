package exec

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

// Executor serves the owner of the shard, one session after the other.
type Executor struct {
	common.Common
	node   string
	beats  *Beats
	worker spar.Worker
	place  *track.Directory
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

// NewExecutor returns the executor of a node.
func NewExecutor(c common.Common, node string, b *Beats, w spar.Worker, s spar.Store, d Dial, clock func() time.Duration) *Executor {
	return &Executor{Common: c, node: node, beats: b, worker: w, dial: d, clock: clock, place: track.NewDirectory(s, ownerWait, func(err error) {
		c.Warn("owner's place not readable", "err", err)
	})}
}

// Run serves until the context ends.
func (e *Executor) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	following := e.place.Run(ctx)
	go func() {
		failures := 0
		for ctx.Err() == nil {
			begun := time.Now()
			err := e.next(ctx)
			switch {
			case err == nil || ctx.Err() != nil || time.Since(begun) > shortSession:
				failures = 0
			default:
				failures++
			}
			if err != nil && ctx.Err() == nil {
				e.Counter("sessions_ended").Inc(1)
				if failures <= 1 || failures%tellEvery == 0 {
					e.Warn("session ends", "failures", failures, "err", err)
				}
			}
			e.wait(ctx)
		}
		done <- <-following
	}()
	return done
}

// wait waits for a pause, or less when there is news.
func (e *Executor) wait(ctx context.Context) {
	t := time.NewTimer(sessionPause)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.beats.Changed():
	case <-e.place.OwnerChanged():
	}
}

// next runs one session with the owner, if both it and the worker are known.
func (e *Executor) next(ctx context.Context) error {
	at, beat := e.place.Owner(), e.beats.Load()
	if at == nil || beat == nil || e.beats.HasLeft(beat.Info.Life) && e.told == at.Epoch {
		return nil
	}
	c, err := e.dial(ctx, at.AgentAddress)
	if err != nil {
		return errors.Wrap(err, "connect to the owner")
	}
	conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
	defer conn.Close()
	if err := conn.Send(&link.AgentMessage{Node: e.node, Worker: &beat.Info, MaxLeaseLeft: e.leaseLeft(beat.Info.Life)}); err != nil {
		return err
	}
	m, err := conn.Receive(welcomeLimit)
	if err != nil {
		return errors.Wrap(err, "no welcome")
	}
	if m.Welcome == nil || m.Welcome.Epoch < e.epoch {
		return errors.Newf("owner of epoch %d, below %d", epochOf(m), e.epoch)
	}
	e.epoch = m.Welcome.Epoch
	e.Info("session begins", "epoch", e.epoch, "token", m.Welcome.Token, "worker", beat.Info.Life.ID)
	e.Counter("sessions").Inc(1)
	return newSession(e, conn, *m.Welcome, *beat).run(ctx)
}

// leaseLeft is how long leases on a life can last that this process extends,
// nil when it has not listed that life yet.
func (e *Executor) leaseLeft(l spar.Life) *time.Duration {
	if e.held != l {
		return nil
	}
	left := max(e.heldUntil-e.clock(), 0)
	return &left
}

func epochOf(m *link.OwnerMessage) int64 {
	if m.Welcome == nil {
		return 0
	}
	return m.Welcome.Epoch
}
