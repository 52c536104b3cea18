package shard_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/triage"
)

// burstDay submits jobs of two steps for 20 s, from 4 to 10 s at three times the rate that
// the workers can serve, and returns how many complete, and how many within their
// objectives. Callers' estimates are off by a factor of e.
func burstDay(t *testing.T, order triage.Policy, seed uint64) (completed, inTime int) {
	f := newFleet(t, 4)
	f.times = map[string]time.Duration{}
	f.setOrder(order)
	for _, n := range f.nodes {
		f.open(n)
	}
	random := rand.New(rand.NewPCG(seed, 1)) //nolint:gosec // a fixed seed repeats the day
	objectives := map[string]time.Time{}
	begun := f.now
	next := begun
	for f.now.Sub(begun) < time.Minute {
		for age := f.now.Sub(begun); age < 20*time.Second && !f.now.Before(next); {
			id := fmt.Sprintf("job%03d", len(objectives))
			real := time.Duration(float64(time.Second) * math.Exp(0.5*random.NormFloat64()))
			estimate := time.Duration(float64(real) * math.Exp(random.NormFloat64()))
			s := spar.Step{Count: 2 + random.IntN(12), Size: spar.Size{CPUMilli: 2000, MemoryMB: 500}, Estimate: estimate}
			last := s
			last.After = []int{0}
			f.times[id], objectives[id] = real, f.now.Add(2*2*real+time.Second)
			f.submit(id, "plans", s, last)
			pause := 700 * time.Millisecond
			if age > 4*time.Second && age < 10*time.Second {
				pause = 170 * time.Millisecond
			}
			next = next.Add(pause)
		}
		f.play(fleetTick)
		for id, objective := range objectives {
			if s, _ := f.scheduler.JobState(id); s == shard.Completed {
				completed++
				if !f.now.After(objective) {
					inTime++
				}
				delete(objectives, id)
				objectives["done "+id] = time.Time{}
			}
		}
	}
	return completed, inTime
}

// In a burst the order by value completes all jobs, and more of them in time.
func TestBurstOfWideJobs(t *testing.T) {
	var before, after int
	for seed := range uint64(4) {
		all, least := burstDay(t, triage.LeastWork, seed)
		completed, value := burstDay(t, triage.Value, seed)
		if completed != all {
			t.Errorf("seed %d: %d jobs completed by value, %d by least work", seed, completed, all)
		}
		t.Logf("seed %d: of %d jobs %d in time by value, %d by least work", seed, all, value, least)
		before, after = before+least, after+value
	}
	if after <= before {
		t.Errorf("%d jobs in time by value, %d by least work", after, before)
	}
}
