package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// resize reports a new size of a worker.
func (h *harness) resize(node string, cpu int64) {
	i := info(spar.Life{ID: "i-" + node, Born: 1})
	i.Size.CPUMilli = cpu
	h.scheduler.UpdateWorker(node, h.tokens[node], i)
}

var limitScenarios = []scenario{
	{"a worker that shrinks while a claim is being stored gets no order", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(4))
		h.scheduler.Plan(h.now)
		c := h.scheduler.PrepareCommit()
		h.resize("n1", 500)
		h.expectStarts(h.scheduler.FinishCommit(c, true), 2)
	}},
	{"a run that is being stopped takes room until its end is known", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", started(o))
		h.resize("n1", 250)
		h.scheduler.Cancel("j1", h.now)
		h.submit("j2", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 0)
		h.report("n1", ended(1, o, spar.EndStopped))
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a worker that shrinks to nothing keeps its runs and is used again when it has grown", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.resize("n1", 0)
		h.submit("j2", "checks", shortStep(1))
		m := h.runCycle()
		if h.expectStarts(m, 0); len(stops(m)) > 0 {
			h.Fatal("a run is stopped")
		}
		h.report("n1", ended(1, o, spar.EndDone))
		h.expectStarts(h.runCycle(), 0)
		h.resize("n1", 250)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a gang that no longer fits is not started in part", func(h *harness) {
		h.connect("n1")
		s := shortStep(4)
		s.Gang = true
		h.submit("j1", "checks", s)
		h.scheduler.Plan(h.now)
		c := h.scheduler.PrepareCommit()
		h.resize("n1", 500)
		h.expectStarts(h.scheduler.FinishCommit(c, true), 0)
	}},
	{"a new owner counts the runs of a worker that has shrunk meanwhile", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(2))
		rows := []spar.Running{}
		for _, o := range h.expectStarts(h.runCycle(), 2) {
			rows = append(rows, spar.Running{Task: o.Task, Run: o.Run, Percent: 5})
		}
		h.replaceOwner(time.Minute)
		h.connect("n1", rows...)
		h.resize("n1", 600)
		h.submit("j2", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 0)
	}},
	{"nothing starts beside a run of an unknown size until it is gone", func(h *harness) {
		h.connect("n1", spar.Running{Task: spar.TaskRef{Job: "gone"}, Run: 1, Percent: 5})
		h.submit("j1", "checks", shortStep(1))
		if m := h.runCycle(); len(starts(m)) > 0 || len(stops(m)) != 1 {
			h.Fatalf("%d starts and %d stops", len(starts(m)), len(stops(m)))
		}
		h.report("n1", &link.AgentMessage{Heartbeat: 2, Ended: []spar.Ended{{Number: 1, Task: spar.TaskRef{Job: "gone"}, Run: 1, Ending: spar.EndStopped}}})
		h.advance(time.Second)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"an order carries the room that it needs", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(2))
		var most spar.Size
		for _, o := range h.expectStarts(h.runCycle(), 2) {
			most = o.Room
		}
		if most.CPUMilli != 500 || most.MemoryMB != 1000 {
			h.Fatalf("room %v", most)
		}
	}},
}

// The size of a worker may change while it runs. No start may bring a worker over
// it, whatever was planned on an earlier size.
func TestWorkersThatShrink(t *testing.T) {
	for _, s := range limitScenarios {
		t.Run(s.name, func(t *testing.T) { s.run(newHarness(t)) })
	}
}
