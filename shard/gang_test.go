package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar"
)

// A gang has more tasks than the workers may run of it. To find that out by claiming runs
// takes a time that grows with the square of their number, in each pass, under the owner's
// lock: no lease is extended meanwhile and nothing else starts.
func TestGangThatCannotBePlacedClaimsNoRuns(t *testing.T) {
	const workers, perWorker = 6, 80
	for _, tt := range []struct {
		name string
		step spar.Step
	}{
		{"more tasks than workers may run", spar.Step{MaxPerWorker: perWorker, Size: spar.Size{CPUMilli: 1, MemoryMB: 1}}},
		{"more memory than workers have", spar.Step{Size: spar.Size{MemoryMB: 64000 / perWorker}}},
		{"more processors than fills may use", spar.Step{Fills: true, Image: "a", Size: spar.Size{CPUMilli: 16000 / perWorker}}},
		{"no worker with its label", spar.Step{Label: "none"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			for i := range workers {
				h.connect(fmt.Sprintf("n%d", i))
			}
			s := tt.step
			s.Count, s.Gang, s.Estimate = workers*perWorker+1, true, time.Second
			h.submit("j1", "plans", s)
			h.submit("j2", "plans", shortStep(1))
			h.expectStarts(h.runCycle(), 1)
			for _, e := range h.events {
				if e.Name == "run claimed" && e.Task != "j2.0.0.0" {
					t.Fatalf("a run of the gang is claimed: %+v", e)
				}
			}
		})
	}
}

// A gang must be placed if and only if the same tasks would be without being a gang.
func TestGangIsPlacedWhereItsTasksFit(t *testing.T) {
	placed := 0
	for seed := range uint64(400) {
		random := rand.New(rand.NewPCG(seed, 31))
		s := spar.Step{Count: 1 + random.IntN(24), MaxPerWorker: random.IntN(8), Estimate: time.Second, Size: spar.Size{CPUMilli: random.Int64N(6000), MemoryMB: random.Int64N(24000)}}
		before := shortStep(random.IntN(12) + 1)
		before.Size.CPUMilli = random.Int64N(3000)
		nodes := 1 + random.IntN(5)
		count := func(gang bool) int {
			h := newHarness(t)
			for i := range nodes {
				h.connect(fmt.Sprintf("n%d", i))
			}
			h.submit("before", "checks", before)
			h.runCycle()
			s.Gang = gang
			h.submit("j1", "plans", s)
			return len(starts(h.runCycle()))
		}
		want := count(false)
		if want < s.Count {
			want = 0
		}
		if want > 0 {
			placed++
		}
		if got := count(true); got != want {
			t.Errorf("seed %d: %d members of a gang of %d start, want %d", seed, got, s.Count, want)
		}
	}
	if placed < 50 {
		t.Errorf("only %d gangs could be placed", placed)
	}
}
