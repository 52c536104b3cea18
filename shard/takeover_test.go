package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// takeoverScenarios cover changes of the owner, and workers that disconnect or
// restart.
var takeoverScenarios = []scenario{
	{"a new owner takes over running tasks", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		h.replaceOwner(time.Minute)
		h.connect("n1", spar.Running{Task: a.Task, Run: a.Run, Percent: 10})
		h.expectStarts(h.runCycle(), 0)
		h.report("n1", ended(1, a, spar.EndDone))
		h.runCycle()
		h.expectState("j1", shard.Completed)
	}},
	{"a new owner restarts tasks that the worker does not list", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 1)
		h.replaceOwner(time.Minute)
		h.connect("n2")
		h.expectStarts(h.runCycle(), 0)
		h.connect("n1")
		if o := h.expectStarts(h.runCycle(), 1)[0]; o.Run != 2 {
			h.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a new owner waits for the leases of an unreachable worker", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 1)
		h.replaceOwner(12 * time.Second)
		h.connect("n2")
		h.advance(11 * time.Second)
		h.expectStarts(h.runCycle(), 0)
		h.advance(1100 * time.Millisecond)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"tasks of a disconnected worker restart after its lease and the clock drift margin", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 1)
		h.connect("n2")
		h.scheduler.Disconnect("n1", h.tokens["n1"])
		h.advance(limits.Lease)
		h.expectStarts(h.runCycle(), 0)
		h.advance(limits.Lease/50 + 60*time.Millisecond)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a new life under another name frees the runs of the previous one immediately", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 1)
		h.connectLife("n1", spar.Life{ID: "i-other", Born: 2})
		if o := h.expectStarts(h.runCycle(), 1)[0]; o.Run != 2 {
			h.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a new life under the same name keeps the ordered runs until it has listed its own", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(2))
		all := h.expectStarts(h.runCycle(), 2)
		h.connect("n2")
		h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 2}), 99, nil, h.now)
		h.tokens["n1"] = 99
		h.expectStarts(h.runCycle(), 0)
		h.scheduler.Disconnect("n1", 99)
		h.advance(12 * time.Second)
		h.expectStarts(h.runCycle(), 0)
		h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 2}), 100, nil, h.now)
		h.tokens["n1"] = 100
		// The first order arrived late and was carried out in the new life.
		h.report("n1", &link.AgentMessage{Complete: true, Running: []spar.Running{{Task: all[0].Task, Run: 1}}})
		if o := h.expectStarts(h.runCycle(), 1)[0]; o.Task != all[1].Task || o.Run != 2 {
			h.Fatalf("ordered %+v, want run 2 of the second task", o)
		}
	}},
	{"an end in the previous life is not acknowledged to the new one", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(7, a, spar.EndDone))
		h.connectLife("n1", spar.Life{ID: "i-n1", Born: 2})
		if m := h.runCycle(); m["n1"] != nil && m["n1"].Acked != 0 {
			h.Fatalf("end %d is acknowledged", m["n1"].Acked)
		}
	}},
	{"a new life under the same name restarts tasks that it does not list", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 1)
		h.connectLife("n1", spar.Life{ID: "i-n1", Born: 2})
		if o := h.expectStarts(h.runCycle(), 1)[0]; o.Run != 2 {
			h.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a run that the worker does not list is undecided until the lists are complete", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		h.token++
		h.tokens["n1"] = h.token
		h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 1}), h.token, nil, h.now)
		h.report("n1", &link.AgentMessage{Heartbeat: 1})
		h.connect("n2")
		h.expectStarts(h.runCycle(), 0)
		m := ended(900, a, spar.EndDone)
		m.Complete = true
		h.report("n1", m)
		h.expectStarts(h.runCycle(), 0)
		h.expectState("j1", shard.Completed)
	}},
	{"a stop is ordered again with the first list of the next session", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		h.scheduler.Cancel("j1", h.now)
		h.runCycle()
		h.token++
		h.tokens["n1"] = h.token
		h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 1}), h.token, nil, h.now)
		h.report("n1", &link.AgentMessage{Heartbeat: 1, Running: []spar.Running{{Task: a.Task, Run: a.Run}}})
		if s := stops(h.runCycle()); len(s) != 1 || s[0].Run != a.Run {
			h.Fatalf("stops %+v, want that of run %d", s, a.Run)
		}
	}},
	{"a message of an earlier session is ignored", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		old := h.tokens["n1"]
		h.connect("n1", spar.Running{Task: a.Task, Run: a.Run})
		h.scheduler.HandleReport("n1", old, ended(1, a, spar.EndDone), h.now)
		if h.scheduler.GrantLease("n1", old, h.now) {
			h.Fatal("a lease is granted to an earlier session")
		}
		h.runCycle()
		h.expectState("j1", shard.Active)
	}},
}

