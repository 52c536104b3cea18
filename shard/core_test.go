package shard_test

import (
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// scenario is one rule of the shard, told as what happens and what must hold.
type scenario struct {
	name string
	run  func(w *world)
}

func TestScenario(t *testing.T) {
	for _, s := range slices.Concat(scenarios, takeovers) {
		t.Run(s.name, func(t *testing.T) { s.run(newWorld(t)) })
	}
}

// scenarios are about one owner and one life of each worker.
var scenarios = []scenario{
	{"a job runs its steps in order and completes", func(w *world) {
		w.worker("n1")
		second := check(1)
		second.After = []int{0}
		a := w.begin("j1", "checks", check(1), second)
		w.expectStarts(w.turn(), 0)
		w.report("n1", ended(1, a, spar.EndDone))
		w.expectState("j1", shard.Active)
		b := w.expectStarts(w.turn(), 1)[0]
		if b.Task.Step != 1 {
			w.Fatalf("second start is %v", b.Task)
		}
		w.report("n1", ended(2, b, spar.EndDone))
		if s, _ := w.core.StateOf("j1"); s == shard.Completed {
			w.Fatal("shown as completed before it is stored")
		}
		w.turn()
		w.expectState("j1", shard.Completed)
	}},
	{"an order is given only after its claim is stored", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.core.Plan(w.now)
		if m := w.core.Immediate(); len(starts(m)) > 0 {
			w.Fatal("ordered before storing")
		}
		c := w.core.Prepare()
		if len(c.Records) != 1 {
			w.Fatalf("%d records, want the claim", len(c.Records))
		}
		w.expectStarts(w.core.Committed(c, true), 1)
	}},
	{"an end is acknowledged only after it is stored", func(w *world) {
		w.worker("n1")
		a := w.begin("j1", "checks", check(1))
		w.report("n1", ended(7, a, spar.EndDone))
		if m := w.core.Immediate(); m["n1"] != nil && m["n1"].Acked != 0 {
			w.Fatal("acknowledged before storing")
		}
		if m := w.turn(); m["n1"] == nil || m["n1"].Acked != 7 {
			w.Fatalf("not acknowledged after storing: %+v", m["n1"])
		}
	}},
	{"an owner that may not order any more frees its claims", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.core.Plan(w.now)
		w.expectStarts(w.core.Committed(w.core.Prepare(), false), 0)
		if o := w.expectStarts(w.turn(), 1)[0]; o.Run != 2 {
			w.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"failures count up to the limit and no further start follows", func(w *world) {
		w.worker("n1")
		w.worker("n2")
		w.submit("j1", "checks", check(1))
		for n := int64(1); n <= 2; n++ {
			o := w.expectStarts(w.turn(), 1)[0]
			for _, node := range []string{"n1", "n2"} {
				w.report(node, ended(n, o, spar.EndFailed))
			}
		}
		w.expectStarts(w.turn(), 0)
		w.expectState("j1", shard.Failed)
	}},
	{"failures are remembered by the next owner", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.report("n1", ended(1, o, spar.EndFailed))
		w.turn()
		w.takeover(0)
		w.worker("n1")
		o = w.expectStarts(w.turn(), 1)[0]
		w.report("n1", ended(2, o, spar.EndFailed))
		w.turn()
		w.expectState("j1", shard.Failed)
	}},
	{"the same failure told twice counts once", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.report("n1", ended(1, o, spar.EndFailed))
		w.report("n1", ended(1, o, spar.EndFailed))
		w.turn()
		w.expectState("j1", shard.Active)
	}},
	{"lapsed, stopped and broken runs do not count as failures", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		for n, how := range []spar.Ending{spar.EndLapsed, spar.EndStopped, spar.EndBroken, spar.EndLapsed} {
			o := w.expectStarts(w.turn(), 1)[0]
			w.report("n1", ended(int64(n+1), o, how))
			w.pass(time.Second)
		}
		w.expectStarts(w.turn(), 1)
	}},
	{"a cancelled job is stopped and starts nothing more", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(2))
		w.expectStarts(w.turn(), 2)
		w.submit("j2", "checks", check(1))
		w.core.Cancel("j1", w.now)
		w.core.Cancel("j2", w.now)
		m := w.turn()
		w.expectStarts(m, 0)
		if n := len(stops(m)); n != 2 {
			w.Fatalf("%d stops, want 2", n)
		}
		w.expectState("j1", shard.Cancelled)
		w.expectState("j2", shard.Cancelled)
	}},
	{"a cancel that comes before its job holds", func(w *world) {
		w.worker("n1")
		w.core.Cancel("j1", w.now)
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 0)
		w.expectState("j1", shard.Cancelled)
	}},
	{"a run of a cancelled job that a list shows is stopped again", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.core.Cancel("j1", w.now)
		w.turn()
		w.worker("n1", spar.Running{Task: o.Task, Run: o.Run})
		if n := len(stops(w.turn())); n != 1 {
			w.Fatalf("%d stops, want 1", n)
		}
	}},
	{"nothing starts on a worker that leaves or in a closed domain", func(w *world) {
		w.worker("n1")
		w.core.SetDomains(map[string]bool{"sofia": true})
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 0)
		w.core.SetDomains(map[string]bool{})
		leaving := info(spar.Life{ID: "i-n1", Born: 1})
		leaving.Draining = true
		w.core.Update("n1", w.tokens["n1"], leaving)
		w.expectStarts(w.turn(), 0)
	}},
	{"no worker is committed beyond its size", func(w *world) {
		w.worker("n1")
		big := check(20)
		big.Size = spar.Size{CPUMilli: 3000, MemoryMB: 1000}
		w.submit("j1", "checks", big)
		w.expectStarts(w.turn(), 5)
		heavy := check(3)
		heavy.Size = spar.Size{CPUMilli: 10, MemoryMB: 30000}
		w.submit("j2", "checks", heavy)
		w.expectStarts(w.turn(), 1)
	}},
	{"a refused start goes elsewhere and counts no attempt", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.report("n1", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNoRoom}}})
		w.expectStarts(w.turn(), 0)
		w.pass(time.Second)
		w.expectStarts(w.turn(), 1)
	}},
	{"a standing task starts again however it ends", func(w *world) {
		w.worker("n1")
		s := check(1)
		s.Standing = true
		w.submit("j1", "watches", s)
		for n, how := range []spar.Ending{spar.EndDone, spar.EndFailed, spar.EndFailed, spar.EndFailed, spar.EndFailed} {
			o := w.expectStarts(w.turn(), 1)[0]
			w.report("n1", ended(int64(n+1), o, how))
			w.pass(5 * time.Second)
			w.core.Grant("n1", w.tokens["n1"], w.now)
		}
		w.expectStarts(w.turn(), 1)
	}},
	{"occurrences start at their times and the job completes after the last", func(w *world) {
		w.worker("n1")
		j := spar.Job{ID: "j1", Queue: "checks", Steps: []spar.Step{check(1)}, Times: 2, First: w.now.Add(time.Second), Interval: time.Second}
		w.core.Submit(j, w.now)
		w.expectStarts(w.turn(), 0)
		w.pass(time.Second)
		a := w.expectStarts(w.turn(), 1)[0]
		w.report("n1", ended(1, a, spar.EndDone))
		w.turn()
		w.expectState("j1", shard.Active)
		w.pass(time.Second)
		b := w.expectStarts(w.turn(), 1)[0]
		if b.Task.Occur != 1 {
			w.Fatalf("second occurrence is %v", b.Task)
		}
		w.report("n1", ended(2, b, spar.EndDone))
		w.turn()
		w.expectState("j1", shard.Completed)
	}},
	{"a gang starts whole, with one run number, or not at all", func(w *world) {
		w.worker("n1")
		g := check(3)
		g.Gang = true
		g.Size = spar.Size{CPUMilli: 6000, MemoryMB: 100}
		w.submit("j1", "checks", g)
		w.expectStarts(w.turn(), 0)
		w.worker("n2")
		all := w.expectStarts(w.turn(), 3)
		for _, o := range all {
			if o.Run != all[0].Run {
				w.Fatalf("runs differ: %+v", all)
			}
		}
		w.report("n1", ended(1, all[0], spar.EndDone))
		w.report("n2", ended(1, all[0], spar.EndDone))
		w.turn()
		w.expectState("j1", shard.Completed)
	}},
	{"an ended job is forgotten after its time, in the store too", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.report("n1", ended(1, o, spar.EndDone))
		w.turn()
		w.pass(limits.Keep + time.Second)
		w.core.Tick(w.now, w.now)
		c := w.core.Prepare()
		if len(c.Drops) != 1 || len(c.Records) != 1 || len(c.Records[0].Value) != 0 {
			w.Fatalf("not dropped: %+v", c)
		}
		if _, ok := w.core.StateOf("j1"); ok {
			w.Fatal("still known")
		}
	}},
	{"an end that comes after the run was given up still counts", func(w *world) {
		w.worker("n1")
		o := w.begin("j1", "checks", check(1))
		w.core.Disconnect("n1", w.tokens["n1"])
		w.pass(6 * time.Second)
		w.turn()
		w.worker("n1")
		w.report("n1", ended(1, o, spar.EndDone))
		w.turn()
		w.expectState("j1", shard.Completed)
	}},
}
