package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// takeovers are scenarios of owners that change, workers that fall silent and
// workers that start again.
var takeovers = []scenario{
	{"a next owner takes over what runs", func(w *world) {
		w.worker("n1")
		a := w.begin("j1", "checks", check(1))
		w.takeover(time.Minute)
		w.worker("n1", spar.Running{Task: a.Task, Run: a.Run, Percent: 10})
		w.expectStarts(w.turn(), 0)
		w.report("n1", ended(1, a, spar.EndDone))
		w.turn()
		w.expectState("j1", shard.Completed)
	}},
	{"a next owner starts again what its list does not have", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 1)
		w.takeover(time.Minute)
		w.worker("n2")
		w.expectStarts(w.turn(), 0)
		w.worker("n1")
		if o := w.expectStarts(w.turn(), 1)[0]; o.Run != 2 {
			w.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a next owner waits for a worker that it does not reach", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 1)
		w.takeover(12 * time.Second)
		w.worker("n2")
		w.pass(11 * time.Second)
		w.expectStarts(w.turn(), 0)
		w.pass(1100 * time.Millisecond)
		w.expectStarts(w.turn(), 1)
	}},
	{"the tasks of a silent worker go elsewhere after its lease, with the clock's slack", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 1)
		w.worker("n2")
		w.core.Disconnect("n1", w.tokens["n1"])
		w.pass(limits.Lease)
		w.expectStarts(w.turn(), 0)
		w.pass(limits.Lease/50 + 60*time.Millisecond)
		w.expectStarts(w.turn(), 1)
	}},
	{"a new life of another name frees what the last one ran at once", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 1)
		w.life("n1", spar.Life{ID: "i-other", Born: 2})
		if o := w.expectStarts(w.turn(), 1)[0]; o.Run != 2 {
			w.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a new life of the same name keeps what was ordered until it is listed", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(2))
		all := w.expectStarts(w.turn(), 2)
		w.worker("n2")
		w.core.Connect("n1", info(spar.Life{ID: "i-n1", Born: 2}), 99, nil, w.now)
		w.tokens["n1"] = 99
		w.expectStarts(w.turn(), 0)
		w.core.Disconnect("n1", 99)
		w.pass(12 * time.Second)
		w.expectStarts(w.turn(), 0)
		w.core.Connect("n1", info(spar.Life{ID: "i-n1", Born: 2}), 100, nil, w.now)
		w.tokens["n1"] = 100
		// The first order came late and was carried out in the new life.
		w.report("n1", &link.AgentMessage{Complete: true, Running: []spar.Running{{Task: all[0].Task, Run: 1}}})
		if o := w.expectStarts(w.turn(), 1)[0]; o.Task != all[1].Task || o.Run != 2 {
			w.Fatalf("%+v is ordered", o)
		}
	}},
	{"an end of the last life is not acknowledged to the new one", func(w *world) {
		w.worker("n1")
		a := w.begin("j1", "checks", check(1))
		w.report("n1", ended(7, a, spar.EndDone))
		w.life("n1", spar.Life{ID: "i-n1", Born: 2})
		if m := w.turn(); m["n1"] != nil && m["n1"].Acked != 0 {
			w.Fatalf("end %d is acknowledged", m["n1"].Acked)
		}
	}},
	{"a third life starts again what the second lost", func(w *world) {
		w.worker("n1")
		w.submit("j1", "checks", check(1))
		w.expectStarts(w.turn(), 1)
		w.life("n1", spar.Life{ID: "i-n1", Born: 2})
		if o := w.expectStarts(w.turn(), 1)[0]; o.Run != 2 {
			w.Fatalf("run %d is ordered, want 2", o.Run)
		}
	}},
	{"a message of an earlier session changes nothing", func(w *world) {
		w.worker("n1")
		a := w.begin("j1", "checks", check(1))
		old := w.tokens["n1"]
		w.worker("n1", spar.Running{Task: a.Task, Run: a.Run})
		w.core.Report("n1", old, ended(1, a, spar.EndDone), w.now)
		if w.core.Grant("n1", old, w.now) {
			w.Fatal("a lease is granted to an earlier session")
		}
		w.turn()
		w.expectState("j1", shard.Active)
	}},
}

// A new owner need not wait for the longest time when the agent tells how long
// leases can last, or when a new process of the agent bounds them.
func TestAgentTellsHowLongLeasesLast(t *testing.T) {
	second := time.Second
	for name, c := range map[string]struct {
		lease         *time.Duration
		within, after time.Duration
	}{
		"told":     {&second, second, second + limits.Lease/50 + 60*time.Millisecond},
		"not told": {nil, limits.Lease, limits.Lease + limits.Lease/50 + 60*time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.worker("n1")
			w.submit("j1", "checks", check(1))
			w.expectStarts(w.turn(), 1)
			w.takeover(12 * time.Second)
			w.worker("n2")
			// The agent is there, and its worker does not answer.
			w.core.Connect("n1", info(spar.Life{ID: "i-n1", Born: 1}), 77, c.lease, w.now)
			w.core.Disconnect("n1", 77)
			w.pass(c.within)
			w.core.Grant("n2", w.tokens["n2"], w.now)
			w.expectStarts(w.turn(), 0)
			w.pass(c.after - c.within)
			w.expectStarts(w.turn(), 1)
		})
	}
}
