package simul_test

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/fasthttp/router"
	"github.com/uber-go/tally/v4"
)

// reachableEntry is an entry that other entries reach over a TCP connection.
type reachableEntry struct {
	client *store.Client
	asker  *owner.Client
	place  *track.Directory
	scope  tally.TestScope
}

// startReachableEntry starts an entry that uses the simulation's store.
func startReachableEntry(ctx context.Context, t *testing.T, s *simulation, name string, seed uint64) *reachableEntry {
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &reachableEntry{client: store.NewClient(s.store, seed)}
	c := s.common(name)
	d.scope = tally.NewTestScope("", nil)
	c.Scope = d.scope
	watch := config.NewWatcher(c, d.client, topic, s.decodeChange)
	o := owner.NewCandidate(c, s.ownerSettings(), d.client, nil, watch, name, link.EntryRecord{AgentAddress: name, PeerAddress: peers.Addr().String()},
		s.net.listen(name, name), func() time.Duration { return time.Since(s.startedAt) }, owner.NewHTTPPeers())
	d.place = track.NewDirectory(d.client, time.Second, func(error) {})
	d.asker = owner.NewClient(c, o, d.place)
	r := router.New()
	o.AddRoutes(r)
	ends := []<-chan error{o.Run(ctx), d.place.Run(ctx), common.ServeFastHTTP(ctx, peers, r.Handler, 1<<20)}
	t.Cleanup(func() {
		for _, e := range ends {
			if err := <-e; err != nil {
				t.Error(err)
			}
		}
	})
	return d
}

// An entry cannot reach the store while another can. It must store submissions and
// cancels through the other, so that callers get an answer before their deadline.
func TestEntryCutOffFromStoreStoresThroughAnotherEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &simulation{t: t, ctx: ctx, startedAt: time.Now(), store: &store.Store{}, net: newNetwork(), out: io.Discard}
	first, second := startReachableEntry(ctx, t, s, "e1", 1), startReachableEntry(ctx, t, s, "e2", 2)
	defer cancel()
	for begun := time.Now(); len(first.place.PeerAddresses()) < 2 || len(second.place.PeerAddresses()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the entries have not discovered each other after 10 s")
		}
	}
	first.client.SetFaults(store.Faults{Unreachable: true})
	// The usual timeout of a caller, less the time for the answer to arrive.
	callerCtx, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	if err := first.asker.Submit(callerCtx, spar.Job{ID: "a", Queue: queue}); err != nil {
		t.Fatalf("not stored: %v", err)
	}
	if err := first.asker.Cancel(callerCtx, "a"); err != nil {
		t.Fatalf("cancel not stored: %v", err)
	}
	if n := len(s.store.Newest(owner.JobsTopic).Records); n != 2 {
		t.Errorf("%d records stored, want 2", n)
	}
}

// Load pattern: submissions through several entries while the store is slow. Each
// append takes its turn at the store, so the owner gathers the records of all
// entries in its own appends.
func TestOwnerGathersSubmissionsWhileTheStoreIsSlow(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &simulation{t: t, ctx: ctx, startedAt: time.Now(), store: &store.Store{}, net: newNetwork(), out: io.Discard}
	entries := []*reachableEntry{startReachableEntry(ctx, t, s, "e1", 1), startReachableEntry(ctx, t, s, "e2", 2)}
	defer cancel()
	for begun := time.Now(); entries[0].place.Owner() == nil || entries[1].place.Owner() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("no owner known after 10 s")
		}
	}
	for _, e := range entries {
		e.client.SetFaults(store.Faults{Delay: 150 * time.Millisecond})
	}
	time.Sleep(1500 * time.Millisecond)
	for i := range 6 {
		callerCtx, stop := context.WithTimeout(ctx, 2*time.Second)
		if err := entries[i%2].asker.Submit(callerCtx, spar.Job{ID: string(rune('a' + i)), Queue: queue}); err != nil {
			t.Fatalf("job %d not stored: %v", i, err)
		}
		stop()
	}
	var relayed int64
	for _, e := range entries {
		for name, c := range e.scope.Snapshot().Counters() {
			if strings.HasPrefix(name, "relayed") {
				relayed += c.Value()
			}
		}
	}
	if relayed != 3 {
		t.Errorf("%d of the 3 submissions through the other entry were gathered by the owner", relayed)
	}
}
