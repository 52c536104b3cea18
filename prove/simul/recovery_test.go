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

// seedsPerLoss is the number of seeds for each loss.
const seedsPerLoss = 20

// loss is an outage of a part of the deployment, with the limit on the time from
// its end until the next start of a task.
type loss struct {
	name  string
	limit time.Duration
	// inject causes the outage. It returns when the part is back or, where a
	// part stays down, at once.
	inject func(ctx context.Context, s *simulation)
}

var losses = []loss{
	// The TTL of 1 s and the interval of joins, doubled.
	{"owner killed", 2 * time.Second, func(_ context.Context, s *simulation) { s.killEntry(s.currentOwner()) }},
	// The next owner starts its term at its next join.
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
	// Heartbeats arrive every 0.5 s, and no worker has runs.
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

// measureRecovery runs one loss with one seed and returns the time until the next
// start of a task.
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

// The tasks of an agent that stays isolated must restart elsewhere after its
// leases have ended: 5 s from the last grant, or longer on a slow worker's clock.
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

// measureAgentLoss isolates an agent whose worker has runs, and returns the time
// until all jobs have ended.
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
