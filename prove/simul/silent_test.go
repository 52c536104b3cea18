package simul_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// A worker leaves by plan while the store is silent, and its machine is taken away with
// it. The owner learns of that and can not store it, and the next term knows nothing of
// it. It must not wait for leases on the worker that ended with it.
func TestTasksOfWorkerThatLeftWhileTheStoreWasSilentGoOn(t *testing.T) {
	// A task may be away for 3 s. Up to three steps of half a second follow.
	const limit = 5 * time.Second
	for _, downAfter := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond} {
		for seed := uint64(1); seed <= 4; seed++ {
			synctest.Test(t, func(t *testing.T) {
				ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 6)
				defer stop()
				track.Pause(ctx, 3*time.Second)
				for range 12 {
					s.submit(s.entries[0])
				}
				track.Pause(ctx, 200*time.Millisecond)
				s.setStoreFaults(store.Faults{Unreachable: true})
				track.Pause(ctx, downAfter)
				leaving := s.nodes[0]
				life, _ := leaving.worker.Life()
				leaving.beats.Deregister(life.ID)
				leaving.worker.Crash()
				track.Pause(ctx, 4200*time.Millisecond-downAfter)
				s.stopNode(leaving)
				s.setStoreFaults(store.Faults{})
				begun := time.Now()
				for left := s.unfinishedJobs(); len(left) > 0; left = s.unfinishedJobs() {
					if took := time.Since(begun); took > limit {
						t.Fatalf("seed %d, worker left after %s: not ended %s after the store was back: %v", seed, downAfter, took, left)
					}
					track.Pause(ctx, 50*time.Millisecond)
				}
				s.expectNoViolations()
				track.Pause(ctx, 3*time.Second)
				for _, r := range s.store.Newest(owner.JobsTopic).Records {
					if strings.HasPrefix(r.Key, "l/") {
						t.Errorf("record %q is left", r.Key)
					}
				}
			})
		}
	}
}
