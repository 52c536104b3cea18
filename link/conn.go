package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// writeLimit ends a connection whose peer reads nothing.
	writeTimeout = 2 * time.Second
	// maxFrame bounds a frame, in bytes.
	maxFrameBytes = 8 << 20
)

// headBytes is the length of a frame's head: its length and its number.
const headerBytes = 8

// Conn sends messages of type Out and receives those of type In. Frames are
// numbered, so that a connection that has lost some on its way ends.
type Conn[In, Out any] struct {
	conn     net.Conn
	reader   *bufio.Reader
	received uint32
	mu       sync.Mutex
	sent     uint32
}

// NewConn wraps a connection.
func NewConn[In, Out any](c net.Conn) *Conn[In, Out] {
	return &Conn[In, Out]{conn: c, reader: bufio.NewReader(c)}
}

// Send writes one message. It may be called from several goroutines.
func (c *Conn[In, Out]) Send(m *Out) error {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "message %T", m)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	binary.BigEndian.PutUint32(frame[4:], c.sent)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "write deadline")
	}
	_, err = c.conn.Write(append(frame, body...))
	return errors.Wrap(err, "send")
}

// Receive reads the next message; it fails when none comes within limit.
func (c *Conn[In, Out]) Receive(timeout time.Duration) (*In, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "read deadline")
	}
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	n, number := binary.BigEndian.Uint32(header[:]), binary.BigEndian.Uint32(header[4:])
	c.received++
	if number != c.received {
		return nil, errors.Newf("frame %d in place of %d", number, c.received)
	}
	if n > maxFrameBytes {
		return nil, errors.Newf("frame of %d bytes, above %d", n, maxFrameBytes)
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(c.reader, body); err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	m := new(In)
	if err := msgpack.Unmarshal(body, m); err != nil {
		return nil, errors.Wrapf(err, "message %T", m)
	}
	return m, nil
}

// Close ends the connection; a Receive in progress fails.
func (c *Conn[In, Out]) Close() error { return c.conn.Close() }
