package track_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// silentStore answers no read that is sent before backAt; such a read times out readLimit
// after its wait. Later ones are answered at once.
type silentStore struct {
	spar.Store
	backAt time.Time
	reads  int
	// waits are those of the reads that were answered without a record.
	waits []time.Duration
}

const readLimit = 1200 * time.Millisecond

func (*silentStore) Newest(context.Context, string) (spar.Batch, error) { return spar.Batch{}, nil }

func (s *silentStore) Follow(ctx context.Context, _ string, from int64, wait time.Duration) (spar.Batch, error) {
	s.reads++
	if time.Now().Before(s.backAt) {
		track.Pause(ctx, wait+readLimit)
		return spar.Batch{}, errors.New("no answer")
	}
	if from > 0 {
		s.waits = append(s.waits, wait)
		track.Pause(ctx, wait)
		return spar.Batch{Next: from}, ctx.Err()
	}
	return spar.Batch{Records: []spar.Record{{Key: "k", Value: []byte{1}}}, Next: 1}, nil
}

// The store is silent for a while, with a read in flight. A record that is written when it
// is back must not be hidden until that read times out.
func TestRepeatedReadFindsRecordsAfterTheStoreWasSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := &silentStore{backAt: time.Now().Add(2 * time.Second)}
		var readAt time.Time
		f := &track.Follower{Store: s, Topic: "owner", Wait: 3 * time.Second, OnSnapshot: func([]spar.Record) {}, OnRecords: func([]spar.Record) { readAt = time.Now() }, OnError: func(error) {}}
		done := f.Run(ctx)
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			f.RepeatRead(time.Second)
		}
		if late := readAt.Sub(s.backAt); readAt.IsZero() || late > time.Second {
			t.Errorf("the record was read at %s, %s after the store was back", readAt, late)
		}
		if s.reads > 16 {
			t.Errorf("%d reads in 8 s, want two a second at most: one that waits and one that does not", s.reads)
		}
		if !slices.Contains(s.waits, 0) {
			t.Errorf("reads waited for %v; a repeated one must not wait", s.waits)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// slowStore answers each read after delay.
type slowStore struct {
	spar.Store
	delay time.Duration
}

func (s slowStore) Newest(ctx context.Context, _ string) (spar.Batch, error) {
	track.Pause(ctx, s.delay)
	return spar.Batch{Records: []spar.Record{{Key: "k", Value: []byte{1}}}, Next: 1}, ctx.Err()
}

func (s slowStore) Follow(ctx context.Context, _ string, from int64, wait time.Duration) (spar.Batch, error) {
	track.Pause(ctx, s.delay+wait)
	return spar.Batch{Next: from}, ctx.Err()
}

// The store answers, but slower than reads are repeated. If each read is cut off before its
// answer, an agent without a session finds no owner for as long as the store is slow.
func TestRepeatedReadGetsTheAnswerOfASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		read := make(chan struct{}, 100)
		f := &track.Follower{Store: slowStore{delay: 1100 * time.Millisecond}, Topic: "owner", Wait: 3 * time.Second, OnSnapshot: func([]spar.Record) { read <- struct{}{} }, OnRecords: func([]spar.Record) {}}
		done := f.Run(ctx)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			f.RepeatRead(time.Second)
		}
		if len(read) == 0 {
			t.Error("no read was answered in 20 s")
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