// A new owner must not wait for the longest possible lease if the agent reports
// how long leases can still last, or if no lease can be longer than one granted
// now.
func TestReportedLeaseBoundShortensTakeover(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		lease         *time.Duration
		within, after time.Duration
	}{
		"told":     {&second, second, second + limits.Lease/50 + 60*time.Millisecond},
		"not told": {nil, limits.Lease, limits.Lease + limits.Lease/50 + 60*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connect("n1")
			h.submit("j1", "checks", shortStep(1))
			h.expectStarts(h.runCycle(), 1)
			h.replaceOwner(12 * time.Second)
			h.connect("n2")
			// The agent connects, but its worker does not answer.
			h.scheduler.Connect("n1", info(spar.Life{ID: "i-n1", Born: 1}), 77, c.lease, h.now)
			h.scheduler.Disconnect("n1", 77)
			h.advance(c.within)
			h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
			h.expectStarts(h.runCycle(), 0)
			h.advance(c.after - c.within)
			h.expectStarts(h.runCycle(), 1)
		})
	}
}

// Workers and owner lose power at the same time. A run that reported checkpoints
// since the last other change of its job must resume from a recent one.
func TestRunResumesFromItsCheckpointAfterALossOfAllPower(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.report("n1", started(f))
	h.runCycle()
	for k := range 6 {
		h.advance(500 * time.Millisecond)
		h.report("n1", &link.AgentMessage{Running: []spar.Running{{Task: f.Task, Run: f.Run, Percent: 10 * (k + 1), Checkpoint: fmt.Sprint("c", k), Measurement: 4000}}})
		h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
		h.runCycle()
	}
	h.advance(time.Second)
	h.replaceOwner(10 * time.Second)
	h.connectLife("n1", spar.Life{ID: "i-n1-again", Born: 2})
	again := h.expectStarts(h.runCycle(), 1)[0]
	// A checkpoint of the last second may be missing.
	if again.Checkpoint != "c3" && again.Checkpoint != "c4" && again.Checkpoint != "c5" {
		t.Errorf("the run resumes from checkpoint %q, want one of c3 to c5", again.Checkpoint)
	}
}

// A fill waits for a worker on which it disturbs nothing, and starts in spite of that
// some time past its objective. Owners change more often than that. The fill must not
// wait anew with each of them, or it never starts.
func TestLateFillStartsThoughOwnersChangeOften(t *testing.T) {
	h, s := newServingHarness(t)
	f := h.submitAndStart("f", "plans", fillStep("audit", 1))
	h.reportDisturbance("n1", s, f)
	h.runCycle()
	h.report("n1", ended(1, f, spar.EndStopped))
	row := spar.Running{Task: s.Task, Run: s.Run, Percent: 100, Measurement: 17}
	for change := range 5 {
		h.runCycle()
		h.replaceOwner(time.Minute)
		h.connect("n1", row)
		for range 10 {
			h.advance(500 * time.Millisecond)
			h.reportTails("n1", s, 17)
			if len(starts(h.runCycle())) > 0 {
				t.Logf("starts under owner %d", change+2)
				return
			}
		}
	}
	t.Fatal("the fill does not start within 25 s under five owners")
}
