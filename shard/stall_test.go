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

// An agent or the owner is silent for some seconds while the worker goes on. The
// first message after that carries an outcome alone, or a list of some runs. No
// run may be given up as hanging because it was not heard of meanwhile.
func TestSilenceOfAnAgentIsNoStall(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("j1", "checks", shortStep(3))
	running := h.expectStarts(h.runCycle(), 3)
	list := func(percent int) *link.AgentMessage {
		m := &link.AgentMessage{Heartbeat: 2}
		for _, o := range running {
			m.Running = append(m.Running, spar.Running{Task: o.Task, Run: o.Run, Percent: percent})
		}
		return m
	}
	h.report("n1", list(3))
	h.advance(500 * time.Millisecond)
	h.report("n1", list(9))
	h.advance(4 * time.Second)
	h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
	h.report("n1", started(running[0]))
	if n := len(stops(h.runCycle())); n != 0 {
		t.Fatalf("%d stops after an outcome that followed a silence", n)
	}
	m := list(60)
	m.Running = m.Running[:1]
	h.report("n1", m)
	if n := len(stops(h.runCycle())); n != 0 {
		t.Fatalf("%d stops after a part of the list that followed a silence", n)
	}
	h.advance(500 * time.Millisecond)
	h.report("n1", list(65))
	if n := len(stops(h.runCycle())); n != 0 {
		t.Fatalf("%d stops although all runs progress", n)
	}
}

// A fill that was slowed down to a tenth advances by one percent in seconds. It
// must not be given up as hanging.
func TestSlowedFillIsNoStall(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	// Long past its objective a fill keeps a tenth of its pace.
	for range 22 {
		h.advance(500 * time.Millisecond)
		h.reportTails("n1", s, 8, f)
		h.runCycle()
	}
	h.reportDisturbance("n1", s, f)
	percent := h.fillPercent()
	for k := range 12 {
		h.advance(500 * time.Millisecond)
		if k%6 == 0 {
			percent++
		}
		h.report("n1", &link.AgentMessage{Heartbeat: int64(k + 1), Running: []spar.Running{
			{Task: s.Task, Run: s.Run, Percent: 100, Measurement: 17}, {Task: f.Task, Run: f.Run, Percent: percent, Measurement: 400},
		}})
		h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
		for _, o := range stops(h.runCycle()) {
			if o.Task == f.Task {
				t.Fatalf("the slowed fill was stopped after %d reports", k+1)
			}
		}
	}
}
