package track_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
)

// pagedStore returns one record a read, each after a second.
type pagedStore struct {
	spar.Store
	records int64
}

func (*pagedStore) Newest(context.Context, string) (spar.Batch, error) { return spar.Batch{}, nil }

func (s *pagedStore) Follow(ctx context.Context, _ string, from int64, _ time.Duration) (spar.Batch, error) {
	track.Pause(ctx, time.Second)
	if from >= s.records {
		return spar.Batch{Next: from}, nil
	}
	return spar.Batch{Records: []spar.Record{{Key: "k", Value: []byte{1}}}, Next: from + 1, More: from+1 < s.records}, nil
}

// A read returns a part of a long topic. Until the last part has been read, a cancel
// may be among the records that are missing, so the topic must not count as read.
func TestTopicIsNotFreshBeforeItsLastPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		read := 0
		f := &track.Follower{Store: &pagedStore{records: 5}, Topic: "jobs", OnSnapshot: func([]spar.Record) {}, OnRecords: func(r []spar.Record) { read += len(r) }}
		begun := time.Now()
		done := f.Run(ctx)
		time.Sleep(4500 * time.Millisecond)
		if at := f.FreshAt(); read != 4 || at.After(begun) {
			t.Errorf("after %d of 5 records the topic counts as read up to %s after the start", read, at.Sub(begun))
		}
		time.Sleep(time.Second)
		if at := f.FreshAt(); read != 5 || at.Sub(begun) != 4*time.Second {
			t.Errorf("after %d of 5 records the topic counts as read up to %s after the start, want 4s", read, at.Sub(begun))
		}
		cancel()
		<-done
	})
}
