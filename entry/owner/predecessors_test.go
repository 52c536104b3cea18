package owner

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
	"github.com/vmihailenco/msgpack/v5"
)

// fakePeers calls the candidates by address. Others do not answer.
type fakePeers struct{ candidates sync.Map }

func (p *fakePeers) add(address string, c *Candidate) { p.candidates.Store(address, c) }

func (p *fakePeers) Call(_, address, path string, _ []byte, limit time.Duration) (int, []byte, error) {
	found, ok := p.candidates.Load(address)
	if !ok {
		time.Sleep(limit)
		return 0, nil, errors.New("no answer")
	}
	var rc fasthttp.RequestCtx
	rc.Request.SetRequestURI(path)
	found.(*Candidate).answerGrants(&rc)
	return rc.Response.StatusCode(), rc.Response.Body(), nil
}

// newTestCandidate returns a candidate whose process starts now.
func newTestCandidate(s *store.Store, address string, p Peers) *Candidate {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	client := store.NewClient(s, 1)
	w := config.NewWatcher(c, client, "op", func(spar.Record) (config.Change, error) { return config.Change{}, nil })
	begun := time.Now()
	// The machine has run for an hour.
	clock := func() time.Duration { return time.Hour + time.Since(begun) }
	return NewCandidate(c, DefaultSettings(), client, nil, w, address, link.EntryRecord{PeerAddress: address}, nil, clock, p)
}

// begin begins a term without the election, and waits until it is ready. It ends with the
// context or by stop.
func begin(ctx context.Context, t *testing.T, c *Candidate, generation int64) *term {
	t.Helper()
	c.beginTerm(ctx, generation, c.clock()+time.Hour)
	time.Sleep(100 * time.Millisecond)
	synctest.Wait()
	if !c.term.isReady() {
		t.Fatalf("term of generation %d is not ready", generation)
	}
	return c.term
}

// storedPredecessors returns the predecessors in the owner record.
func storedPredecessors(t *testing.T, s *store.Store) []link.Predecessor {
	t.Helper()
	for _, r := range s.Newest(link.OwnerTopic).Records {
		if r.Key == link.OwnerKey {
			rec, err := link.DecodeEntryRecord(r.Value)
			if err != nil || !rec.ListsPredecessors {
				t.Fatalf("owner record %+v: %v", rec, err)
			}
			return rec.Predecessors
		}
	}
	t.Fatal("no owner record")
	return nil
}

func expectPredecessors(t *testing.T, s *store.Store, want ...link.Predecessor) {
	t.Helper()
	same := func(a, b link.Predecessor) bool { return a.IsSame(b) && slices.Equal(a.Witnesses, b.Witnesses) }
	if got := storedPredecessors(t, s); !slices.EqualFunc(got, want, same) {
		t.Fatalf("stored predecessors %v, want %v", got, want)
	}
}

// The first owner is cut off, and the second dies before the first has answered it. The
// third must ask the first too, or it takes the leases of the first for expired.
func TestPredecessorThatDidNotAnswerIsLeftToTheNextOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := &store.Store{}, &fakePeers{}
		a, b, c := newTestCandidate(s, "a", peers), newTestCandidate(s, "b", peers), newTestCandidate(s, "c", peers)
		defer stopTerms(a, b, c)
		begin(t.Context(), t, a, 1)
		expectPredecessors(t, s)
		begin(t.Context(), t, b, 2)
		expectPredecessors(t, s, link.Predecessor{Epoch: 256, PeerAddress: "a"})
		b.term.stop()
		tm := begin(t.Context(), t, c, 3)
		expectPredecessors(t, s, link.Predecessor{Epoch: 512, PeerAddress: "b"}, link.Predecessor{Epoch: 256, PeerAddress: "a"})
		peers.add("b", newTestCandidate(s, "b", peers))
		time.Sleep(time.Second)
		synctest.Wait()
		expectPredecessors(t, s, link.Predecessor{Epoch: 256, PeerAddress: "a"})
		if left := tm.predecessors.unsettled; len(left) != 1 {
			t.Errorf("%d predecessors are left, want 1", len(left))
		}
		peers.add("a", a)
		time.Sleep(time.Second)
		synctest.Wait()
		expectPredecessors(t, s)
		if !a.term.hasFailed() {
			t.Error("the first owner goes on")
		}
	})
}

