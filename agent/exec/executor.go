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
	// connectTimeout limits a connection attempt to the owner.
	connectTimeout = 400 * time.Millisecond
	// welcomeTimeout limits the wait for the owner's first message.
	welcomeTimeout = time.Second
	// ownerTimeout ends a session whose owner does not answer heartbeats. It
	// spans several heartbeats.
	ownerTimeout = 2500 * time.Millisecond
	// sessionDelay is the delay between two sessions.
	sessionDelay = 100 * time.Millisecond
	// minSessionDuration is the time below which a session that ended with an
	// error counts as failed. Of consecutive failed sessions only the first and
	// every logEveryNthFailure-th is logged.
	minSessionDuration = time.Second
	logEveryNthFailure = 20
	// ownerReadWait limits how long one read of the owner topic waits for a new
	// record. A store connection that stopped responding is detected only after
	// this time, or after ownerReadRepeat while sessions fail: the leases would end
	// before the agent learns of the next owner.
	ownerReadWait   = 3 * time.Second
	ownerReadRepeat = time.Second
)

// Dial opens a connection to an owner.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// DialTCP implements Dial over TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: connectTimeout}
	return d.DialContext(ctx, "tcp4", address)
}

// Executor serves the owner of the shard in one session at a time.
type Executor struct {
	common.Common
	node       string
	heartbeats *Heartbeats
	worker     spar.Worker
	directory  *track.Directory
	dial       Dial
	// clock returns a monotonic time that includes the time during which the
	// machine was suspended.
	clock func() time.Duration
	// epoch is the highest epoch of the owners served so far.
	epoch int64
	// lifeRecord is of the worker's current life, and earlierIDs are those of the last
	// lives. lifeEnds are the last ends of lives that were not announced. Each owner is
	// told of them, since the last one may not have stored what it was told.
	lifeRecord *lifeRecord
	earlierIDs []string
	lifeEnds   []link.LifeEnd
	// leaveReportedEpoch is the epoch of the last owner that was informed that
	// the worker has left.
	leaveReportedEpoch int64
	// lastTarget is the target of the calls of the last session, and listedAt the last
	// time at which the worker was listed without one.
	lastTarget spar.Target
	listedAt   time.Duration
	departures *departureSender
}

// NewExecutor returns the executor of a node.
func NewExecutor(c common.Common, node string, b *Heartbeats, w spar.Worker, s spar.Store, d Dial, clock func() time.Duration) *Executor {
	directory := track.NewDirectory(s, ownerReadWait, func(err error) { c.Warn("owner record could not be read", "err", err) })
	departures := &departureSender{Common: c, node: node, heartbeats: b, directory: directory, dial: d, clock: clock, changed: make(chan struct{}, 1)}
	return &Executor{Common: c, node: node, heartbeats: b, worker: w, dial: d, clock: clock, directory: directory, departures: departures}
}

// Run serves until the context ends. The channel then receives the result.
func (e *Executor) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	ownerDone, departuresDone := e.directory.Run(ctx), e.departures.run(ctx)
	go func() {
		failures := 0
		for ctx.Err() == nil {
			started := time.Now()
			err := e.runSession(ctx)
			switch {
			case err == nil || ctx.Err() != nil || time.Since(started) > minSessionDuration:
				failures = 0
			default:
				failures++
			}
			if err != nil && ctx.Err() == nil {
				e.Counter("sessions_ended").Inc(1)
				if failures <= 1 || failures%logEveryNthFailure == 0 {
					e.Warn("session ends", "failures", failures, "err", err)
				}
			}
			e.listWithoutSession(ctx)
			if err != nil {
				e.directory.RepeatRead(ownerReadRepeat)
			}
			e.waitForChange(ctx)
		}
		done <- errors.CombineErrors(<-ownerDone, <-departuresDone)
	}()
	return done
}

// waitForChange waits for sessionDelay, or until the worker or the owner
// changes.
func (e *Executor) waitForChange(ctx context.Context) {
	t := time.NewTimer(sessionDelay)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-e.heartbeats.Changed():
	case <-e.directory.OwnerChanged():
	}
}

// runSession runs one session with the owner if both the owner and the worker
// are known. It does nothing if the owner already knows that the worker has
// left.
func (e *Executor) runSession(ctx context.Context) error {
	owner, heartbeat := e.directory.Owner(), e.heartbeats.Load()
	if owner == nil || heartbeat == nil || e.heartbeats.HasLeft(heartbeat.Info.Life) && e.leaveReportedEpoch == owner.Epoch {
		return nil
	}
	life := e.recordLife(heartbeat.Info.Life)
	c, err := e.dial(ctx, owner.AgentAddress)
	if err != nil {
		return errors.Wrap(err, "connect to the owner")
	}
	conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
	defer conn.Close()
	if err := conn.Send(&link.AgentMessage{Node: e.node, Worker: &heartbeat.Info, MaxLeaseLeft: life.leaseLeft(e.clock()), LifeEnds: e.lifeEnds}); err != nil {
		return err
	}
	m, err := conn.Receive(welcomeTimeout)
	if err != nil {
		return errors.Wrap(err, "wait for the owner's welcome")
	}
	if m.Welcome == nil || m.Welcome.Epoch < e.epoch {
		return errors.Newf("welcome from an owner of epoch %d, expected at least %d", epochOf(m), e.epoch)
	}
	e.epoch = m.Welcome.Epoch
	e.Info("session begins", "epoch", e.epoch, "token", m.Welcome.Token, "worker", heartbeat.Info.Life.ID)
	e.Counter("sessions").Inc(1)
	s := newSession(e, life, conn, *m.Welcome, *heartbeat)
	e.lastTarget = s.target
	return s.run(ctx)
}

// epochOf returns the epoch in a welcome, or 0 if the message is none.
func epochOf(m *link.OwnerMessage) int64 {
	if m.Welcome == nil {
		return 0
	}
	return m.Welcome.Epoch
}
