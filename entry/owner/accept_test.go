package owner

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
)

// failingListener fails once, as a process does that has no file descriptor left for a
// moment, and then returns the connections of a channel until it is closed.
type failingListener struct {
	net.Listener
	conns  chan net.Conn
	failed sync.Once
}

func (l *failingListener) Accept() (net.Conn, error) {
	var err error
	l.failed.Do(func() { err = errors.New("too many open files") })
	if err != nil {
		return nil, err
	}
	c, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (l *failingListener) Close() error { close(l.conns); return nil }

// A connection could not be accepted. An entry that accepted no more would still be
// elected, and as the owner it would wait for agents that can not reach it.
func TestFailedAcceptDoesNotEndTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		l := &failingListener{conns: make(chan net.Conn, 1)}
		b.candidate.agentListener = l
		ctx, cancel := context.WithCancel(t.Context())
		done := b.candidate.acceptAgents(ctx)
		agent, entry := net.Pipe()
		l.conns <- entry
		b.tellOver(agent, link.Departure{Node: "n1", Life: departedLife, Left: true})
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
