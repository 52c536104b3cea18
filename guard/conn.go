package guard

import (
	"net"
	"sync"
	"time"
)

const (
	// lingerTime and lingerBytes bound what is read and dropped after a refusal, since
	// closing a connection with unread bytes would reset it before the answer arrives.
	lingerTime  = 250 * time.Millisecond
	lingerBytes = 256 << 10
)

// unavailable is the answer to a request for whose header there was no memory.
const unavailable = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Conn is a connection that the guard accounts for. Its owner closes it.
type Conn struct {
	net.Conn
	guard *Guard
	entry *Entry
	// reserved tells whether the bytes of a first request are reserved; body is what is
	// reserved for the request in progress. Both belong to the reader.
	reserved bool
	body     int
	refused  bool
	once     sync.Once
}

// Read reads, and reserves what a first request takes before it returns the first byte.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.reserved && c.entry.kind != Agents {
		c.guard.move(c.entry, Reading)
		if e := c.guard.reserve(c.entry, requestBytes); e != nil {
			c.refuse()
			return 0, e
		}
		c.reserved = true
	}
	return n, err
}

// refuse answers that there is no memory, in place of the server.
func (c *Conn) refuse() {
	if c.SetWriteDeadline(time.Now().Add(lingerTime)) == nil {
		// The client may be gone.
		_, _ = c.Write([]byte(unavailable))
	}
	c.refused = true
}

// Reserve waits for n bytes of memory. The error is ErrNoRoom, or net.ErrClosed if the
// connection has been closed to make room.
func (c *Conn) Reserve(n int) error {
	return c.guard.reserve(c.entry, n)
}

// Release returns what Reserve has reserved.
func (c *Conn) Release(n int) { c.guard.release(c.entry, n) }

// Hold keeps the connection open also when room is short. It returns false if it has
// been closed.
func (c *Conn) Hold() bool { return c.guard.move(c.entry, Session) }

// begin notes that a request arrives. The write deadline of the last answer is renewed for
// what is written before the next one.
func (c *Conn) begin() {
	c.guard.move(c.entry, Reading)
	l := c.guard.limits
	if err := c.SetWriteDeadline(time.Now().Add(l.header() + l.body() + l.answer())); err != nil {
		// The connection has been closed, which the next read reports.
		return
	}
}

// end notes that the request has been answered.
func (c *Conn) end() {
	c.guard.finish(c.entry, c.body)
	c.body = 0
}

// answer notes that the request has been handled and its answer takes n bytes.
func (c *Conn) answer(n int) {
	c.guard.answer(c.entry, n-c.body)
	c.body = n
}

// grow reserves bytes for the request, n in all.
func (c *Conn) grow(n int) error {
	if n == c.body {
		return nil
	}
	if err := c.guard.reserve(c.entry, n-c.body); err != nil {
		return err
	}
	c.body = n
	return nil
}

// Close closes the connection and returns its memory.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		if c.refused {
			c.linger()
		}
		err = c.Conn.Close()
		c.guard.remove(c.entry)
	})
	return err
}

// linger lets the client read a refusal before the connection ends.
func (c *Conn) linger() {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || half.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	var dropped [4 << 10]byte
	for total := 0; total < lingerBytes; {
		n, err := c.Conn.Read(dropped[:])
		if err != nil {
			return
		}
		total += n
	}
}
