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
type door struct {
	client *store.Client
	asker  *owner.Client
	place  *track.Directory
}

// open starts an entry on a store.
func open(ctx context.Context, t *testing.T, s *simulation, name string, seed uint64) *door {
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	d := &door{client: store.NewClient(s.store, seed)}
	c := s.common(name)
	watch := config.NewWatcher(c, d.client, topic, s.decode)
	o := owner.NewCandidate(c, ownerSettings(), d.client, nil, watch, name, link.EntryRecord{AgentAddress: name, PeerAddress: peers.Addr().String()},
		s.net.listen(name), func() time.Duration { return time.Since(s.began) })
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

// An entry that the store does not answer, while it answers others, stores jobs
// by another entry: its callers get an answer within their time.
func TestEntryWithoutTheStoreStoresByAnother(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &simulation{t: t, ctx: ctx, began: time.Now(), store: &store.Store{}, net: newNetwork(), out: io.Discard}
	first, second := open(ctx, t, s, "e1", 1), open(ctx, t, s, "e2", 2)
	defer cancel()
	for begun := time.Now(); len(first.place.PeerAddresses()) < 2 || len(second.place.PeerAddresses()) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Since(begun) > 10*time.Second {
			t.Fatal("the entries do not find each other")
		}
	}
	first.client.SetFaults(store.Faults{Cut: true})
	// A caller's usual time, less that of the answer's way.
	patient, stop := context.WithTimeout(ctx, 2*time.Second)
	defer stop()
	if err := first.asker.Submit(patient, spar.Job{ID: "a", Queue: queue}); err != nil {
		t.Fatalf("not stored: %v", err)
	}
	if err := first.asker.Cancel(patient, "a"); err != nil {
		t.Fatalf("cancel not stored: %v", err)
	}
	if n := len(s.store.Newest(owner.JobsTopic).Records); n != 2 {
		t.Errorf("%d records stored, want 2", n)
	}
}
