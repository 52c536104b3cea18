package simul_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// goneLimit is how long a standing task may be away after its worker was lost: it must not
// be without a run for 3 s from 6 s after its last one.
const goneLimit = 9 * time.Second

// The machines of the owner and of a worker with standing tasks are lost at the same time,
// for good, with further entries or not. The next owner can ask neither the earlier one nor
// the agent what leases are left, and must not wait for the longest that there could be.
func TestStandingTasksRunAgainAfterOwnerAndWorkerAreLost(t *testing.T) {
	for _, tt := range []struct{ entries, lost, witnesses int }{{3, 1, 0}, {5, 1, 0}, {5, 1, 1}, {9, 1, 3}, {9, 3, 0}} {
		t.Run(fmt.Sprintf("%d entries, %d owners in turn and %d others lost", tt.entries, tt.lost, tt.witnesses), func(t *testing.T) {
			var took []time.Duration
			for seed := uint64(1); seed <= 6; seed++ {
				synctest.Test(t, func(t *testing.T) { took = append(took, measureLoss(t, seed, tt.entries, tt.lost, tt.witnesses)) })
			}
			slices.Sort(took)
			t.Logf("away for %s", took)
			if last := took[len(took)-1]; last > goneLimit {
				t.Errorf("standing tasks are away for %s, at most %s", last, goneLimit)
			}
		})
	}
}

// measureLoss returns how long the tasks of a lost worker are away. Owners are lost in turn,
// 2.5 s apart; with the last of them goes the worker, and others that own nothing.
func measureLoss(t *testing.T, seed uint64, entries, owners, others int) time.Duration {
	ctx, s, stop := newFixedWorkloadSimulation(t, seed, entries, 6)
	defer stop()
	s.runTime = time.Minute
	track.Pause(ctx, settledAge)
	j := jobOf("a", 3)
	j.Steps[0].Standing = true
	s.submitJob(s.entries[0], &job{Job: j})
	track.Pause(ctx, 3*time.Second)
	for range owners - 1 {
		s.loseEntries(s.currentOwner())
		track.Pause(ctx, 2500*time.Millisecond)
	}
	owner := s.currentOwner()
	gone := []*entry{owner}
	for _, e := range s.entries {
		if len(gone) <= others && e != owner && e.cancel != nil {
			gone = append(gone, e)
		}
	}
	lost := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.worker.RunCount() > 0 })]
	runs := lost.worker.RunCount()
	started := s.checker.StartCount()
	lostAt := time.Now()
	lost.worker.Crash()
	s.net.setIsolated(lost.name, true)
	lost.storeClient.SetFaults(store.Faults{Unreachable: true})
	s.loseEntries(gone...)
	s.stopNode(lost)
	for s.checker.StartCount() < started+runs {
		if time.Since(lostAt) > 30*time.Second {
			t.Fatalf("seed %d: %d of %d tasks run again after 30 s", seed, s.checker.StartCount()-started, runs)
		}
		track.Pause(ctx, 10*time.Millisecond)
	}
	s.expectNoViolations()
	return time.Since(lostAt)
}

// loseEntries takes entries and their machines away for good, all at the same moment.
func (s *simulation) loseEntries(entries ...*entry) {
	for _, e := range entries {
		e.storeClient.SetFaults(store.Faults{Unreachable: true})
		s.net.setIsolated(e.name, true)
		s.net.setIsolated(fmt.Sprintf("%s.%d", e.name, e.startCount), true)
	}
	for _, e := range entries {
		s.killEntry(e)
		e.storeClient.SetFaults(store.Faults{Unreachable: true})
	}
}
