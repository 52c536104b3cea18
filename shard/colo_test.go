package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// serve and fill are steps like those of standing and of long jobs.
func serve(image string) spar.Step {
	return spar.Step{Count: 1, Size: spar.Size{CPUMilli: 3000, MemoryMB: 6000}, Standing: true, Image: image, TailTarget: 18 * time.Millisecond}
}

func fill(image string, n int) spar.Step {
	return spar.Step{Count: n, Size: spar.Size{CPUMilli: 4000, MemoryMB: 3000}, Estimate: 2 * time.Second, Checkpoints: true, Fills: true, Image: image}
}

// served is a world with one worker, on which a serving task runs.
func served(t *testing.T) (*world, spar.StartOrder) {
	t.Helper()
	w := newWorld(t)
	w.worker("n1")
	return w, w.begin("s", "watches", serve("desk"))
}

// tails reports a serving task's tail and the processors that fills use.
func (w *world) tails(node string, serving spar.StartOrder, tail int64, fills ...spar.StartOrder) {
	m := &link.Up{Running: []spar.Running{{Task: serving.Task, Run: serving.Run, Percent: 100, Measurement: tail}}}
	for _, f := range fills {
		m.Running = append(m.Running, spar.Running{Task: f.Task, Run: f.Run, Percent: w.percent(), Measurement: 4000})
	}
	w.report(node, m)
	w.core.Grant(node, w.tokens[node], w.now)
}

// percent is a progress that goes on, by a percent in a quarter of a second.
func (w *world) percent() int { return 10 + int(w.now.Sub(time.Unix(1000, 0))/(250*time.Millisecond)) }

// learn shows the shard that an image disturbs the serving task.
func (w *world) learn(node string, serving spar.StartOrder, fills ...spar.StartOrder) {
	for range 4 {
		w.pass(500 * time.Millisecond)
		w.tails(node, serving, 200, fills...)
	}
}

func TestFillThatDisturbsIsTakenAway(t *testing.T) {
	w, s := served(t)
	f := w.begin("f", "plans", fill("audit", 1))
	w.worker("n2")
	w.learn("n1", s, f)
	if n := len(stops(w.turn())); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	w.report("n1", ended(1, f, spar.EndStopped))
	m := w.turn()
	w.expectStarts(m, 1)
	if m["n2"] == nil || len(m["n2"].Starts) != 1 {
		t.Fatal("the fill did not go to the worker without serving tasks")
	}
}

func TestHarmlessFillStays(t *testing.T) {
	w, s := served(t)
	w.submit("f", "plans", fill("audit", 2))
	f := w.expectStarts(w.turn(), 1)
	for range 10 {
		w.pass(500 * time.Millisecond)
		w.tails("n1", s, 8, f...)
		if n := len(stops(w.turn())); n != 0 {
			t.Fatalf("%d stops, want none", n)
		}
	}
}

// A fill that disturbs every worker's serving tasks waits, and past its
// objective it runs at a slow pace: it must not wait for ever beside free room.
func TestFillThatNobodyWantsRunsSlowly(t *testing.T) {
	w, s := served(t)
	f := w.begin("f", "plans", fill("audit", 1))
	w.learn("n1", s, f)
	w.turn()
	w.report("n1", ended(1, f, spar.EndStopped))
	w.pass(time.Second)
	w.tails("n1", s, 8)
	w.expectStarts(w.turn(), 0)
	for range 16 {
		w.pass(500 * time.Millisecond)
		w.tails("n1", s, 8)
	}
	o := w.expectStarts(w.turn(), 1)[0]
	w.report("n1", started(o))
	m := w.turn()
	if m["n1"] == nil || len(m["n1"].Paces) != 1 || m["n1"].Paces[0].Percent >= 100 {
		t.Fatalf("not slowed down: %+v", m["n1"])
	}
}

