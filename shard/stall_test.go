package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// All runs on a worker stop progressing while the worker keeps reporting. They
// must be stopped and restarted elsewhere, and the worker must get no new tasks
// for a while.
func TestStalledTasksMoveToAnotherWorker(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("j1", "checks", shortStep(3))
	stalled := h.expectStarts(h.runCycle(), 3)
	h.connect("n2")
	m := &link.AgentMessage{}
	for _, o := range stalled {
		m.Running = append(m.Running, spar.Running{Task: o.Task, Run: o.Run, Percent: 3})
	}
	h.report("n1", m)
	h.advance(time.Second)
	h.report("n1", &link.AgentMessage{Heartbeat: 2})
	if n := len(stops(h.runCycle())); n != 0 {
		t.Fatalf("%d stops after a second", n)
	}
	h.advance(time.Second)
	h.report("n1", &link.AgentMessage{Heartbeat: 3})
	if n := len(stops(h.runCycle())); n != 3 {
		t.Fatalf("%d stops after two seconds, want 3", n)
	}
	for i, o := range stalled {
		h.report("n1", ended(int64(i+1), o, spar.EndStopped))
	}
	m2 := h.runCycle()
	if h.expectStarts(m2, 3); m2["n2"] == nil || len(m2["n2"].Starts) != 3 {
		t.Fatal("not all tasks moved to the healthy worker")
	}
}
