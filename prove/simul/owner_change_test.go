package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// The store is silent, and the owner is killed shortly before it is back. Agents wait for
// the next owner's record with a read that was sent during the silence. They must learn of
// the owner before the leases on their workers end, since no worker and no agent has
// failed.
func TestRunsDoNotLapseUnderTheNextOwnerAfterAnOutage(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		synctest.Test(t, func(t *testing.T) {
			ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 6)
			defer stop()
			track.Pause(ctx, 3*time.Second)
			jobs := []string{s.submitStanding(s.entries[0], 3), s.submitStanding(s.entries[1], 3)}
			track.Pause(ctx, 3*time.Second+time.Duration(s.random.IntN(3000))*time.Millisecond)
			if left := s.absentTasks(jobs); len(left) > 0 {
				t.Fatalf("seed %d: not started: %v", seed, left)
			}
			owner := s.currentOwner()
			for ; owner == nil; owner = s.currentOwner() {
				track.Pause(ctx, 50*time.Millisecond)
			}
			s.setAllStoreFaults(store.Faults{Unreachable: true})
			track.Pause(ctx, storeOutage-700*time.Millisecond)
			s.killEntry(owner)
			track.Pause(ctx, 700*time.Millisecond)
			s.setAllStoreFaults(store.Faults{})
			for begun := time.Now(); time.Since(begun) < 10*time.Second; track.Pause(ctx, 50*time.Millisecond) {
				if left := s.absentTasks(jobs); len(left) > 0 {
					t.Fatalf("seed %d: lapsed %s after the store was back: %v", seed, time.Since(begun), left)
				}
			}
			s.expectNoViolations()
		})
	}
}
