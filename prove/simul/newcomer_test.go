package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/track"
)

// Entries that start must not become owners while the current one is up: each
// change of owner delays the start of tasks.
func TestStartingEntriesDoNotTakeOwnership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s, stop := newFixedWorkloadSimulation(t, 5, 4, 3)
		defer stop()
		track.Pause(ctx, 3*time.Second)
		first := s.currentOwner()
		for _, e := range s.entries {
			if e == first {
				continue
			}
			s.stopEntry(e)
			track.Pause(ctx, time.Second)
			s.startEntry(e)
			track.Pause(ctx, 3*time.Second)
			if current := s.currentOwner(); current != first {
				t.Fatalf("after a start of %s the owner is %s, want %s", e.name, current.name, first.name)
			}
		}
	})
}
