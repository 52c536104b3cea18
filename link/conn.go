package link

import (
	"bufio"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// writeTimeout bounds a write, so that a peer that does not read cannot block
	// the sender.
	writeTimeout = 2 * time.Second
	// maxFrameBytes bounds a frame's body.
	maxFrameBytes = 8 << 20
	// firstFrameBytes is the first buffer of a frame's body, which grows as the body
	// arrives.
	firstFrameBytes = 16 << 10
)

// headerBytes is the length of a frame's header: the length of the body and the
// frame's number, 4 bytes each.
const headerBytes = 8

// ErrTooLarge means that a message exceeds a frame. The receiver would drop the
// connection.
var ErrTooLarge = errors.New("message exceeds a frame")

// Memory admits the bytes of messages. A connection that implements it is asked before
// they are taken.
type Memory interface {
	// Reserve waits for n bytes.
	Reserve(n int) error
	// Release returns it.
	Release(n int)
}

// Conn sends messages of type Out and receives messages of type In. Frames are
// numbered, so that the receiver detects a lost one.
type Conn[In, Out any] struct {
	conn     net.Conn
	reader   *bufio.Reader
	received uint32
	// held is what the last message received has reserved.
	held int
	mu   sync.Mutex
	sent uint32
}

// NewConn wraps a connection.
func NewConn[In, Out any](c net.Conn) *Conn[In, Out] {
	return &Conn[In, Out]{conn: c, reader: bufio.NewReader(c)}
}

// Send writes one message. It may be called from several goroutines.
func (c *Conn[In, Out]) Send(m *Out) error {
	body, err := msgpack.Marshal(m)
	if err != nil {
		return errors.NewAssertionErrorWithWrappedErrf(err, "encode message %T", m)
	}
	if len(body) > maxFrameBytes {
		return errors.Wrapf(ErrTooLarge, "message %T of %d bytes, at most %d", m, len(body), maxFrameBytes)
	}
	frame := make([]byte, headerBytes, headerBytes+len(body))
	binary.BigEndian.PutUint32(frame, uint32(len(body)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	binary.BigEndian.PutUint32(frame[4:], c.sent)
	if err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.Wrap(err, "set write deadline")
	}
	_, err = c.conn.Write(append(frame, body...))
	return errors.Wrap(err, "send message")
}

// Receive reads the next message. It fails if none arrives within timeout, or if
// a frame before it was lost.
func (c *Conn[In, Out]) Receive(timeout time.Duration) (*In, error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Wrap(err, "set read deadline")
	}
	c.releaseHeld()
	var header [headerBytes]byte
	if _, err := io.ReadFull(c.reader, header[:]); err != nil {
		return nil, errors.Wrap(err, "receive frame header")
	}
	n, number := binary.BigEndian.Uint32(header[:]), binary.BigEndian.Uint32(header[4:])
	c.received++
	if number != c.received {
		return nil, errors.Newf("received frame %d, want frame %d", number, c.received)
	}
	if n > maxFrameBytes {
		return nil, errors.Newf("received a frame of %d bytes, want at most %d", n, maxFrameBytes)
	}
	body, err := c.receiveBody(int(n))
	if err != nil {
		return nil, errors.Wrap(err, "receive frame body")
	}
	if err := c.reserveDecoded(body); err != nil {
		return nil, errors.Wrap(err, "decode message")
	}
	m, err := codec.Decode[In](body)
	return &m, err
}

// reserveDecoded reserves what a message takes when it is decoded.
func (c *Conn[In, Out]) reserveDecoded(body []byte) error {
	memory, limited := c.conn.(Memory)
	if !limited {
		return nil
	}
	n, err := codec.DecodedBytes(body)
	if err != nil {
		return err
	}
	if err := memory.Reserve(n); err != nil {
		return err
	}
	c.held += n
	return nil
}

// releaseHeld releases the memory of the last message, which has been handled by now.
func (c *Conn[In, Out]) releaseHeld() {
	if memory, limited := c.conn.(Memory); limited && c.held > 0 {
		memory.Release(c.held)
		c.held = 0
	}
}

// receiveBody reads n bytes into a buffer that grows as they arrive. Their memory stays
// reserved until the next Receive.
func (c *Conn[In, Out]) receiveBody(n int) ([]byte, error) {
	memory, limited := c.conn.(Memory)
	var body []byte
	for size := min(n, firstFrameBytes); ; size = min(n, 2*size) {
		// The buffer before stays until its bytes are copied.
		if need := 2 * size; limited {
			if err := memory.Reserve(need - c.held); err != nil {
				return nil, err
			}
			c.held = need
		}
		read := len(body)
		body = append(make([]byte, 0, size), body...)[:size]
		if _, err := io.ReadFull(c.reader, body[read:]); err != nil || size == n {
			return body, err
		}
	}
}

// Close ends the connection; a Receive in progress fails.
func (c *Conn[In, Out]) Close() error { return c.conn.Close() }
