package shard_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
)

const (
	// crashingTime is how long workers crash at random, and maxTimeAfterCrashes how long
	// all standing tasks may take to run after that.
	crashingTime        = 15 * time.Second
	maxTimeAfterCrashes = 7 * time.Second
)

// Workers crash at random while standing, short and hopeless tasks run. What keeps crashing
// tasks apart holds standing tasks back in many ways, and must not do so for long.
func TestStandingTasksRunSoonAfterRandomCrashes(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) { playCrashes(t, rand.New(rand.NewPCG(seed, 1))) })
	}
}

func playCrashes(t *testing.T, random *rand.Rand) {
	const tasks = 14
	size := 4 + random.IntN(12)
	f := newFleet(t, size)
	step := spar.Step{Count: tasks, Standing: true, Size: spar.Size{CPUMilli: 4000, MemoryMB: 4000}, Image: "web"}
	if random.IntN(2) == 0 {
		step.MaxPerWorker = (tasks + size - 1) / size
	}
	f.submit("last1", "watches", step)
	f.play(time.Second)
	hopeless := random.IntN(2) == 0
	returns := map[*fleetNode]time.Time{}
	for end := f.now.Add(crashingTime); f.now.Before(end); f.play(fleetTick) {
		f.submitRandom(random, hopeless)
		if n := f.nodes[random.IntN(size)]; random.IntN(8) == 0 && n.up {
			f.crash(n)
			returns[n] = f.now.Add(time.Duration(500+random.IntN(4000)) * time.Millisecond)
		}
		for n, at := range returns {
			if f.now.After(at) {
				f.begin(n)
				delete(returns, n)
			}
		}
	}
	for n := range returns {
		f.begin(n)
	}
	begun := f.now
	for f.standingRuns() < tasks {
		// A job may be given up after so many crashes.
		if state, _ := f.scheduler.JobState("last1"); state == shard.Failed {
			return
		}
		if f.now.Sub(begun) > maxTimeAfterCrashes {
			e := f.eventsNamed("standing task waits")
			t.Fatalf("%d of %d standing tasks run after %s: %s", f.standingRuns(), tasks, maxTimeAfterCrashes, e[len(e)-1].Reason)
		}
		f.submitRandom(random, hopeless)
		f.play(fleetTick)
	}
}

// submitRandom submits jobs now and then, half of them hopeless if so wanted.
func (f *fleet) submitRandom(random *rand.Rand, hopeless bool) {
	if random.IntN(4) > 0 {
		return
	}
	n := f.now.UnixNano()
	f.submit(fmt.Sprintf("job-%d", n), "plans", spar.Step{Count: 1 + random.IntN(10), Size: spar.Size{CPUMilli: 1000, MemoryMB: 500}, Estimate: time.Second})
	if hopeless && random.IntN(2) == 0 {
		f.submit(fmt.Sprintf("bad-%d", n), "plans", hopelessStep())
	}
}
