package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// A worker is already leaving when the next owner first hears of it, and its agent reports
// no further change. The standing task there stays until the worker is gone, and is down
// then.
func TestNewOwnerMovesTasksOffLeavingWorker(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	o := h.submitAndStart("j1", "watches", halfWorkerStep(1))
	h.report("n1", started(o))
	h.replaceOwner(11 * time.Second)
	h.connect("n2")
	w := info(spar.Life{ID: "i-n1", Born: 1})
	w.Draining = true
	h.token++
	h.tokens["n1"] = h.token
	h.scheduler.Connect("n1", w, h.token, nil, h.now)
	h.report("n1", &link.AgentMessage{Complete: true, Heartbeat: 1, Running: []spar.Running{{Task: o.Task, Run: o.Run, Percent: 100}}})
	h.scheduler.GrantLease("n1", h.token, h.now)
	s := stops(h.runCycle())
	if len(s) != 1 || s[0].Task != o.Task {
		t.Fatalf("stops %v, want one of %s", s, o.Task)
	}
	h.report("n1", ended(1, o, spar.EndStopped))
	if node, _ := h.onlyStart(h.runCycle()); node != "n2" {
		t.Errorf("the task starts on %s, want n2", node)
	}
}
