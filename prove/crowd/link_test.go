package crowd_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"strings"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// maxFrame is the largest frame that an agent may send in bytes.
	maxFrame = 8 << 20
	// deepFrame is the length of a frame that is one array in another.
	deepFrame = 4 << 20
	// hugeRows is the number of rows of a frame that holds a byte for each.
	hugeRows = 1 << 20
	// endlessBytes is sent without a pause by a member that does not stop.
	endlessBytes = 6 << 20
)

// linkWays are the crowds that are set on the listener for agents.
var linkWays = []way{
	{"FrameOverLimit", crowd{size: 100, script: func(_ context.Context, c *connection, _ func()) error {
		return sendFrame(c, 1<<32-1, endlessBytes)
	}}},
	{"EndlessBytes", crowd{size: 100, script: func(ctx context.Context, c *connection, inPlace func()) error {
		if err := sendFrame(c, maxFrame, endlessBytes/2); err != nil {
			return err
		}
		inPlace()
		return c.trickle(ctx)
	}}},
	{"HeldFrames", crowd{size: heldBytes / maxFrame, script: func(_ context.Context, c *connection, _ func()) error {
		return sendFrame(c, maxFrame, maxFrame/100*95)
	}}},
	{"EndlessHeaders", crowd{size: manyMembers, script: func(_ context.Context, c *connection, _ func()) error {
		return c.sendFiller(3)
	}}},
	{"Silent", crowd{size: manyMembers, script: func(context.Context, *connection, func()) error { return nil }}},
	{"AnswersNotTaken", crowd{size: 100, deaf: true, script: func(_ context.Context, c *connection, _ func()) error {
		return sendHeartbeats(c)
	}}},
	{"HugeMessage", crowd{size: 4, script: func(_ context.Context, c *connection, _ func()) error {
		rows := binary.BigEndian.AppendUint32([]byte("\x81\xa1r\xdd"), hugeRows)
		return sendAndWait(c, string(rows)+strings.Repeat("\xc0", hugeRows))
	}}},
	{"DeepMessage", crowd{size: 1, script: func(_ context.Context, c *connection, _ func()) error {
		return sendAndWait(c, strings.Repeat("\x91", deepFrame))
	}}},
}

// sendFrame sends a frame's header with a length and then n bytes.
func sendFrame(c *connection, length uint32, n int) error {
	if err := c.sendString(frameHeader(length, 1)); err != nil {
		return err
	}
	return c.sendFiller(n)
}

// sendMessage sends a whole frame.
func sendMessage(c *connection, number uint32, body string) error {
	return c.sendString(frameHeader(uint32(len(body)), number) + body)
}

// sendAndWait sends a first message and waits until the other side has handled it.
func sendAndWait(c *connection, body string) error {
	err := sendMessage(c, 1, body)
	if err == nil {
		<-c.answered
	}
	return err
}

func frameHeader(length, number uint32) string {
	return string(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, length), number))
}

// sendHeartbeats opens a session and sends many heartbeats.
func sendHeartbeats(c *connection) error {
	first, err := msgpack.Marshal(hello(fmt.Sprint("member-", c.member)))
	if err != nil {
		return err
	}
	if err := sendMessage(c, 1, string(first)); err != nil {
		return err
	}
	for i := range uint32(pipelined) {
		if err := sendMessage(c, 2+i, "\x81\xa1b\x01"); err != nil {
			return err
		}
	}
	return nil
}
