package simul_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// settledAge is the age from which a worker has no orders to an earlier life of its name.
const settledAge = 30 * time.Second

// The store is away. Meanwhile a worker and its agent vanish without notice, and the
// owner is killed and restarted. The next owner must not wait for leases that an earlier
// one could grant if it still ran.
func TestTasksOfVanishedWorkerRunAgainSoonAfterTheOwnerWasRestarted(t *testing.T) {
	// The restart takes 0.5 s, a lease 5.25 s and three steps 1.5 s; 0.75 s are left for
	// planning.
	const limit = 8 * time.Second
	for seed := uint64(1); seed <= 8; seed++ {
		synctest.Test(t, func(t *testing.T) {
			ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 6)
			defer stop()
			track.Pause(ctx, settledAge)
			for range 12 {
				s.submit(s.entries[0])
			}
			track.Pause(ctx, 200*time.Millisecond)
			killed := s.currentOwner()
			s.setStoreFaults(store.Faults{Unreachable: true})
			track.Pause(ctx, 500*time.Millisecond)
			vanishing := s.nodes[0]
			vanishing.worker.Crash()
			s.stopNode(vanishing)
			track.Pause(ctx, 2800*time.Millisecond)
			s.killEntry(killed)
			killed.storeClient.SetFaults(store.Faults{Unreachable: true})
			killedAt := time.Now()
			track.Pause(ctx, 500*time.Millisecond)
			s.startEntry(killed)
			track.Pause(ctx, 200*time.Millisecond)
			s.setStoreFaults(store.Faults{})
			for left := s.unfinishedJobs(); len(left) > 0; left = s.unfinishedJobs() {
				if took := time.Since(killedAt); took > limit {
					t.Fatalf("seed %d: not ended %s after the owner was killed: %v", seed, took, left)
				}
				track.Pause(ctx, 50*time.Millisecond)
			}
			s.expectNoViolations()
		})
	}
}

// An owner is cut off from the store and goes on granting leases to an agent that does
// not reach the next owner. The next owner must not start the tasks of that agent
// elsewhere before its leases are over, whether or not the old owner answers it.
func TestTasksUnderLeasesOfCutOffOwnerStartElsewhereOnlyAfterThem(t *testing.T) {
	for _, tt := range []struct {
		name     string
		answers  bool
		killNext bool
		limit    time.Duration
	}{
		// The wait of a new owner, which begins up to 2 s after the cut.
		{"old owner does not answer", false, false, 14 * time.Second},
		// The third owner, which waits as long, begins up to 3 s later.
		{"old owner does not answer and the next one is restarted", false, true, 18 * time.Second},
		// A lease, which may be granted until then.
		{"old owner answers", true, false, 8 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 8; seed++ {
				synctest.Test(t, func(t *testing.T) {
					ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 4)
					defer stop()
					s.runTime = 40 * time.Second
					track.Pause(ctx, settledAge)
					old := s.currentOwner()
					for i := range 8 {
						j := jobOf(string(rune('a'+i)), 2)
						j.Steps[0].Standing = true
						s.submitJob(old, &job{Job: j})
					}
					track.Pause(ctx, time.Second)
					started := s.checker.StartCount()
					if started != 16 {
						t.Fatalf("seed %d: %d tasks were started, want 16", seed, started)
					}
					held := s.nodes[slices.IndexFunc(s.nodes, func(n *node) bool { return n.worker.RunCount() > 0 })]
					held.storeClient.SetFaults(store.Faults{Unreachable: true})
					old.storeClient.SetFaults(store.Faults{Unreachable: true})
					for _, e := range s.entries {
						if e != old {
							s.net.setCut(held.name, e.name+".1")
						}
					}
					s.net.setIsolated(old.name, !tt.answers)
					cutAt := time.Now()
					if tt.killNext {
						track.Pause(ctx, 2500*time.Millisecond)
						next := s.currentOwner()
						s.killEntry(next)
						track.Pause(ctx, 300*time.Millisecond)
						s.startEntry(next)
						s.net.setCut(held.name, next.name+".2")
					}
					for s.checker.StartCount() == started {
						if took := time.Since(cutAt); took > tt.limit {
							t.Fatalf("seed %d: no task was started elsewhere within %s", seed, took)
						}
						s.expectNoViolations()
						track.Pause(ctx, 10*time.Millisecond)
					}
					track.Pause(ctx, time.Second)
					s.expectNoViolations()
				})
			}
		})
	}
}
