package simul_test

import (
	"context"
	"io"
	"net"
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
)

// door is an entry that other entries reach over a real connection.
type reachableEntry struct {
	client *store.Client
	asker  *owner.Asker
	place  *track.Owner
}

// open starts an entry on a store.
func startReachableEntry(ctx context.Context, t *testing.T, s *simulation, name string, seed uint64) *reachableEntry {
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &reachableEntry{client: store.NewClient(s.store, seed)}
	c := s.common(name)
	watch := config.NewWatch(c, d.client, topic, s.decodeChange)
	o := owner.NewOwner(c, ownerSettings(), d.client, nil, watch, name, link.Record{Agents: name, Peers: peers.Addr().String()},
		s.net.listen(name), func() time.Duration { return time.Since(s.startedAt) })
	d.place = track.NewOwner(d.client, time.Second, func(error) {})
	d.asker = owner.NewAsker(c, o, d.place)
	r := router.New()
	o.Routes(r)
	ends := []<-chan error{o.Run(ctx), d.place.Run(ctx), common.ServeFast(ctx, peers, r.Handler, 1<<20)}
	t.Cleanup(func() {
		for _, e := range ends {
			if err := <-e; err != nil {
				t.Error(err)
			}
		}
	})
	return d
}

// An entry that the store does not answer, while it answers others, stores jobs
// by another entry: its callers get an answer within their time.
func TestEntryCutOffFromStoreStoresThroughAnotherEntry(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &simulation{t: t, ctx: ctx, startedAt: time.Now(), store: &store.Store{}, net: newNetwork(), out: io.Discard}
	first, second := startReachableEntry(ctx, t, s, "e1", 1), startReachableEntry(ctx, t, s, "e2", 2)
	defer cancel()
	for begun := time.Now(); len(first.place.Entries()) < 2 || len(second.place.Entries()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the entries do not find each other")
		}
	}
	first.client.SetFaults(store.Faults{Unreachable: true})
	// A caller's usual time, less that of the answer's way.
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
