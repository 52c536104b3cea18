package shard_test

import (
	"slices"
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

// A worker leaves a start call without an answer, lists its runs without it, and crashes. In
// its next life the call may be carried out. Until that life is listed, or the call is carried
// out no more, the task must not run on another worker; on the same one it may start at once.
func TestUnansweredStartKeepsItsTaskWithTheWorker(t *testing.T) {
	next := spar.Life{ID: "i-n1", Born: 9000}
	relist := func(h *harness) {
		h.token++
		h.tokens["n1"] = h.token
		h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 1}), h.token, nil, h.now)
		h.report("n1", &link.AgentMessage{Complete: true, Heartbeat: 1})
		h.scheduler.GrantLease("n1", h.token, h.now)
	}
	crash := func(h *harness) { h.scheduler.Disconnect("n1", h.tokens["n1"]) }
	for name, tt := range map[string]struct {
		settle func(h *harness, o spar.StartOrder)
		after  func(h *harness)
		// nodes are those on which the task starts then.
		nodes []string
	}{
		"listed": {func(h *harness, _ spar.StartOrder) { relist(h) }, func(*harness) {}, []string{"n1"}},
		"stopped": {func(h *harness, o spar.StartOrder) {
			h.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNever}}})
		}, func(*harness) {}, []string{"n1"}},
		"leases over, listed": {func(h *harness, _ spar.StartOrder) {
			h.advance(6 * time.Second)
			h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
			h.scheduler.Tick(h.now, h.now)
			h.scheduler.Plan(h.now)
			relist(h)
		}, func(*harness) {}, []string{"n1"}},
		"leases over": {func(*harness, spar.StartOrder) {}, func(h *harness) { h.pass(7 * time.Second) }, nil},
		"crashed":     {func(h *harness, _ spar.StartOrder) { relist(h) }, crash, nil},
		"crashed, leases over": {func(h *harness, _ spar.StartOrder) { relist(h) }, func(h *harness) {
			crash(h)
			h.pass(8 * time.Second)
		}, nil},
		"crashed, call over": {func(h *harness, _ spar.StartOrder) { relist(h) }, func(h *harness) {
			crash(h)
			h.pass(lateCallTime)
		}, []string{"n2"}},
		"next life listed": {func(h *harness, _ spar.StartOrder) { relist(h) }, func(h *harness) {
			crash(h)
			h.connectLife("n1", next)
			drained := info(next)
			drained.Draining = true
			h.scheduler.UpdateWorker("n1", h.tokens["n1"], drained)
		}, []string{"n2"}},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connect("n1")
			o := h.submitAndStart("j1", "checks", shortStep(1))
			h.connect("n2")
			h.advance(6 * time.Second)
			h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
			h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
			tt.settle(h, o)
			tt.after(h)
			h.pass(50 * time.Millisecond)
			var nodes []string
			for node, m := range h.runCycle() {
				if len(m.Starts) > 0 {
					nodes = append(nodes, node)
				}
			}
			if !slices.Equal(nodes, tt.nodes) {
				t.Errorf("started on %v, want %v", nodes, tt.nodes)
			}
		})
	}
}

// One task of a step must stay with its worker, which has no room for it. The others of the
// step, and those of other steps, must not wait for that.
func TestTaskThatStaysWithItsWorkerHoldsUpNoOther(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	o := h.submitAndStart("j1", "checks", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 9000}, Estimate: time.Second})
	h.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNever}}})
	small := info(spar.Life{ID: "i-n1", Born: 1})
	small.Size.CPUMilli = 4000
	h.scheduler.UpdateWorker("n1", h.tokens["n1"], small)
	h.connect("n2")
	h.submit("j2", "checks", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 9500}, Estimate: time.Second})
	h.pass(50 * time.Millisecond)
	if got := h.expectStarts(h.runCycle(), 1)[0].Task.Job; got != "j2" {
		t.Errorf("a task of %s starts, want that of j2", got)
	}
}
