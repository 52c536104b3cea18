package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// A worker on which everything stands still gives its tasks back, and gets no
// more for a while.
func TestTasksThatStandStillGoElsewhere(t *testing.T) {
	w := newWorld(t)
	w.worker("n1")
	w.submit("j1", "checks", check(3))
	stuck := w.expectStarts(w.turn(), 3)
	w.worker("n2")
	m := &link.AgentMessage{}
	for _, o := range stuck {
		m.Running = append(m.Running, spar.Running{Task: o.Task, Run: o.Run, Percent: 3})
	}
	w.report("n1", m)
	w.pass(time.Second)
	w.report("n1", &link.AgentMessage{Heartbeat: 2})
	if n := len(stops(w.turn())); n != 0 {
		t.Fatalf("%d stops after a second", n)
	}
	w.pass(time.Second)
	w.report("n1", &link.AgentMessage{Heartbeat: 3})
	if n := len(stops(w.turn())); n != 3 {
		t.Fatalf("%d stops after two seconds, want 3", n)
	}
	for i, o := range stuck {
		w.report("n1", ended(int64(i+1), o, spar.EndStopped))
	}
	m2 := w.turn()
	if w.expectStarts(m2, 3); m2["n2"] == nil || len(m2["n2"].Starts) != 3 {
		t.Fatal("not all went to the sound worker")
	}
}
