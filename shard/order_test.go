package shard_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/triage"
)

func newOrderedFleet(t *testing.T, workers int) *fleet {
	f := newFleet(t, workers)
	f.setOrder(triage.Value)
	f.times = map[string]time.Duration{}
	for _, n := range f.nodes {
		f.open(n)
	}
	return f
}

// wideStep is a step whose tasks take up one worker by fours.
func wideStep(tasks int, estimate time.Duration) spar.Step {
	return spar.Step{Count: tasks, Size: spar.Size{CPUMilli: 4000, MemoryMB: 500}, Estimate: estimate}
}

func (f *fleet) countEvents(name, task string) (n int) {
	for _, e := range f.events {
		if e.Name == name && strings.HasPrefix(e.Task, task) {
			n++
		}
	}
	return n
}

// A job for which there is no room in time is reported with its inputs, once a state.
func TestLateJobIsReportedOnce(t *testing.T) {
	f := newOrderedFleet(t, 1)
	f.submit("large", "plans", wideStep(100, taskTime))
	f.submit("small", "plans", wideStep(4, taskTime))
	f.play(15 * time.Second)
	f.expectState("small", "completed")
	f.expectState("large", "completed")
	if n := f.countEvents("job late", "large"); n != 1 {
		t.Errorf("reported %d times that the large job is late, want once", n)
	}
	if n := f.countEvents("job late", "small") + f.countEvents("job expired", "small"); n != 0 {
		t.Errorf("reported %d times that the small job is late", n)
	}
}

// A job that can no longer count gets room within the bound, while others of its priority
// that can be in time keep arriving.
func TestExpiredJobDoesNotStarve(t *testing.T) {
	f := newOrderedFleet(t, 1)
	f.times["long"] = 5 * time.Second
	f.submit("long", "plans", wideStep(4, 5*time.Second))
	f.play(fleetTick)
	f.submit("expired", "plans", wideStep(1, time.Millisecond))
	// Its objective is about a second, and it counts for three.
	const bound = 3*time.Second + triage.MaxWait
	begun := f.now
	f.play(4 * time.Second)
	for i := 0; f.countEvents("run claimed", "expired") == 0; i++ {
		f.submit(fmt.Sprintf("new%d", i), "plans", wideStep(4, taskTime))
		f.play(taskTime)
		if waited := f.now.Sub(begun); waited > bound+time.Second {
			t.Fatalf("nothing of the job ran for %s", waited)
		}
	}
	if waited := f.now.Sub(begun); waited < bound {
		t.Errorf("the job ran after %s, before others that can be in time", waited)
	}
}

// Jobs without estimates, and such of which nothing is reported, are planned.
func TestOrderWithoutEstimates(t *testing.T) {
	f := newOrderedFleet(t, 2)
	last := wideStep(3, 0)
	last.After = []int{0}
	for i := range 10 {
		f.submit("job"+string(rune('a'+i)), "plans", wideStep(5, 0), last)
	}
	f.play(10 * time.Second)
	for i := range 10 {
		f.expectState("job"+string(rune('a'+i)), "completed")
	}
}

// Two fills disturb a serving task alike. The one whose job no longer counts is slowed
// down, since that costs its caller nothing.
func TestFillOfExpiredJobIsSlowedFirst(t *testing.T) {
	h := newHarness(t)
	h.setOrder(triage.Value)
	h.submit("old", "plans", fillStep("audit", 1))
	h.advance(time.Minute)
	h.connect("n1")
	h.submit("s", "watches", servingStep("desk"))
	orders := h.expectStarts(h.runCycle(), 2)
	serving, fills := orders[0], orders[1:]
	h.submit("fresh", "plans", fillStep("audit", 1))
	tail := int64(3)
	for percent := 10; percent < 80; percent += 5 {
		h.advance(500 * time.Millisecond)
		m := &link.AgentMessage{Running: []spar.Running{{Task: serving.Task, Run: serving.Run, Percent: 100, Measurement: tail}}}
		for _, f := range fills {
			m.Running = append(m.Running, spar.Running{Task: f.Task, Run: f.Run, Percent: percent, Measurement: 4000})
		}
		h.report("n1", m)
		out := h.runCycle()["n1"]
		if out == nil {
			continue
		}
		for _, p := range out.Paces {
			if p.Task.Job != "old" {
				t.Errorf("the fill of job %s is slowed down to %d %% at first", p.Task.Job, p.Percent)
			}
		}
		if len(out.Paces) > 0 {
			return
		}
		if fills = append(fills, out.Starts...); len(fills) == 2 {
			tail = 21
		}
	}
	t.Fatalf("no fill of %d is slowed down", len(fills))
}
