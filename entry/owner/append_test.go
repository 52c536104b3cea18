package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/intake"
	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// refusingStore refuses appends by their content.
type refusingStore struct {
	*store.Client
	refuses func([]spar.Record) bool
	appends int
}

func (s *refusingStore) Append(ctx context.Context, topic string, p *spar.Producer, records []spar.Record) (int64, error) {
	s.appends++
	if s.refuses(records) {
		return 0, errors.Mark(errors.Mark(errors.New("too large"), spar.ErrInvalid), spar.ErrRefused)
	}
	return s.Client.Append(ctx, topic, p, records)
}

func newTestTerm(s spar.Store) *term {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	return newTerm(&Candidate{Common: c, settings: DefaultSettings(), store: intake.NewStore(c, s), clock: func() time.Duration { return 0 }}, 7, time.Minute)
}

// The store refuses one of many records for its content. Repeating the append for ever
// stops the work of all jobs, so the others must be stored without it, in their order.
func TestRefusedRecordDoesNotHoldUpOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store.Store{}
		refusing := &refusingStore{Client: store.NewClient(st, 1), refuses: func(records []spar.Record) bool {
			for _, r := range records {
				if r.Key == "k37" {
					return true
				}
			}
			return false
		}}
		tm := newTestTerm(refusing)
		var records []spar.Record
		for i := range 100 {
			records = append(records, spar.Record{Key: fmt.Sprintf("k%02d", i), Value: make([]byte, 8<<10)})
		}
		refused, err := tm.appendProgress(t.Context(), records)
		if err != nil || len(refused) != 1 || refused[0].Key != "k37" {
			t.Fatalf("refused %d records, %v", len(refused), err)
		}
		got := st.Newest(stateTopic).Records
		if len(got) != 99 || tm.appendSeq < 3 {
			t.Fatalf("%d records are stored by %d appends, want 99 in several", len(got), tm.appendSeq)
		}
		if _, err := tm.appendProgress(t.Context(), records[:1]); err != nil {
			t.Fatalf("append after a refused one: %v", err)
		}
	})
}

// A store that refuses everything, small records too, is at fault itself. The owner must
// wait for it instead of failing all jobs.
func TestStoreThatRefusesEverythingIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		tm := newTestTerm(&refusingStore{Client: store.NewClient(&store.Store{}, 1), refuses: func([]spar.Record) bool { return time.Since(begun) < time.Minute }})
		records := []spar.Record{{Key: "a", Value: make([]byte, 3000)}, {Key: "b", Value: make([]byte, 3000)}}
		refused, err := tm.appendProgress(t.Context(), records)
		if err != nil || len(refused) != 0 || time.Since(begun) < time.Minute {
			t.Fatalf("refused %d records after %s, %v", len(refused), time.Since(begun), err)
		}
	})
}

// The records of one commit may exceed an append.
func TestRecordsAreSplitBySizeInTheirOrder(t *testing.T) {
	sizes := []int{10, 3000, 900, 1, 1, 1000, 5000, 5}
	var records []spar.Record
	for i, n := range sizes {
		records = append(records, spar.Record{Key: fmt.Sprint(i), Value: make([]byte, n)})
	}
	next := 0
	for _, batch := range splitRecords(records, 2000) {
		if len(batch) > 1 && recordsSize(batch) > 2000 {
			t.Errorf("%d records of %d bytes together", len(batch), recordsSize(batch))
		}
		for _, r := range batch {
			if r.Key != fmt.Sprint(next) {
				t.Fatalf("record %s comes in place of %d", r.Key, next)
			}
			next++
		}
	}
	if next != len(sizes) {
		t.Errorf("%d records, want %d", next, len(sizes))
	}
}
