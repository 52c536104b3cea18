package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/triage"
)

// costGrowth is by how much the tests below make the waiting work larger, and maxCostGrowth
// by how much more time that may take. The square would be costGrowth squared.
const costGrowth, maxCostGrowth = 16, 64

// Whatever the shape of the work that waits, a pass must not take longer than in proportion
// to it: leases and answers wait for the same lock. Jobs of many steps that could never be
// done kept an owner busy for so long that leases of lasting tasks lapsed on sound workers.
func TestCostOfAPassGrowsWithTheWaitingWorkAlone(t *testing.T) {
	tooLarge := spar.Size{CPUMilli: 99_000}
	for name, steps := range map[string]func(n int) []spar.Step{
		"many steps": func(n int) []spar.Step {
			return repeat(n, func(int) spar.Step { return spar.Step{Count: 1, Size: tooLarge, Estimate: time.Second} })
		},
		"each step of its own size": func(n int) []spar.Step {
			return repeat(n, func(i int) spar.Step {
				return spar.Step{Count: 1, Size: spar.Size{CPUMilli: 200_000 - int64(i), MemoryMB: 100_000 + int64(i)}, Estimate: time.Second}
			})
		},
		"each step of its own image": func(n int) []spar.Step {
			return repeat(n, func(i int) spar.Step {
				return spar.Step{Count: 1, Fills: true, Image: fmt.Sprint(i), Size: tooLarge, Estimate: time.Second}
			})
		},
		"fills past their objective": func(n int) []spar.Step {
			return repeat(n, func(int) spar.Step {
				return spar.Step{Count: 1, Fills: true, Image: "a", Size: tooLarge}
			})
		},
		"steps limited by worker": func(n int) []spar.Step {
			return repeat(n, func(int) spar.Step {
				return spar.Step{Count: 1, Size: tooLarge, MaxPerWorker: 1, Estimate: time.Second}
			})
		},
		"steps that depend on many": func(n int) []spar.Step {
			return repeat(n, func(i int) spar.Step {
				s := spar.Step{Count: 1, Size: tooLarge, Estimate: time.Second}
				for a := range min(i, 20) {
					s.After = append(s.After, i-1-a)
				}
				return s
			})
		},
		"a large gang": func(n int) []spar.Step {
			return []spar.Step{{Count: n, Gang: true, Size: spar.Size{CPUMilli: 1}, Estimate: time.Second}, {Count: 1, Size: tooLarge}}
		},
		"many tasks": func(n int) []spar.Step {
			return []spar.Step{{Count: n, Size: tooLarge, Estimate: time.Second}}
		},
		"standing steps": func(n int) []spar.Step {
			return repeat(n, func(int) spar.Step { return spar.Step{Count: 1, Size: tooLarge, Standing: true} })
		},
	} {
		for _, order := range []triage.Policy{triage.LeastWork, triage.Value} {
			t.Run(fmt.Sprintf("%s/order=%s", name, order), func(t *testing.T) {
				const n = 500
				small := passTime(t, order, steps(n))
				large := passTime(t, order, steps(n*costGrowth))
				t.Logf("%d steps or tasks: %s; %d: %s", n, small, n*costGrowth, large)
				if large > maxCostGrowth*max(small, 100*time.Microsecond) {
					t.Errorf("%s for %d steps or tasks, %s for %d times as many", small, n, large, costGrowth)
				}
			})
		}
	}
}

func repeat(n int, step func(i int) spar.Step) []spar.Step {
	var out []spar.Step
	for i := range n {
		out = append(out, step(i))
	}
	return out
}

// passTime returns the least time of some passes, each with the load and what is stored.
func passTime(t *testing.T, order triage.Policy, steps []spar.Step) time.Duration {
	h := newHarness(t)
	h.setOrder(order)
	for i := range 8 {
		h.connect(fmt.Sprintf("n%d", i))
	}
	h.scheduler.Submit(spar.Job{ID: "j1", Queue: "plans", Steps: steps, Accepted: h.now}, h.now)
	h.advance(30 * time.Second)
	for i := range 8 {
		h.connect(fmt.Sprintf("n%d", i))
	}
	least := time.Hour
	for range 4 {
		h.advance(600 * time.Millisecond)
		begun := time.Now()
		h.scheduler.Tick(h.now, h.now)
		h.scheduler.Plan(h.now)
		h.scheduler.Load(h.now)
		h.scheduler.WaitingJobs("plans")
		h.scheduler.PrepareCommit()
		least = min(least, time.Since(begun))
	}
	return least
}

// The tasks of a large gang end one after another, each not done. Stopping the others anew at
// each end takes the square of their number.
func TestCostOfTheEndsOfAGangGrowsWithIt(t *testing.T) {
	cost := func(n int) time.Duration {
		h := newHarness(t)
		h.connect("n1")
		h.submit("j1", "plans", spar.Step{Count: n, Gang: true, Size: spar.Size{CPUMilli: 1}, Estimate: time.Second})
		orders := h.expectStarts(h.runCycle(), n)
		for _, o := range orders {
			h.report("n1", started(o))
		}
		begun := time.Now()
		for i, o := range orders {
			h.report("n1", ended(int64(i+1), o, spar.EndBroken))
		}
		return time.Since(begun)
	}
	small, large := time.Hour, time.Hour
	for range 3 {
		small, large = min(small, cost(500)), min(large, cost(500*costGrowth))
	}
	t.Logf("%s and %s", small, large)
	if large > maxCostGrowth*max(small, 100*time.Microsecond) {
		t.Errorf("%s for 500 ends, %s for %d times as many", small, large, costGrowth)
	}
}

// Far more steps wait than a pass may look at, and all but the last can't be placed. The
// last one must have its turn, and a job that comes before them must start at once.
func TestStepsThatAPassLeavesHaveTheirTurn(t *testing.T) {
	h := newHarness(t)
	for i := range 100 {
		h.connect(fmt.Sprintf("n%03d", i))
	}
	var steps []spar.Step
	for i := range 9000 {
		steps = append(steps, spar.Step{Count: 1, Size: spar.Size{CPUMilli: 99_000 - int64(i)}, MaxPerWorker: 1, Estimate: time.Second})
	}
	h.submit("wide", "plans", append(steps, spar.Step{Count: 1, Size: spar.Size{CPUMilli: 1000}})...)
	passes := 0
	for len(starts(h.runCycle())) == 0 {
		if !h.scheduler.IsPassCut() {
			t.Fatalf("pass %d is over and nothing has started", passes)
		}
		if passes++; passes > 20 {
			t.Fatalf("nothing has started in %d passes", passes)
		}
	}
	if passes < 2 {
		t.Errorf("started in pass %d: the passes were not cut", passes)
	}
	h.submit("check", "checks", shortStep(1))
	h.expectStarts(h.runCycle(), 1)
}
