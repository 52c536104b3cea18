package owner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/intake"
	"github.com/berylspar/spar/stand/store"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// lateStore answers joins late and keeps when they arrived.
type lateStore struct {
	spar.Store
	delay time.Duration

	mu       sync.Mutex
	arrivals []time.Time
}

func (s *lateStore) Join(context.Context, spar.Member) (spar.Membership, error) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	s.mu.Unlock()
	time.Sleep(s.delay)
	return spar.Membership{Generation: 1, Partitions: []int{0}}, nil
}

func newElectionCandidate(s spar.Store) *Candidate {
	begun := time.Now()
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	return &Candidate{Common: c, settings: DefaultSettings(), store: intake.NewStore(c, s), clock: func() time.Duration { return time.Since(begun) }}
}

// On a slow link the answers to joins come behind pages of records. The next join waited
// for them, so that none arrived at the store for longer than the TTL.
func TestJoinsAreSentWhileAnswersAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &lateStore{Store: store.NewClient(&store.Store{}, 1), delay: 1200 * time.Millisecond}
		c := newElectionCandidate(s)
		tm := newTerm(c, 7, time.Minute)
		tm.generation = 1
		c.term = tm
		ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second)
		defer cancel()
		c.elect(ctx)
		// The joins in flight end.
		time.Sleep(2 * time.Second)
		for i := 1; i < len(s.arrivals); i++ {
			if gap := s.arrivals[i].Sub(s.arrivals[i-1]); gap > c.settings.ttl()/2 {
				t.Fatalf("no join arrived for %s after %d joins", gap, i)
			}
		}
		if n := len(s.arrivals); n > 40 {
			t.Fatalf("%d joins in 6s, want about 4 a second", n)
		}
	})
}

// A join that is carried out long after it was sent may find that another entry has owned
// the shard in between.
func TestMembershipThatIsAnsweredAfterTheTermMayHaveLapsed(t *testing.T) {
	c := newElectionCandidate(store.NewClient(&store.Store{}, 1))
	now := 2 * time.Second
	c.clock = func() time.Duration { return now }
	tm := newTerm(c, 7, 1900*time.Millisecond)
	if c.mayHaveLapsed(tm, time.Second) {
		t.Error("a term that takes over is over, although its last append would show that")
	}
	tm.restored.Store(true)
	if !c.mayHaveLapsed(tm, time.Second) {
		t.Error("the term goes on after an answer that came after its expiry")
	}
	now = 1800 * time.Millisecond
	if c.mayHaveLapsed(tm, time.Second) {
		t.Error("the term is over before its expiry")
	}
}
