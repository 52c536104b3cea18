package shard

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
)

// randomFleet returns a scheduler with workers of two services, jobs of all
// kinds in random number and size, and a model with random observations.
func randomFleet(seed uint64, now time.Time) *Scheduler {
	rng := rand.New(rand.NewPCG(seed, 1))
	sc := NewScheduler(Limits{Lease: 5 * time.Second, MaxLease: 6 * time.Second, Retention: time.Minute}, func(Event) {})
	for i := range 3 + rng.IntN(12) {
		node := fmt.Sprintf("n%02d", i)
		sc.Connect(node, spar.WorkerInfo{
			Life: spar.Life{ID: "i-" + node, Born: 1}, Service: []string{"desk", "yard"}[rng.IntN(2)], Domain: "d", Labels: []string{[]string{"a", "b"}[rng.IntN(2)]},
			Size: spar.Size{CPUMilli: 16000 + 8000*rng.Int64N(3), MemoryMB: 60000},
		}, int64(i+1), nil, now)
		sc.workers[node].listed = true
	}
	for i := range 10 + rng.IntN(60) {
		q := spar.Queue{Name: "q", Service: []string{"desk", "yard"}[rng.IntN(2)], Priority: rng.IntN(3), Stretch: 2, Slack: time.Second}
		s := spar.Step{
			Count: 1 + rng.IntN(6), Estimate: time.Second, Image: fmt.Sprintf("m%d", rng.IntN(4)), MaxPerWorker: rng.IntN(3),
			Size: spar.Size{CPUMilli: 1000 + rng.Int64N(7000), MemoryMB: 500 + rng.Int64N(9000)},
		}
		switch rng.IntN(4) {
		case 0:
			s.Standing, s.TailTarget = true, 20*time.Millisecond
		case 1, 2:
			s.Fills, s.Checkpoints = true, true
		default:
			s.Gang = rng.IntN(4) == 0
		}
		if rng.IntN(5) == 0 {
			s.Label = "a"
		}
		submitted := now.Add(-time.Duration(rng.IntN(20)) * time.Second)
		sc.Submit(spar.Job{ID: fmt.Sprintf("%04d", i), Queue: "q", Steps: []spar.Step{s}, Policy: q}, submitted)
	}
	for range 300 {
		group := interf.ServingGroup{Job: fmt.Sprintf("%04d", rng.IntN(30)), Image: fmt.Sprintf("m%d", rng.IntN(4))}
		sc.interference.Observe(group, []interf.FillUsage{{Image: fmt.Sprintf("m%d", rng.IntN(4)), CPUFraction: rng.Float64()}}, 0.2+1.5*rng.Float64(), now)
	}
	return sc
}

// decisions lists the claimed runs with their workers and paces.
func (sc *Scheduler) decisions() []string {
	var out []string
	for _, r := range sc.claimedRuns {
		out = append(out, fmt.Sprintf("%s on %s at %d%%", r.task.ref(), r.worker.node, r.pace))
	}
	return out
}

// Many steps wait for room. Skipping those that need at least as much as one
// that found none must not change any decision.
func TestShortagesChangeNoDecision(t *testing.T) {
	now := time.Unix(1000, 0)
	skipped := 0
	for seed := range uint64(300) {
		quick, full := randomFleet(seed, now), randomFleet(seed, now)
		full.scanAll = true
		quick.Plan(now)
		full.Plan(now)
		got, want := quick.decisions(), full.decisions()
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: decisions %v, and %v when all workers are tried", seed, got, want)
		}
		skipped += len(full.shortages) - len(quick.shortages)
	}
	if skipped == 0 {
		t.Fatal("no step was skipped in any history")
	}
}

// directPace computes what sustainablePace returns without anything that was
// computed earlier in the pass.
func (sc *Scheduler) directPace(w *candidate, s *step) int {
	pace := 1.0
	for _, g := range w.serving {
		var filled float64
		for _, f := range w.fills {
			filled += sc.interference.Cost(g.group.Image, interf.FillUsage{Image: f.image, CPUFraction: w.cpuFraction(f.milli)})
		}
		if cost := sc.interference.Cost(g.group.Image, interf.FillUsage{Image: s.Image, CPUFraction: w.cpuFraction(s.Size.CPUMilli)}); cost > 0 {
			pace = min(pace, (sc.slackBudget(g.group)-filled)/cost)
		}
	}
	// Sums in another order differ in their last digits.
	return max(int(pace*10+1e-9), 0) * 10
}

// The headroom of a worker is kept while tasks are placed on it. After each
// placement it must be what a computation from scratch gives.
func TestHeadroomFollowsPlacements(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(100) {
		sc := randomFleet(seed, now)
		rng := rand.New(rand.NewPCG(seed, 2))
		pool := sc.candidates(now)
		var steps []*step
		for i := range len(sc.jobs) {
			steps = append(steps, sc.jobs[fmt.Sprintf("%04d", i)].occurrences[0].steps[0])
		}
		for range 200 {
			w, s := pool[rng.IntN(len(pool))], steps[rng.IntN(len(steps))]
			if got, want := sc.sustainablePace(w, s), sc.directPace(w, s); got != want && got != want-10 {
				t.Fatalf("seed %d: pace %d of an image %s on %s, want %d", seed, got, s.Image, w.node, want)
			}
			placement{w, 10 + 10*rng.IntN(10)}.allocate(sc, s)
		}
	}
}
