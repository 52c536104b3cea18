package simul_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

// pageFaults are faults while more runs end on a worker than a hold call lists.
var pageFaults = []struct {
	name string
	// endsPerCall is the number of ends that the worker lists.
	endsPerCall int
	inject      func(ctx context.Context, s *simulation, n *node)
}{
	{"agent killed", worker.EndsPerCall, func(ctx context.Context, s *simulation, n *node) {
		s.stopNode(n)
		track.Pause(ctx, 2200*time.Millisecond)
		s.startNode(n)
	}},
	{"owner killed", worker.EndsPerCall, func(_ context.Context, s *simulation, _ *node) { s.killEntry(s.currentOwner()) }},
	{"agent and owner killed", worker.EndsPerCall, func(ctx context.Context, s *simulation, n *node) {
		s.stopNode(n)
		s.killEntry(s.currentOwner())
		track.Pause(ctx, 2200*time.Millisecond)
		s.startNode(n)
	}},
	{"agent killed again between two pages", 40, func(ctx context.Context, s *simulation, n *node) {
		for range 3 {
			s.stopNode(n)
			track.Pause(ctx, 900*time.Millisecond)
			s.startNode(n)
			s.heartbeat(n)
			track.Pause(ctx, 170*time.Millisecond)
		}
	}},
	{"owner killed between two pages", 40, func(ctx context.Context, s *simulation, n *node) {
		s.stopNode(n)
		track.Pause(ctx, 1500*time.Millisecond)
		s.startNode(n)
		s.heartbeat(n)
		track.Pause(ctx, 170*time.Millisecond)
		s.killEntry(s.currentOwner())
	}},
	{"agent killed, store slow", 40, func(ctx context.Context, s *simulation, n *node) {
		for _, e := range s.entries {
			e.storeClient.SetFaults(store.Faults{Delay: 240 * time.Millisecond})
		}
		s.stopNode(n)
		track.Pause(ctx, 2200*time.Millisecond)
		s.startNode(n)
		track.Pause(ctx, 3*time.Second)
		for _, e := range s.entries {
			e.storeClient.SetFaults(store.Faults{})
		}
	}},
	{"agent killed while runs are stopped", 40, func(ctx context.Context, s *simulation, n *node) {
		s.stopNode(n)
		track.Pause(ctx, 1500*time.Millisecond)
		s.startNode(n)
		s.heartbeat(n)
		s.cancelOneJob(s.entries[0])
	}},
}

// A worker lists only some of its ended runs until these are acknowledged. A session
// that takes the first list for the whole runs the others again.
func TestRunsBeyondTheFirstListOfEndsAreNotRepeated(t *testing.T) {
	for _, f := range pageFaults {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/seed=%d", f.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 2)
					defer stop()
					for _, n := range s.nodes {
						n.worker.SetEndsPerCall(f.endsPerCall)
					}
					track.Pause(ctx, 3*time.Second)
					for i := range 2 {
						s.submitJob(s.entries[0], &job{Job: spar.Job{
							ID: fmt.Sprintf("%016x", i), Queue: queue, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: s.checker.MaxAttempts},
							Steps: []spar.Step{{Count: 1200, Size: spar.Size{CPUMilli: 2, MemoryMB: 3}, Estimate: time.Second}},
						}})
					}
					track.Pause(ctx, 300*time.Millisecond)
					f.inject(ctx, s, s.nodes[0])
					s.expectAllEnd(ctx, 30*time.Second)
				})
			})
		}
	}
}

// expectAllEnd waits until all jobs have ended, and checks that no invariant is
// violated meanwhile.
func (s *simulation) expectAllEnd(ctx context.Context, limit time.Duration) {
	s.t.Helper()
	for begun := time.Now(); ; track.Pause(ctx, 100*time.Millisecond) {
		s.expectNoViolations()
		left := s.unfinishedJobs()
		if len(left) == 0 {
			return
		}
		if time.Since(begun) > limit {
			s.t.Fatalf("jobs not ended after %s: %v", limit, left)
		}
	}
}
