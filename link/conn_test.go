package link_test

import (
	"net"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// lossyConn drops one write.
type lossyConn struct {
	net.Conn
	writes, lostWrite int
}

func (l *lossyConn) Write(p []byte) (int, error) {
	l.writes++
	if l.writes == l.lostWrite {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func newPair(lostWrite int) (*link.Conn[link.OwnerMessage, link.AgentMessage], *link.Conn[link.AgentMessage, link.OwnerMessage]) {
	a, b := net.Pipe()
	return link.NewConn[link.OwnerMessage, link.AgentMessage](&lossyConn{Conn: a, lostWrite: lostWrite}), link.NewConn[link.AgentMessage, link.OwnerMessage](b)
}

func sendMessages(c *link.Conn[link.OwnerMessage, link.AgentMessage], n int) {
	for i := range n {
		// The other end may have been closed by then.
		_ = c.Send(&link.AgentMessage{Heartbeat: int64(i + 1), Ended: []spar.Ended{{Number: int64(i), Ending: spar.EndDone}}})
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, b := newPair(0)
	go sendMessages(a, 3)
	for i := range int64(3) {
		m, err := b.Receive(time.Second)
		if err != nil || m.Heartbeat != i+1 || m.Ended[0].Number != i {
			t.Fatalf("message %d: %+v, %v", i, m, err)
		}
	}
}

// Guards against a connection that goes on after a frame was lost: the order or
// the end of a run in it would never be noticed.
func TestReceiveFailsAfterLostFrame(t *testing.T) {
	a, b := newPair(2)
	go sendMessages(a, 3)
	if _, err := b.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	if m, err := b.Receive(time.Second); err == nil {
		t.Fatalf("received %+v after a lost frame", m)
	}
}

func TestReceiveFailsAfterSilence(t *testing.T) {
	_, b := newPair(0)
	if _, err := b.Receive(50 * time.Millisecond); err == nil {
		t.Fatal("no error after silence")
	}
}