// The same beside a load that leaves hardly any slack: past its objective a fill
// starts at the slowest pace.
func TestLateFillStartsBesideAHighLoad(t *testing.T) {
	w, s := served(t)
	f := w.begin("f", "plans", fill("audit", 1))
	w.learn("n1", s, f)
	w.turn()
	w.report("n1", ended(1, f, spar.EndStopped))
	n := 0
	for range 24 {
		w.pass(500 * time.Millisecond)
		w.tails("n1", s, 16)
		n += len(starts(w.turn()))
	}
	if n != 1 {
		t.Fatalf("%d starts within 12 s, want 1", n)
	}
}

// Whatever is believed of the images, no fill works beside a task that has been
// over its target for long.
func TestAllFillsLeaveATaskLongOverItsTarget(t *testing.T) {
	w, s := served(t)
	small := []spar.Step{fill("audit", 1), fill("count", 1)}
	for i := range small {
		small[i].Size.CPUMilli = 2000
	}
	w.submit("f", "plans", small...)
	f := w.expectStarts(w.turn(), 2)
	stopped := map[spar.TaskRef]bool{}
	for range 6 {
		w.pass(500 * time.Millisecond)
		w.tails("n1", s, 200, f...)
		for _, o := range stops(w.turn()) {
			stopped[o.Task] = true
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("%d fills were stopped within 3 s, want 2", len(stopped))
	}
}

// What is known of the images comes with the stored state.
func TestNextOwnerKnowsWhatDisturbs(t *testing.T) {
	w, s := served(t)
	f := w.begin("f", "plans", fill("audit", 1))
	w.learn("n1", s, f)
	w.turn()
	w.report("n1", ended(1, f, spar.EndStopped))
	w.turn()
	w.takeover(0)
	w.worker("n1", spar.Running{Task: s.Task, Run: s.Run, Percent: 100, Measurement: 8})
	w.expectStarts(w.turn(), 0)
}

// small is a fill that leaves room for others.
func small(image string) spar.Step {
	s := fill(image, 1)
	s.Size.CPUMilli = 1000
	return s
}

func TestNoFillGoesWhereATailIsOverItsTarget(t *testing.T) {
	w, s := served(t)
	f := w.begin("f", "plans", small("audit"))
	w.pass(500 * time.Millisecond)
	w.tails("n1", s, 200, f)
	w.submit("g", "plans", small("count"))
	w.expectStarts(w.turn(), 0)
	w.report("n1", ended(1, f, spar.EndDone))
	w.expectStarts(w.turn(), 0)
	w.pass(500 * time.Millisecond)
	w.tails("n1", s, 8)
	w.expectStarts(w.turn(), 1)
}

// A worker whose serving task is over its target without any fill is slow by
// itself; fills must not wait for it for ever.
func TestWorkerThatIsSlowByItselfStillTakesFills(t *testing.T) {
	w, s := served(t)
	for range 6 {
		w.pass(500 * time.Millisecond)
		w.tails("n1", s, 200)
		w.turn()
	}
	w.pass(banned)
	w.tails("n1", s, 200)
	w.submit("f", "plans", small("audit"))
	w.expectStarts(w.turn(), 1)
}

// banned is longer than a worker gets no fills after a long disturbance.
const banned = 3 * time.Second

// A burst of long jobs comes to workers that are reserved for serving tasks,
// which use less than half of it.
func TestBurstOfFillsUsesWhatServingTasksLeave(t *testing.T) {
	w := newWorld(t)
	w.worker("n1")
	reserved := serve("desk")
	reserved.Count = 5
	w.submit("s", "watches", reserved)
	w.expectStarts(w.turn(), 5)
	small := fill("audit", 8)
	small.Size.CPUMilli = 1000
	w.submit("f", "plans", small)
	// Of 16 processors 15 are reserved; about 9 are free in fact. What is not
	// known yet of the image bounds the first try to 6.
	w.expectStarts(w.turn(), 6)
}
