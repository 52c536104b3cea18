package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// An owner loses the store, another entry owns the shard meanwhile, and the first
// is elected again. Its old state is stale and must not be served to callers.
func TestOwnerElectedAgainDoesNotServeStaleState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s, stop := newFixedWorkloadSimulation(t, 6, 2, 4)
		defer stop()
		track.Pause(ctx, 3*time.Second)
		first := s.currentOwner()
		second := s.entries[0]
		if second == first {
			second = s.entries[1]
		}
		s.submit(first)
		track.Pause(ctx, 100*time.Millisecond)
		first.storeClient.SetFaults(store.Faults{Unreachable: true})
		for begun := time.Now(); s.currentOwner() != second || len(s.unfinishedJobs()) > 0; track.Pause(ctx, 20*time.Millisecond) {
			if time.Since(begun) > 10*time.Second {
				t.Fatal("the second entry did not finish the job")
			}
		}
		s.stopEntry(second)
		first.storeClient.SetFaults(store.Faults{})
		for range 200 {
			for id := range s.jobs {
				if state, known, err := first.owner.LocalState(id); err == nil && (!known || state != shard.Completed) {
					t.Fatalf("job %s was completed under the second owner, but the first serves state %q (known %v)", id, state, known)
				}
			}
			track.Pause(ctx, 10*time.Millisecond)
		}
		if s.currentOwner() != first {
			t.Fatal("the first entry does not own the shard again")
		}
	})
}
