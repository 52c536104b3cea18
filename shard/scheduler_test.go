package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// scenario is a test of one scheduling rule. Its name states what must hold.
type scenario struct {
	name string
	run  func(h *harness)
}

func TestSchedulingRules(t *testing.T) {
	for _, s := range slices.Concat(singleOwnerScenarios, takeoverScenarios) {
		t.Run(s.name, func(t *testing.T) { s.run(newHarness(t)) })
	}
}

// singleOwnerScenarios have one owner and one life of each worker.
var singleOwnerScenarios = []scenario{
	{"a job runs its steps in order and completes", func(h *harness) {
		h.connect("n1")
		second := shortStep(1)
		second.After = []int{0}
		a := h.submitAndStart("j1", "checks", shortStep(1), second)
		h.expectStarts(h.runCycle(), 0)
		h.report("n1", ended(1, a, spar.EndDone))
		h.expectState("j1", shard.Active)
		b := h.expectStarts(h.runCycle(), 1)[0]
		if b.Task.Step != 1 {
			h.Fatalf("second start is %v", b.Task)
		}
		h.report("n1", ended(2, b, spar.EndDone))
		if s, _ := h.scheduler.JobState("j1"); s == shard.Completed {
			h.Fatal("job reported as completed before that is stored")
		}
		h.runCycle()
		h.expectState("j1", shard.Completed)
	}},
	{"a start order is sent only after its claim is stored", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.scheduler.Plan(h.now)
		if m := h.scheduler.StopAndPaceMessages(); len(starts(m)) > 0 {
			h.Fatal("start ordered before the claim is stored")
		}
		c := h.scheduler.PrepareCommit()
		if len(c.Records) != 1 {
			h.Fatalf("%d records, want 1 with the claim", len(c.Records))
		}
		h.expectStarts(h.scheduler.FinishCommit(c, true), 1)
	}},
	{"an end is acknowledged only after it is stored", func(h *harness) {
		h.connect("n1")
		a := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(7, a, spar.EndDone))
		if m := h.scheduler.StopAndPaceMessages(); m["n1"] != nil && m["n1"].Acked != 0 {
			h.Fatal("end acknowledged before it is stored")
		}
		if m := h.runCycle(); m["n1"] == nil || m["n1"].Acked != 7 {
			h.Fatalf("end not acknowledged after it was stored: %+v", m["n1"])
		}
	}},
	{"an owner that may no longer give orders removes its claims", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		h.scheduler.Plan(h.now)
		h.expectStarts(h.scheduler.FinishCommit(h.scheduler.PrepareCommit(), false), 0)
		if o := h.expectStarts(h.runCycle(), 1)[0]; o.Run != 2 {
			h.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"failures count up to the limit and no further start follows", func(h *harness) {
		h.connect("n1")
		h.connect("n2")
		h.submit("j1", "checks", shortStep(1))
		for n := int64(1); n <= 2; n++ {
			o := h.expectStarts(h.runCycle(), 1)[0]
			for _, node := range []string{"n1", "n2"} {
				h.report(node, ended(n, o, spar.EndFailed))
			}
		}
		h.expectStarts(h.runCycle(), 0)
		h.expectState("j1", shard.Failed)
	}},
	{"failure counts survive a takeover", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(1, o, spar.EndFailed))
		h.runCycle()
		h.replaceOwner(0)
		h.connect("n1")
		o = h.expectStarts(h.runCycle(), 1)[0]
		h.report("n1", ended(2, o, spar.EndFailed))
		h.runCycle()
		h.expectState("j1", shard.Failed)
	}},
	{"a failure reported twice counts once", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(1, o, spar.EndFailed))
		h.report("n1", ended(1, o, spar.EndFailed))
		h.runCycle()
		h.expectState("j1", shard.Active)
	}},
	{"lapsed, stopped and broken runs do not count as failures", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(1))
		for n, how := range []spar.Ending{spar.EndLapsed, spar.EndStopped, spar.EndBroken, spar.EndLapsed} {
			o := h.expectStarts(h.runCycle(), 1)[0]
			h.report("n1", ended(int64(n+1), o, how))
			h.advance(time.Second)
		}
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a cancelled job is stopped and starts no more tasks", func(h *harness) {
		h.connect("n1")
		h.submit("j1", "checks", shortStep(2))
		h.expectStarts(h.runCycle(), 2)
		h.submit("j2", "checks", shortStep(1))
		h.scheduler.Cancel("j1", h.now)
		h.scheduler.Cancel("j2", h.now)
		m := h.runCycle()
		h.expectStarts(m, 0)
		if n := len(stops(m)); n != 2 {
			h.Fatalf("%d stops, want 2", n)
		}
		h.expectState("j1", shard.Cancelled)
		h.expectState("j2", shard.Cancelled)
	}},
	{"a cancel that arrives before its job takes effect", func(h *harness) {
		h.connect("n1")
		h.scheduler.Cancel("j1", h.now)
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 0)
		h.expectState("j1", shard.Cancelled)
	}},
	{"a listed run of a cancelled job is stopped again", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.scheduler.Cancel("j1", h.now)
		h.runCycle()
		h.connect("n1", spar.Running{Task: o.Task, Run: o.Run})
		if n := len(stops(h.runCycle())); n != 1 {
			h.Fatalf("%d stops, want 1", n)
		}
	}},
	{"nothing starts on a draining worker or in a closed domain", func(h *harness) {
		h.connect("n1")
		h.scheduler.SetClosedDomains(map[string]bool{"sofia": true})
		h.submit("j1", "checks", shortStep(1))
		h.expectStarts(h.runCycle(), 0)
		h.scheduler.SetClosedDomains(map[string]bool{})
		leaving := info(spar.Life{ID: "i-n1", Born: 1})
		leaving.Draining = true
		h.scheduler.UpdateWorker("n1", h.tokens["n1"], leaving)
		h.expectStarts(h.runCycle(), 0)
	}},
	{"no worker is committed beyond its size", func(h *harness) {
		h.connect("n1")
		big := shortStep(20)
		big.Size = spar.Size{CPUMilli: 3000, MemoryMB: 1000}
		h.submit("j1", "checks", big)
		h.expectStarts(h.runCycle(), 5)
		heavy := shortStep(3)
		heavy.Size = spar.Size{CPUMilli: 10, MemoryMB: 30000}
		h.submit("j2", "checks", heavy)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a refused start is repeated and does not count as an attempt", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNoRoom}}})
		h.expectStarts(h.runCycle(), 0)
		h.advance(time.Second)
		h.expectStarts(h.runCycle(), 1)
	}},
	{"a standing task starts again however it ends", func(h *harness) {
		h.connect("n1")
		s := shortStep(1)
		s.Standing = true
		h.submit("j1", "watches", s)
		for n, how := range []spar.Ending{spar.EndDone, spar.EndFailed, spar.EndFailed, spar.EndFailed, spar.EndFailed} {
			o := h.expectStarts(h.runCycle(), 1)[0]
			h.report("n1", ended(int64(n+1), o, how))
			h.advance(5 * time.Second)
			h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
		}
		h.expectStarts(h.runCycle(), 1)
	}},
	{"occurrences start at their times and the job completes after the last", func(h *harness) {
		h.connect("n1")
		j := spar.Job{ID: "j1", Queue: "checks", Steps: []spar.Step{shortStep(1)}, Times: 2, First: h.now.Add(time.Second), Interval: time.Second}
		h.scheduler.Submit(j, h.now)
		h.expectStarts(h.runCycle(), 0)
		h.advance(time.Second)
		a := h.expectStarts(h.runCycle(), 1)[0]
		h.report("n1", ended(1, a, spar.EndDone))
		h.runCycle()
		h.expectState("j1", shard.Active)
		h.advance(time.Second)
		b := h.expectStarts(h.runCycle(), 1)[0]
		if b.Task.Occur != 1 {
			h.Fatalf("second occurrence is %v", b.Task)
		}
		h.report("n1", ended(2, b, spar.EndDone))
		h.runCycle()
		h.expectState("j1", shard.Completed)
	}},
	{"a gang starts completely and under one run number, or not at all", func(h *harness) {
		h.connect("n1")
		g := shortStep(3)
		g.Gang = true
		g.Size = spar.Size{CPUMilli: 6000, MemoryMB: 100}
		h.submit("j1", "checks", g)
		h.expectStarts(h.runCycle(), 0)
		h.connect("n2")
		all := h.expectStarts(h.runCycle(), 3)
		for _, o := range all {
			if o.Run != all[0].Run {
				h.Fatalf("run numbers of the gang differ: %+v", all)
			}
		}
		h.report("n1", ended(1, all[0], spar.EndDone))
		h.report("n2", ended(1, all[0], spar.EndDone))
		h.runCycle()
		h.expectState("j1", shard.Completed)
	}},
	{"an ended job is dropped after its retention, in the store too", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(1, o, spar.EndDone))
		h.runCycle()
		h.advance(limits.Retention + time.Second)
		h.scheduler.Tick(h.now, h.now)
		if c := h.scheduler.PrepareCommit(); len(c.Records) != 0 {
			h.Fatalf("ended job dropped before its submission: %+v", c)
		}
		expired := h.scheduler.ExpiredJobs(10, h.now)
		if len(expired) != 1 || expired[0] != "j1" {
			h.Fatalf("expired jobs %v, want j1", expired)
		}
		h.scheduler.ForgetJobs(expired)
		c := h.scheduler.PrepareCommit()
		if len(c.Records) != 1 || c.Records[0].Key != "j1" || len(c.Records[0].Value) != 0 {
			h.Fatalf("ended job not dropped: %+v", c)
		}
		if _, ok := h.scheduler.JobState("j1"); ok {
			h.Fatal("dropped job is still known")
		}
	}},
	{"a job of which a run is found after its retention is kept until that has ended", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.report("n1", ended(1, o, spar.EndDone))
		h.runCycle()
		h.advance(limits.Retention + time.Second)
		expired := h.scheduler.ExpiredJobs(10, h.now)
		h.connect("n1", spar.Running{Task: o.Task, Run: o.Run + 1})
		h.scheduler.ForgetJobs(expired)
		if s := stops(h.runCycle()); len(s) != 1 {
			h.Fatalf("stops %+v, want that of the run", s)
		}
		h.expectState("j1", shard.Completed)
		h.report("n1", &link.AgentMessage{Ended: []spar.Ended{{Number: 2, Task: o.Task, Run: o.Run + 1, Ending: spar.EndStopped}}})
		h.scheduler.ForgetJobs(h.scheduler.ExpiredJobs(10, h.now))
		if _, ok := h.scheduler.JobState("j1"); ok {
			h.Fatal("the job is still known")
		}
	}},
	{"an end reported after the run was removed as lost still counts", func(h *harness) {
		h.connect("n1")
		o := h.submitAndStart("j1", "checks", shortStep(1))
		h.scheduler.Disconnect("n1", h.tokens["n1"])
		h.advance(6 * time.Second)
		h.runCycle()
		h.connect("n1")
		h.report("n1", ended(1, o, spar.EndDone))
		h.runCycle()
		h.expectState("j1", shard.Completed)
	}},
}
