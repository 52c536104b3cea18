package exec

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// countingStore counts the reads that wait for a new record, and those of them that were cut
// off.
type countingStore struct {
	*store.Client
	reads, cut atomic.Int64
}

func (s *countingStore) Follow(ctx context.Context, topic string, from int64, wait time.Duration) (spar.Batch, error) {
	s.reads.Add(1)
	b, err := s.Client.Follow(ctx, topic, from, wait)
	if ctx.Err() != nil {
		s.cut.Add(1)
	}
	return b, err
}

// A machine has no worker yet, or none any more. Its agent needs no session, so a read of
// the owner topic that is cut off each second only costs calls and connections.
func TestAgentWithoutAWorkerCutsNoReadsOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
		st := &store.Store{}
		if _, err := st.Append(link.OwnerTopic, nil, []spar.Record{{Key: link.OwnerKey, Value: link.EntryRecord{Epoch: 1, AgentAddress: "e0"}.Encode()}}); err != nil {
			t.Fatal(err)
		}
		s := &countingStore{Client: store.NewClient(st, 1)}
		begun := time.Now()
		e := NewExecutor(c, "n", NewHeartbeats(c, HeartbeatFormat{}), &leavingWorker{}, s, nil, func() time.Duration { return time.Since(begun) })
		done := e.Run(ctx)
		time.Sleep(30 * time.Second)
		if reads, cut := s.reads.Load(), s.cut.Load(); cut > 0 || reads > 11 {
			t.Errorf("%d reads in 30 s, of which %d were cut off; want 10 and 0", reads, cut)
		}
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}
