package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// lateCallTime is the longest time after which the platform carries out a call.
const lateCallTime = 12 * time.Second

// A start call gets no answer, and its worker drains, so that the run is stopped there. The
// worker leaves and starts again under its name, and carries the call out before its agent has
// listed it. The task must not run elsewhere meanwhile, and must not wait longer than that.
func TestUnansweredStartHoldsItsTaskUntilTheNextLifeIsListed(t *testing.T) {
	present, next := spar.Life{ID: "i-n1", Born: 1}, spar.Life{ID: "i-n1", Born: 9000}
	for _, tt := range []struct {
		name  string
		after func(h *harness, o spar.StartOrder)
		// starts is the number of starts that are ordered then.
		starts int
	}{
		{"worker goes on", func(*harness, spar.StartOrder) {}, 0},
		{"worker has left", (*harness).leaveN1, 0},
		{"departure of the worker", func(h *harness, _ spar.StartOrder) {
			h.scheduler.ApplyDeparture(link.Departure{Node: "n1", Life: present, Left: true}, h.now)
		}, 0},
		{"leases have ended", func(h *harness, _ spar.StartOrder) {
			h.scheduler.Disconnect("n1", h.tokens["n1"])
			h.pass(7 * time.Second)
		}, 0},
		{"other session", func(h *harness, _ spar.StartOrder) { h.drainN1(present) }, 0},
		{"next life has not answered", func(h *harness, o spar.StartOrder) {
			h.leaveN1(o)
			h.nameLife("n1", next)
		}, 0},
		{"next life has carried the call out", func(h *harness, o spar.StartOrder) {
			h.leaveN1(o)
			h.connectLife("n1", next, spar.Running{Task: o.Task, Run: o.Run, Percent: 10})
		}, 0},
		{"next life has listed its runs", func(h *harness, o spar.StartOrder) {
			h.leaveN1(o)
			h.connectLife("n1", next)
		}, 1},
		{"next life of another name has listed its runs", func(h *harness, o spar.StartOrder) {
			h.leaveN1(o)
			h.connectLife("n1", spar.Life{ID: "i-other", Born: 9000})
		}, 1},
		{"no next life", func(h *harness, o spar.StartOrder) {
			h.leaveN1(o)
			h.pass(lateCallTime)
		}, 1},
		{"worker goes on for long", func(h *harness, _ spar.StartOrder) { h.pass(lateCallTime) }, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			h.connectLife("n1", present)
			o := h.submitAndStart("j1", "checks", shortStep(1))
			h.connect("n2")
			h.drainN1(spar.Life{})
			h.advance(time.Second)
			h.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNever}}})
			h.expectStarts(h.runCycle(), 0)
			tt.after(h, o)
			h.pass(50 * time.Millisecond)
			h.expectStarts(h.runCycle(), tt.starts)
		})
	}
}

// A task that is not on its way to a worker that leaves must not wait: a worker that goes on
// rejects the call, and a standing task is missed while it is away.
func TestUnansweredStartHoldsNoOtherTask(t *testing.T) {
	standing := shortStep(1)
	standing.Standing = true
	for name, tt := range map[string]struct {
		step   spar.Step
		drains bool
	}{"worker does not drain": {shortStep(1), false}, "standing task": {standing, true}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connect("n1")
			o := h.submitAndStart("j1", "checks", tt.step)
			h.connect("n2")
			if tt.drains {
				h.drainN1(spar.Life{})
			}
			h.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNever}}})
			h.pass(50 * time.Millisecond)
			h.expectStarts(h.runCycle(), 1)
		})
	}
}

// drainN1 has the worker of n1 drain, in a new session if a life is given.
func (h *harness) drainN1(life spar.Life) {
	drained := info(spar.Life{ID: "i-n1", Born: 1})
	drained.Draining = true
	if life == (spar.Life{}) {
		h.scheduler.UpdateWorker("n1", h.tokens["n1"], drained)
		return
	}
	h.token++
	h.tokens["n1"] = h.token
	h.scheduler.Connect("n1", drained, h.token, nil, h.now)
	h.report("n1", &link.AgentMessage{Complete: true, Heartbeat: 1})
}

// leaveN1 has the worker of n1 leave.
func (h *harness) leaveN1(spar.StartOrder) {
	h.scheduler.RemoveWorker("n1", h.tokens["n1"])
	h.scheduler.Disconnect("n1", h.tokens["n1"])
}

// pass lets time pass with the lease of n2 extended.
func (h *harness) pass(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); {
		h.advance(min(end.Sub(h.now), time.Second))
		h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
		h.scheduler.Tick(h.now, h.now)
	}
}
