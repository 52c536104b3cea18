package link_test

import (
	"net"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// leaky loses one write.
type leaky struct {
	net.Conn
	writes, lose int
}

func (l *leaky) Write(p []byte) (int, error) {
	l.writes++
	if l.writes == l.lose {
		return len(p), nil
	}
	return l.Conn.Write(p)
}

func pair(lose int) (*link.Conn[link.Down, link.Up], *link.Conn[link.Up, link.Down]) {
	a, b := net.Pipe()
	return link.NewConn[link.Down, link.Up](&leaky{Conn: a, lose: lose}), link.NewConn[link.Up, link.Down](b)
}

func send(c *link.Conn[link.Down, link.Up], n int) {
	for i := range n {
		// The other end may be gone by then.
		_ = c.Send(&link.Up{Beat: int64(i + 1), Ended: []spar.Ended{{Number: int64(i), Ending: spar.EndDone}}})
	}
}

func TestMessagesArriveInOrder(t *testing.T) {
	a, b := pair(0)
	go send(a, 3)
	for i := range int64(3) {
		m, err := b.Receive(time.Second)
		if err != nil || m.Beat != i+1 || m.Ended[0].Number != i {
			t.Fatalf("message %d: %+v, %v", i, m, err)
		}
	}
}

// An order or an end that was lost on the way must not pass unnoticed in a
// connection that goes on.
func TestLostFrameEndsTheConnection(t *testing.T) {
	a, b := pair(2)
	go send(a, 3)
	if _, err := b.Receive(time.Second); err != nil {
		t.Fatal(err)
	}
	if m, err := b.Receive(time.Second); err == nil {
		t.Fatalf("received %+v after a loss", m)
	}
}

func TestSilenceEndsTheConnection(t *testing.T) {
	_, b := pair(0)
	if _, err := b.Receive(50 * time.Millisecond); err == nil {
		t.Fatal("no error after silence")
	}
}
