package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/track"
)

// leaveLimit is 2 s until the shard has a new owner, 1.4 s until the agent gives
// its worker up, three steps of 0.5 s, and about 3 s of margin.
const leaveLimit = 8 * time.Second

// A worker leaves by plan during a change of owner. Its agent cannot list it any
// more, but must tell the next owner that nothing runs there. Otherwise that owner
// would wait 12 s for the worker.
func TestNewOwnerIsToldOfWorkerThatLeftDuringOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s, stop := newFixedWorkloadSimulation(t, 4, 2, 6)
		defer stop()
		track.Pause(ctx, 3*time.Second)
		for range 6 {
			s.submit(s.entries[0])
		}
		track.Pause(ctx, 300*time.Millisecond)
		first, leaving := s.currentOwner(), s.nodes[0]
		life, _ := leaving.worker.Life()
		leaving.beats.Deregister(life.ID)
		leaving.worker.Crash()
		s.killEntry(first)
		begun := time.Now()
		for len(s.unfinishedJobs()) > 0 {
			if took := time.Since(begun); took > leaveLimit {
				t.Fatalf("not ended %s after the worker left: %v", took, s.unfinishedJobs())
			}
			track.Pause(ctx, 100*time.Millisecond)
		}
		s.expectNoViolations()
	})
}
