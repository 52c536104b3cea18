package store

import (
	"context"
	"encoding/base64"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/delay"
)

const (
	// headerBytes is what an answer takes beside its records, and itemBytes what a
	// record takes in a page beside its key and value.
	headerBytes = 200
	itemBytes   = 50
	// A page of newest records holds at most pageRecords, and about pageBytes.
	pageRecords = 500
	pageBytes   = 1 << 20
	// pageTimeout is the duration of a page that gets no answer.
	pageTimeout = 5 * time.Second
)

// link is the downlink of an instance, which all answers to its calls share. The zero
// value transfers at once.
type link struct {
	mu sync.Mutex
	// rate is in bytes a second, 0 for no limit.
	rate int
	// freeAt is when all answers so far have been transferred, and received the number
	// of their bytes.
	freeAt   time.Time
	received int
}

// SetLinkRate limits the answers to all calls of the client to a rate in bytes a second,
// or lifts the limit if it is 0.
func (c *Client) SetLinkRate(rate int) {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	c.link.rate = rate
}

// ReceivedBytes returns how many bytes the answers to the client's calls took.
func (c *Client) ReceivedBytes() int {
	c.link.mu.Lock()
	defer c.link.mu.Unlock()
	return c.link.received
}

// receive transfers an answer behind those that were sent before. It fails with
// spar.ErrUnknown if that takes longer than the timeout.
func (l *link) receive(ctx context.Context, bytes int, timeout time.Duration) error {
	l.mu.Lock()
	l.received += bytes
	if l.rate == 0 {
		l.mu.Unlock()
		return nil
	}
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / time.Duration(l.rate))
	wait := l.freeAt.Sub(now)
	l.mu.Unlock()
	if wait > timeout {
		return delay.NoAnswer(ctx, callee, timeout)
	}
	return delay.Sleep(ctx, callee, wait)
}

// receivePages transfers newest records in pages, of which each is requested when the one
// before has arrived.
func (l *link) receivePages(ctx context.Context, records []spar.Record) error {
	for begin := 0; begin < len(records); {
		end, size := begin, headerBytes
		for end < len(records) && end-begin < pageRecords && size < pageBytes {
			size += itemBytes + len(records[end].Key) + base64.StdEncoding.EncodedLen(len(records[end].Value))
			end++
		}
		if err := l.receive(ctx, size, pageTimeout); err != nil {
			return err
		}
		begin = end
	}
	return nil
}

// newest is a batch that is transferred in pages.
type newest spar.Batch

// answerBytes is the size of an answer, without the pages of newest records.
func answerBytes(answer any) int {
	n := headerBytes
	if b, ok := answer.(spar.Batch); ok {
		for _, r := range b.Records {
			n += 5 + len(r.Key) + len(r.Value)
		}
	}
	return n
}
