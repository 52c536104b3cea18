package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// servingStep is a step of a standing job, fillStep one of a long batch job.
func servingStep(image string) spar.Step {
	return spar.Step{Count: 1, Size: spar.Size{CPUMilli: 3000, MemoryMB: 6000}, Standing: true, Image: image, TailTarget: 18 * time.Millisecond}
}

func fillStep(image string, n int) spar.Step {
	return spar.Step{Count: n, Size: spar.Size{CPUMilli: 4000, MemoryMB: 3000}, Estimate: 2 * time.Second, Checkpoints: true, Fills: true, Image: image}
}

// newServingHarness returns a harness with one worker, on which a serving task
// runs.
func newServingHarness(t *testing.T) (*harness, spar.StartOrder) {
	t.Helper()
	h := newHarness(t)
	h.connect("n1")
	return h, h.submitAndStart("s", "watches", servingStep("desk"))
}

// reportTails reports the tail latency of a serving task, and running fills
// that use four processors each.
func (h *harness) reportTails(node string, serving spar.StartOrder, tail int64, fills ...spar.StartOrder) {
	m := &link.AgentMessage{Running: []spar.Running{{Task: serving.Task, Run: serving.Run, Percent: 100, Measurement: tail}}}
	for _, f := range fills {
		m.Running = append(m.Running, spar.Running{Task: f.Task, Run: f.Run, Percent: h.fillPercent(), Measurement: 4000})
	}
	h.report(node, m)
	h.scheduler.GrantLease(node, h.tokens[node], h.now)
}

// fillPercent is the progress of fills. It rises by one percent in 250 ms, so
// that no fill counts as stalled.
func (h *harness) fillPercent() int {
	return 10 + int(h.now.Sub(time.Unix(1000, 0))/(250*time.Millisecond))
}

// reportDisturbance reports tail latencies far over the target, from which the
// scheduler learns that the fills disturb the serving task.
func (h *harness) reportDisturbance(node string, serving spar.StartOrder, fills ...spar.StartOrder) {
	for range 4 {
		h.advance(500 * time.Millisecond)
		h.reportTails(node, serving, 200, fills...)
	}
}

// Tail latencies stay over the target beside a fill while another worker has
// room. The fill must be stopped and restart on the other worker.
func TestDisturbingFillMovesToAnotherWorker(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.connect("n2")
	h.reportDisturbance("n1", s, f)
	if n := len(stops(h.runCycle())); n != 1 {
		t.Fatalf("%d stops, want 1", n)
	}
	h.report("n1", ended(1, f, spar.EndStopped))
	m := h.runCycle()
	h.expectStarts(m, 1)
	if m["n2"] == nil || len(m["n2"].Starts) != 1 {
		t.Fatal("the fill did not go to the worker without serving tasks")
	}
}

func TestHarmlessFillIsNotEvicted(t *testing.T) {
	h, s := newServingHarness(t)
	h.submit("f", "plans", fillStep("audit", 2))
	f := h.expectStarts(h.runCycle(), 1)
	for range 10 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 8, f...)
		if n := len(stops(h.runCycle())); n != 0 {
			t.Fatalf("%d stops, want none", n)
		}
	}
}

// A fill that disturbs the serving tasks of every worker waits at first. Past
// its objective it must run at a reduced pace instead of waiting forever beside
// free CPU.
func TestLateDisturbingFillRunsSlowly(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.reportDisturbance("n1", s, f)
	h.runCycle()
	h.report("n1", ended(1, f, spar.EndStopped))
	h.advance(time.Second)
	h.reportTails("n1", s, 8)
	h.expectStarts(h.runCycle(), 0)
	for range 16 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 8)
	}
	o := h.expectStarts(h.runCycle(), 1)[0]
	h.report("n1", started(o))
	m := h.runCycle()
	if m["n1"] == nil || len(m["n1"].Paces) != 1 || m["n1"].Paces[0].Percent >= 100 {
		t.Fatalf("not slowed down: %+v", m["n1"])
	}
}

// At a load that leaves hardly any slack, a fill past its objective must still
// start, at the lowest pace.
func TestLateFillStartsBesideAHighLoad(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.reportDisturbance("n1", s, f)
	h.runCycle()
	h.report("n1", ended(1, f, spar.EndStopped))
	n := 0
	for range 24 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 16)
		n += len(starts(h.runCycle()))
	}
	if n != 1 {
		t.Fatalf("%d starts within 12 s, want 1", n)
	}
}

