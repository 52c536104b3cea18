package shard_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/triage"
)

// An explanation that has rules of its own would tell something else than the scheduler
// does. Histories are random: crashes, standing tasks, fills, too little room.
func TestExplanationIsWhatTheNextPassDoes(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 7))
			f := newFleet(t, 3+random.IntN(5))
			if seed%2 == 1 {
				f.setOrder(triage.Value)
				for _, n := range f.nodes {
					f.open(n)
				}
			}
			f.submit("last1", "watches", spar.Step{Count: 4, Standing: true, Size: spar.Size{CPUMilli: 4000, MemoryMB: 4000}, Image: "web", TailTarget: 18 * time.Millisecond})
			for n := range 60 {
				if node := f.nodes[random.IntN(len(f.nodes))]; random.IntN(12) == 0 && node.up {
					f.crash(node)
				} else if !node.up {
					f.begin(node)
				}
				f.explainAndSubmit(random, n)
				f.play(time.Duration(1+random.IntN(3)) * fleetTick)
			}
		})
	}
}

// explainAndSubmit compares what is explained of a job with what happens after it is
// submitted.
func (f *fleet) explainAndSubmit(random *rand.Rand, n int) {
	f.Helper()
	j := spar.Job{ID: fmt.Sprintf("job-%d", n), Queue: []string{"checks", "plans"}[random.IntN(2)], Accepted: f.now}
	for range 1 + random.IntN(2) {
		s := spar.Step{Count: 1 + random.IntN(20), Size: spar.Size{CPUMilli: int64(500 + random.IntN(3000)), MemoryMB: 500}, Estimate: time.Second, Fills: random.IntN(2) == 0, Image: "audit"}
		s.Gang = !s.Fills && random.IntN(4) == 0
		j.Steps = append(j.Steps, s)
	}
	f.scheduler.Tick(f.now, f.now)
	events := len(f.events)
	e, ok := f.scheduler.Explain(j, f.now)
	again, _ := f.scheduler.Explain(j, f.now)
	if !ok || len(f.events) != events || !reflect.DeepEqual(e, again) {
		f.Fatalf("explanation of %s (found %v) had %d effects, or differs when repeated:\n%+v\n%+v", j.ID, ok, len(f.events)-events, e, again)
	}
	f.jobs[j.ID] = shard.EncodeJob(j)
	f.scheduler.Submit(j, f.now)
	started := make([]map[string]int, len(j.Steps))
	for node, m := range f.runCycle() {
		for _, o := range m.Starts {
			if o.Task.Job != j.ID {
				continue
			}
			if started[o.Task.Step] == nil {
				started[o.Task.Step] = map[string]int{}
			}
			started[o.Task.Step][node]++
		}
		if i := slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n.name == node }); f.nodes[i].up {
			f.carryOut(f.nodes[i], m)
		}
	}
	for i, s := range e.Steps {
		var want map[string]int
		for _, w := range s.Starts {
			if want == nil {
				want = map[string]int{}
			}
			want[w.Node] += w.Tasks
		}
		if !reflect.DeepEqual(want, started[i]) || s.Waiting != j.Steps[i].Count {
			f.Fatalf("step %d of %s: explained %v of %d waiting, the next pass started %v", i, j.ID, want, s.Waiting, started[i])
		}
	}
}

func TestExplanationOfATaskWithoutRoom(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("first", "checks", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 10_000, MemoryMB: 500}, Estimate: 3 * time.Second})
	e, ok := h.scheduler.Explain(spar.Job{ID: "second", Queue: "checks", Steps: []spar.Step{{Count: 1, Size: spar.Size{CPUMilli: 9000, MemoryMB: 500}, Estimate: 4 * time.Second}}}, h.now)
	want := shard.StepPlacement{Waiting: 1, Excluded: map[string]int{"without room": 1}, Nearest: "n1", Lacks: spar.Size{CPUMilli: 3000}}
	if !ok || e.JobsAhead != 1 || e.WorkAhead != 30*time.Second || len(e.Steps) != 1 || !reflect.DeepEqual(e.Steps[0], want) {
		t.Errorf("want one job ahead with 30 s of work and %+v, got %v, %+v", want, ok, e)
	}
}
