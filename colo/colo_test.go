package colo

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
)

func twoTasks() []Task {
	return []Task{
		{ID: spar.TaskID{Job: "quiet"}, Kind: "quiet", SizeMilli: 2000, CapMilli: 2000, Age: time.Minute},
		{ID: spar.TaskID{Job: "loud"}, Kind: "loud", SizeMilli: 2000, CapMilli: 2000, Age: time.Second},
	}
}

func apply(tasks []Task, actions []Action) (evicted []string) {
	for _, a := range actions {
		for i := range tasks {
			if tasks[i].ID == a.ID && !a.Evict {
				tasks[i].CapMilli = a.CapMilli
			}
		}
		if a.Evict {
			evicted = append(evicted, a.ID.Job)
		}
	}
	return evicted
}

// Guards against evicting a task before throttling it, and against starting with a
// task that was running before the latency rose.
func TestThrottlesNewestFirstThenEvicts(t *testing.T) {
	c := NewController(DefaultSettings(10 * time.Millisecond))
	tasks := twoTasks()
	first := c.Step(20*time.Millisecond, true, tasks)
	if len(first) != 1 || first[0].ID.Job != "loud" || first[0].Evict {
		t.Fatalf("first action %+v, want throttling of the task that started last", first)
	}
	for range 50 {
		if evicted := apply(tasks, c.Step(20*time.Millisecond, true, tasks)); len(evicted) > 0 {
			for _, n := range tasks {
				if n.CapMilli > c.minCap(n) {
					t.Fatalf("%s was evicted while %s is above its minimum cap", evicted, n.ID.Job)
				}
			}
			return
		}
	}
	t.Fatal("nothing was evicted in 50 steps over the target")
}

// Guards against caps that oscillate: a latency just below the target must change
// nothing, and recovery must wait for several steps.
func TestRecoversSlowlyAndOnlyBelowTheTarget(t *testing.T) {
	c := NewController(DefaultSettings(10 * time.Millisecond))
	tasks := twoTasks()
	apply(tasks, c.Step(20*time.Millisecond, true, tasks))
	held := tasks[1].CapMilli
	for range 20 {
		apply(tasks, c.Step(9*time.Millisecond, true, tasks))
	}
	if tasks[1].CapMilli != held {
		t.Fatalf("cap went from %d to %d at 90%% of the target", held, tasks[1].CapMilli)
	}
	steps := 0
	for tasks[1].CapMilli < tasks[1].SizeMilli {
		apply(tasks, c.Step(2*time.Millisecond, true, tasks))
		if steps++; steps > 100 {
			t.Fatal("no full recovery in 100 steps below the target")
		}
	}
	if steps < DefaultSettings(0).RecoverAfterSteps {
		t.Fatalf("recovered after only %d steps below the target", steps)
	}
}

func TestInterferingKindStartsThrottled(t *testing.T) {
	c := NewController(DefaultSettings(10 * time.Millisecond))
	for range 200 {
		c.Step(20*time.Millisecond, true, []Task{{Kind: "loud", SizeMilli: 1000, CapMilli: 200, Age: time.Minute}})
	}
	if got := c.InitialCap("loud", 1000); got != 200 {
		t.Fatalf("loud kind starts at %d, want its minimum cap of 200", got)
	}
	if got := c.InitialCap("quiet", 1000); got != 1000 {
		t.Fatalf("unknown kind starts at %d, want 1000", got)
	}
}
