package crowd_test

import (
	"context"
	"io"
	"net"
	"time"
)

const (
	// rounds is how often a member connects: it returns when its connection is
	// closed.
	rounds      = 3
	dialTimeout = time.Second
	redialPause = 20 * time.Millisecond
)

// member is one client of a crowd.
type member struct {
	crowd
	number  int
	address string
}

// connection is a member's connection.
type connection struct {
	net.Conn
	// member numbers the members of the crowd.
	member int
	// answered is closed when the first byte of an answer or the end of the connection
	// has arrived.
	answered chan struct{}
}

// run connects up to rounds times, until the context ends.
func (m member) run(ctx context.Context, inPlace func()) {
	for range rounds {
		if ctx.Err() != nil {
			return
		}
		m.connect(ctx, inPlace)
		select {
		case <-ctx.Done():
		case <-time.After(redialPause):
		}
	}
}

// connect follows the script on a new connection, and holds it until the other side
// closes it or the context ends.
func (m member) connect(ctx context.Context, inPlace func()) {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp4", m.address)
	if err != nil {
		return
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	closed, answered := make(chan struct{}), make(chan struct{})
	if m.deaf || m.readsItself {
		if m.deaf {
			// What it sends may block for as long as the answers are not taken.
			inPlace()
		}
		go func() { <-ctx.Done(); close(closed) }()
	} else {
		go func() {
			defer close(closed)
			c.Read(make([]byte, 1))
			close(answered)
			io.Copy(io.Discard, c)
		}()
	}
	if err := m.script(ctx, &connection{Conn: c, member: m.number, answered: answered}, inPlace); err != nil {
		return
	}
	inPlace()
	<-closed
}

// sendFiller writes n bytes of filler.
func (c *connection) sendFiller(n int) error {
	for n > 0 {
		piece := filler[:min(n, len(filler))]
		if _, err := c.Write(piece); err != nil {
			return err
		}
		n -= len(piece)
	}
	return nil
}

// sendString writes a string.
func (c *connection) sendString(s string) error {
	_, err := io.WriteString(c, s)
	return err
}

// trickle writes one byte after another until that fails or the context ends.
func (c *connection) trickle(ctx context.Context) error {
	for ctx.Err() == nil {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		time.Sleep(trickleInterval)
	}
	return ctx.Err()
}

const trickleInterval = 50 * time.Millisecond

// filler is white space, which JSON may begin with.
var filler = func() []byte {
	b := make([]byte, 64<<10)
	for i := range b {
		b[i] = ' '
	}
	return b
}()
