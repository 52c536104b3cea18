package simul_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// samples is how often each loss is played.
const seedsPerLoss = 20

// loss is something that happens to a deployment, and the longest that it may
// take from there until a task starts.
type loss struct {
	name  string
	limit time.Duration
	// strike returns when what was lost is back.
	inject func(ctx context.Context, s *simulation)
}

var losses = []loss{
	// The time to live of 1 s, a join's interval, and as much again.
	{"owner killed", 2 * time.Second, func(_ context.Context, s *simulation) { s.killEntry(s.currentOwner()) }},
	// The next owner begins with its next join.
	{"owner stopped by plan", time.Second, func(_ context.Context, s *simulation) { s.stopEntry(s.currentOwner()) }},
	{"store back after 10 s", time.Second, func(ctx context.Context, s *simulation) {
		for _, e := range s.entries {
			e.storeClient.SetFaults(store.Faults{Refuse: true})
		}
		track.Pause(ctx, 10*time.Second)
		for _, e := range s.entries {
			e.storeClient.SetFaults(store.Faults{})
		}
	}},
	// Heartbeats come each half second, and workers hold nothing.
	{"everything off for 3 s", 3 * time.Second, func(ctx context.Context, s *simulation) {
		for _, e := range s.entries {
			s.killEntry(e)
		}
		for _, n := range s.nodes {
			s.stopNode(n)
			n.worker.Crash()
		}
		track.Pause(ctx, 3*time.Second)
		for _, n := range s.nodes {
			s.startNode(n)
			s.restartWorker(n, "i-"+n.name+"-again")
		}
		for _, e := range s.entries {
			s.startEntry(e)
		}
	}},
}

// The time from a loss until the next start, on twenty seeds each; -v prints the
// median and the longest.
func TestRecoveryTimes(t *testing.T) {
	for _, l := range losses {
		t.Run(l.name, func(t *testing.T) {
			var took []time.Duration
			for seed := range uint64(seedsPerLoss) {
				synctest.Test(t, func(t *testing.T) { took = append(took, measureRecovery(t, seed+1, l)) })
			}
			slices.Sort(took)
			t.Logf("%s: median %s, longest %s of %d", l.name, took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
			if longest := took[len(took)-1]; longest > l.limit {
				t.Errorf("longest %s, want %s at most", longest, l.limit)
			}
		})
	}
}

// sample plays a loss once.
func measureRecovery(t *testing.T, seed uint64, l loss) time.Duration {
	ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 5)
	defer stop()
	track.Pause(ctx, 3*time.Second+time.Duration(s.random.IntN(1000))*time.Millisecond)
	s.submit(s.entries[0])
	track.Pause(ctx, 500*time.Millisecond)
	l.inject(ctx, s)
	before, begun := s.checker.StartCount(), time.Now()
	for _, e := range s.entries {
		if e.cancel != nil {
			s.submit(e)
		}
	}
	for s.checker.StartCount() == before {
		if time.Since(begun) > time.Minute {
			t.Fatalf("seed %d: no start within a minute", seed)
		}
		track.Pause(ctx, 5*time.Millisecond)
	}
	took := time.Since(begun)
	s.expectNoViolations()
	return took
}

// The work of an agent that is cut off for good goes on elsewhere when its
// leases have ended: 5 s from the last grant, and the worker's clock may be slow.
func TestTasksOfIsolatedAgentRestartElsewhere(t *testing.T) {
	const limit = 5*time.Second + 150*time.Millisecond + 2*time.Second
	var took []time.Duration
	for seed := range uint64(seedsPerLoss) {
		synctest.Test(t, func(t *testing.T) { took = append(took, measureAgentLoss(t, seed+1)) })
	}
	slices.Sort(took)
	t.Logf("median %s, longest %s of %d", took[len(took)/2].Round(time.Millisecond), took[len(took)-1].Round(time.Millisecond), len(took))
	if longest := took[len(took)-1]; longest > limit {
		t.Errorf("longest %s, want %s at most", longest, limit)
	}
}

// loseAgent cuts an agent off while its worker works, and returns the time until
// all jobs have ended.
func measureAgentLoss(t *testing.T, seed uint64) time.Duration {
	ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 5)
	defer stop()
	track.Pause(ctx, 3*time.Second+time.Duration(s.random.IntN(1000))*time.Millisecond)
	for range 5 {
		s.submit(s.entries[0])
	}
	track.Pause(ctx, 300*time.Millisecond)
	s.net.setIsolated(s.nodes[0].name, true)
	begun := time.Now()
	for len(s.unfinishedJobs()) > 0 {
		if time.Since(begun) > time.Minute {
			t.Fatalf("seed %d: not ended within a minute: %v", seed, s.unfinishedJobs())
		}
		track.Pause(ctx, 20*time.Millisecond)
	}
	took := time.Since(begun)
	s.expectNoViolations()
	return took
}