// A task stays far over its target. All fills beside it must be stopped, even
// those that the model considers harmless.
func TestAllFillsAreEvictedIfATailStaysOverItsTarget(t *testing.T) {
	h, s := newServingHarness(t)
	small := []spar.Step{fillStep("audit", 1), fillStep("count", 1)}
	for i := range small {
		small[i].Size.CPUMilli = 2000
	}
	h.submit("f", "plans", small...)
	f := h.expectStarts(h.runCycle(), 2)
	stopped := map[spar.TaskRef]bool{}
	for range 6 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 200, f...)
		for _, o := range stops(h.runCycle()) {
			stopped[o.Task] = true
		}
	}
	if len(stopped) != 2 {
		t.Fatalf("%d fills were stopped within 3 s, want 2", len(stopped))
	}
}

// A new owner must restore the interference model from the stored records, so
// that it does not start a disturbing fill again.
func TestInterferenceModelSurvivesTakeover(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.reportDisturbance("n1", s, f)
	h.runCycle()
	h.report("n1", ended(1, f, spar.EndStopped))
	h.runCycle()
	h.replaceOwner(0)
	h.connect("n1", spar.Running{Task: s.Task, Run: s.Run, Percent: 100, Measurement: 8})
	h.expectStarts(h.runCycle(), 0)
}

// smallFillStep is a fill step that leaves room for other fills.
func smallFillStep(image string) spar.Step {
	s := fillStep(image, 1)
	s.Size.CPUMilli = 1000
	return s
}

// A serving task exceeds its target beside a fill. No other fill may start on
// the worker, also not after that fill has ended, until a report shows the task
// below its target.
func TestNoFillStartsBesideATailOverItsTarget(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", smallFillStep("audit"))
	h.advance(500 * time.Millisecond)
	h.reportTails("n1", s, 200, f)
	h.submit("g", "plans", smallFillStep("count"))
	h.expectStarts(h.runCycle(), 0)
	h.report("n1", ended(1, f, spar.EndDone))
	h.expectStarts(h.runCycle(), 0)
	h.advance(500 * time.Millisecond)
	h.reportTails("n1", s, 8)
	h.expectStarts(h.runCycle(), 1)
}

// A serving task exceeds its target without any fill on the worker, so the
// worker itself is slow. Fills must not wait forever for it to recover.
func TestSlowWorkerWithoutFillsAcceptsFills(t *testing.T) {
	h, s := newServingHarness(t)
	for range 6 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 200)
		h.runCycle()
	}
	h.advance(fillBan)
	h.reportTails("n1", s, 200)
	h.submit("f", "plans", smallFillStep("audit"))
	h.expectStarts(h.runCycle(), 1)
}

// fillBan is longer than the time for which a worker gets no fills after an
// eviction of all.
const fillBan = 3 * time.Second

// Serving tasks reserve nearly a whole worker but use less than half of the
// reservation. A burst of fills must start on the rest.
func TestFillsUseReservedButIdleCPU(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	reserved := servingStep("desk")
	reserved.Count = 5
	h.submit("s", "watches", reserved)
	h.expectStarts(h.runCycle(), 5)
	small := fillStep("audit", 8)
	small.Size.CPUMilli = 1000
	h.submit("f", "plans", small)
	// Of 16 processors 15 are reserved and about 9 are idle. The assumed cost
	// of an image without observations limits the first placement to 6 fills.
	h.expectStarts(h.runCycle(), 6)
}

// Load pattern: more fills than the slack admits, with late ones among them. A
// late fill of a job that runs elsewhere must not start at a crawl beside a
// serving task that it disturbs: it would take slack for long and not get done.
func TestLateFillOfARunningJobWaitsForARealPace(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.reportDisturbance("n1", s, f)
	h.runCycle()
	h.report("n1", ended(1, f, spar.EndDone))
	h.connect("n2")
	h.submit("g", "plans", fillStep("audit", 5))
	// Four of the five fit on the worker without serving tasks.
	m := h.runCycle()
	for _, o := range starts(m) {
		if m["n2"] == nil || len(m["n2"].Starts) != len(starts(m)) {
			t.Fatalf("%v starts beside the serving task that it disturbs", o.Task)
		}
	}
	running := m["n2"].Starts
	for range 30 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 13)
		busy := &link.AgentMessage{}
		for _, o := range running {
			busy.Running = append(busy.Running, spar.Running{Task: o.Task, Run: o.Run, Percent: h.fillPercent(), Measurement: 4000})
		}
		h.report("n2", busy)
		h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
		if m := h.runCycle(); m["n1"] != nil && len(m["n1"].Starts) > 0 {
			t.Fatalf("%d fills start beside the serving task that they disturb", len(m["n1"].Starts))
		}
	}
}
