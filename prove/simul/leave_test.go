package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/track"
)

// limit is two seconds until the shard has a new owner, 1.4 s until the agent
// gives its worker up, three steps of half a second, and as much again.
const leaveLimit = 8 * time.Second

// A worker leaves by plan while the shard changes hands: its agent has no
// worker to list any more, and must still tell the next owner that nothing runs
// there. A next owner that hears nothing would wait for 12 s.
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
		leaving.beats.Goodbye(life.ID)
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
