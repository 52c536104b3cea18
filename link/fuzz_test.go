package link_test

import (
	"bytes"
	"encoding/binary"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/fuzz"
	"github.com/berylspar/spar/link"
	"github.com/vmihailenco/msgpack/v5"
)

// bytesConn is a connection on which the bytes of a peer have arrived.
type bytesConn struct {
	net.Conn
	*bytes.Reader
}

func (bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c bytesConn) Read(p []byte) (int, error)     { return c.Reader.Read(p) }
func (c bytesConn) Write(p []byte) (int, error)    { return len(p), nil }
func (bytesConn) SetWriteDeadline(time.Time) error { return nil }
func (bytesConn) Close() error                     { return nil }

// Bytes of any peer must end in a message or in an error.
func FuzzReceive(f *testing.F) {
	for _, body := range []string{
		encode(f, link.AgentMessage{Node: "i-1", Worker: &spar.WorkerInfo{Service: "s"}, Running: []spar.Running{{Run: 1}}}),
		encode(f, link.OwnerMessage{Welcome: &link.Welcome{Epoch: 1}, Grant: 3}),
		"\x81\xa1r\xdc\x03\xe8" + strings.Repeat("\xc0", 1000),
		"\x81\xa1r\xdd\xff\xff\xff\xff",
		strings.Repeat("\x91", 1000),
	} {
		f.Add([]byte(frame(len(body), 1) + body + frame(1, 2) + "\x80"))
	}
	f.Add([]byte(frame(8<<20, 1) + "\x80"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		fuzz.Bounded(t, len(stream), func() {
			c := link.NewConn[link.AgentMessage, link.OwnerMessage](bytesConn{Reader: bytes.NewReader(stream)})
			for {
				if _, err := c.Receive(time.Second); err != nil {
					break
				}
			}
		})
		fuzz.Bounded(t, len(stream), func() {
			c := link.NewConn[link.OwnerMessage, link.AgentMessage](bytesConn{Reader: bytes.NewReader(stream)})
			for {
				if _, err := c.Receive(time.Second); err != nil {
					break
				}
			}
		})
	})
}

// The bound of what a message decodes to is reserved before it is decoded, so it must hold.
func FuzzDecodedBytes(f *testing.F) {
	f.Add([]byte(encode(f, link.AgentMessage{Node: "i-1", Worker: &spar.WorkerInfo{Service: "s", Labels: []string{"a"}}, Running: []spar.Running{{Run: 1}}})))
	for _, row := range []string{"\xc0", "\x80", "\x90", "\x81\xa1t\xc0"} {
		f.Add([]byte("\x81\xa1r\xdc\x10\x00" + strings.Repeat(row, 4096)))
		f.Add([]byte("\x81\xa1e\xdc\x10\x00" + strings.Repeat(row, 4096)))
		f.Add([]byte("\x81\xa1d\xdc\x10\x00" + strings.Repeat(row, 4096)))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		most, err := codec.DecodedBytes(body)
		if err != nil {
			return
		}
		fuzz.Within(t, most, func() { _, _ = codec.Decode[link.AgentMessage](body) })
		fuzz.Within(t, most, func() { _, _ = codec.Decode[link.OwnerMessage](body) })
	})
}

func FuzzDecodeEntryRecord(f *testing.F) {
	f.Add(link.EntryRecord{Epoch: 4, AgentAddress: "10.0.0.1:1", Predecessors: []link.Predecessor{{Epoch: 3}}}.Encode())
	f.Fuzz(func(t *testing.T, value []byte) {
		fuzz.Bounded(t, len(value), func() {
			r, err := link.DecodeEntryRecord(value)
			if err != nil {
				return
			}
			if again, err := link.DecodeEntryRecord(r.Encode()); err != nil || again.Epoch != r.Epoch || again.AgentAddress != r.AgentAddress {
				t.Errorf("%+v is %+v, %v after it was written", r, again, err)
			}
		})
	})
}

// Entries answer others with the departures that they keep.
func FuzzDecodeDepartures(f *testing.F) {
	f.Add([]byte(encode(f, []link.Departure{{}})))
	f.Fuzz(func(t *testing.T, body []byte) {
		fuzz.Bounded(t, len(body), func() { _, _ = codec.Decode[[]link.Departure](body) })
	})
}

func encode[T any](f *testing.F, v T) string {
	out, err := msgpack.Marshal(&v)
	if err != nil {
		f.Fatal(err)
	}
	return string(out)
}

func frame(length, number int) string {
	return string(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, uint32(length)), uint32(number)))
}