// An owner that settled its predecessor and granted nothing itself is asked by the next
// one, which asks the predecessor no more. The answer must cover the predecessor's grants.
func TestAnswerCoversGrantsOfSettledPredecessors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := &store.Store{}, &fakePeers{}
		a, b := newTestCandidate(s, "a", peers), newTestCandidate(s, "b", peers)
		defer stopTerms(a, b)
		peers.add("a", a)
		begin(t.Context(), t, a, 1)
		time.Sleep(time.Minute)
		grantedAt := time.Now()
		a.grants.record(256, a.clock)
		begin(t.Context(), t, b, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		expectPredecessors(t, s)
		if age := b.settleGrants(512, 768).age(); time.Now().Add(-age).Before(grantedAt) {
			t.Errorf("the answer names an age of %s, the predecessor granted a lease %s ago", age, time.Since(grantedAt))
		}
	})
}

// An earlier owner never answers, since its machine is gone. After the longest time in
// which its leases can last it must be dropped, or each later owner waits for it.
func TestPredecessorIsDroppedWhenItsLeasesAreOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := &store.Store{}, &fakePeers{}
		a, b := newTestCandidate(s, "a", peers), newTestCandidate(s, "b", peers)
		defer stopTerms(a, b)
		begin(t.Context(), t, a, 1)
		begin(t.Context(), t, b, 2)
		time.Sleep(b.settings.maxEarlierLease() - time.Second)
		expectPredecessors(t, s, link.Predecessor{Epoch: 256, PeerAddress: "a"})
		time.Sleep(2 * time.Second)
		expectPredecessors(t, s)
	})
}

// An entry is elected again after its own term. It needs no call to know its grants.
func TestOwnEarlierTermIsSettledWithoutACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store.Store{}
		a := newTestCandidate(s, "a", &fakePeers{})
		defer stopTerms(a)
		begin(t.Context(), t, a, 1).stop()
		begin(t.Context(), t, a, 2)
		expectPredecessors(t, s)
		if a.term.predecessors.lastGrant.IsZero() {
			t.Error("the grants of the earlier term are not known")
		}
	})
}

// earlierEntryRecord is the owner record as builds before the predecessors read and
// write it.
type earlierEntryRecord struct {
	Epoch        int64  `msgpack:"e"`
	AgentAddress string `msgpack:"a"`
	PeerAddress  string `msgpack:"p"`
}

// In a rolling upgrade the last owner was of the earlier build, which tells nothing of its
// predecessors and answers no questions. The new owner, and one that follows it at once,
// must wait for the longest lease.
func TestOwnerOfTheEarlierBuildIsNeverSettledByAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := &store.Store{}, &fakePeers{}
		value, err := msgpack.Marshal(&earlierEntryRecord{Epoch: 256, PeerAddress: "a"})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Append(link.OwnerTopic, &spar.Producer{Name: producerName, Epoch: 256}, []spar.Record{{Key: link.OwnerKey, Value: value}}); err != nil {
			t.Fatal(err)
		}
		b, c := newTestCandidate(s, "b", peers), newTestCandidate(s, "c", peers)
		defer stopTerms(b, c)
		peers.add("a", newTestCandidate(s, "a", peers))
		peers.add("b", b)
		begin(t.Context(), t, b, 2)
		time.Sleep(time.Second)
		synctest.Wait()
		expectPredecessors(t, s, link.Predecessor{})
		begin(t.Context(), t, c, 3)
		time.Sleep(time.Second)
		synctest.Wait()
		expectPredecessors(t, s, link.Predecessor{})
		time.Sleep(c.settings.maxEarlierLease())
		expectPredecessors(t, s)
		var old earlierEntryRecord
		if err := msgpack.Unmarshal(s.Newest(link.OwnerTopic).Records[0].Value, &old); err != nil || old.Epoch != 768 || old.PeerAddress != "c" {
			t.Errorf("the earlier build reads %+v, %v", old, err)
		}
	})
}

// An owner that was slow publishes its addresses, and would grant leases, after the next
// one has read who owned the shard. The store must refuse that.
func TestEarlierOwnerCannotPublishAfterTheNextHasReadTheRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &store.Store{}
		earlier, next := newTerm(newTestCandidate(s, "a", &fakePeers{}), 256, time.Hour), newTerm(newTestCandidate(s, "b", &fakePeers{}), 512, time.Hour)
		for _, tm := range []*term{earlier, next} {
			tm.ctx, tm.cancel = context.WithCancel(t.Context())
			defer tm.cancel()
		}
		// The next owner has read the record and not yet stored its own.
		if !next.fence(t.Context()) {
			t.Fatal("could not fence")
		}
		if earlier.appendFenced(t.Context(), link.OwnerTopic, 1, earlier.ownerRecord()) {
			t.Error("the earlier owner has published its addresses")
		}
	})
}

func stopTerms(candidates ...*Candidate) {
	for _, c := range candidates {
		if c.term != nil {
			c.term.stop()
		}
	}
}
