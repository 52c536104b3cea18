package owner

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/track"
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 50 * time.Millisecond

// acceptAgents accepts connections of agents until the context ends, and waits for those
// that it has accepted.
func (c *Candidate) acceptAgents(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		if err := c.agentListener.Close(); err != nil {
			c.Warn("could not close the listener for agents", "err", err)
		}
	}()
	go func() {
		var serving sync.WaitGroup
		for {
			conn, err := c.agentListener.Accept()
			if ctx.Err() != nil {
				if err == nil {
					conn.Close()
				}
				serving.Wait()
				done <- nil
				return
			}
			if err != nil {
				c.Warn("could not accept an agent", "err", err)
				track.Pause(ctx, acceptRetryDelay)
				continue
			}
			serving.Go(func() { c.serveConnection(ctx, conn) })
		}
	}()
	return done
}

// hold keeps a connection open also when the process is short of memory. It returns
// false if the connection has been closed before.
func hold(nc net.Conn) bool {
	h, ok := nc.(interface{ Hold() bool })
	return !ok || h.Hold()
}

// serveConnection serves a connection of an agent until it or the context ends. The first
// message tells whether it brings departures, which any entry takes, or opens a session,
// which only an entry with a term that is ready does.
func (c *Candidate) serveConnection(ctx context.Context, nc net.Conn) {
	conn := link.NewConn[link.AgentMessage, link.OwnerMessage](nc)
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	first, err := conn.Receive(silenceTimeout)
	switch {
	case ctx.Err() != nil:
	case err != nil:
		c.Warn("agent rejected: no valid first message", "from", nc.RemoteAddr(), "err", err)
	case !hold(nc):
	case first.Departure != nil:
		if err := c.receiveDepartures(conn, first); err != nil && ctx.Err() == nil {
			c.Warn("departure rejected", "from", nc.RemoteAddr(), "err", err)
		}
	default:
		if t := c.currentTerm(); t != nil && t.isReady() {
			t.serveAgent(conn, nc.RemoteAddr(), first)
		}
	}
}
