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
	writeLimit = 2 * time.Second
	// maxFrame bounds a frame, in bytes.
	maxFrame = 8 << 20
)

// Conn sends messages of type Out and receives those of type In.
type Conn[In, Out any] struct {
	conn   net.Conn
	reader *bufio.Reader
	mu     sync.Mutex
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
	frame := make([]byte, 4, 4+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
		return errors.Wrap(err, "write deadline")
	}
	_, err = c.conn.Write(append(frame, body...))
	return errors.Wrap(err, "send")
}

// Receive reads the next message; it fails when none comes within limit.
func (c *Conn[In, Out]) Receive(limit time.Duration) (*In, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return nil, errors.Wrap(err, "read deadline")
	}
	var head [4]byte
	if _, err := io.ReadFull(c.reader, head[:]); err != nil {
		return nil, errors.Wrap(err, "receive")
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > maxFrame {
		return nil, errors.Newf("frame of %d bytes, above %d", n, maxFrame)
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
