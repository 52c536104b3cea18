package shard_test

import (
	"testing"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// The end of a gang's member is reported again after the gang has started anew, by an
// agent whose session broke. It must not stop the new runs.
func TestRepeatedEndOfAGangDoesNotStopItsNextRuns(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	g := shortStep(2)
	g.Gang = true
	h.submit("j1", "checks", g)
	first := h.expectStarts(h.runCycle(), 2)
	var ends []spar.Ended
	for i, o := range first {
		ends = append(ends, ended(int64(i+1), o, spar.EndFailed).Ended[0])
	}
	h.report("n1", &link.AgentMessage{Ended: ends})
	next := h.expectStarts(h.runCycle(), 2)
	h.report("n1", &link.AgentMessage{Ended: ends})
	if s := stops(h.runCycle()); len(s) > 0 {
		t.Errorf("runs %d are stopped: %+v", next[0].Run, s)
	}
}

// The end of a run is reported again after the next run has saved more. Its old checkpoint
// must not take that away.
func TestRepeatedEndDoesNotReplaceALaterCheckpoint(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	step := shortStep(1)
	step.Checkpoints = true
	first := h.submitAndStart("j1", "checks", step)
	m := ended(1, first, spar.EndStopped)
	m.Ended[0].Checkpoint = "c1"
	h.report("n1", m)
	second := h.expectStarts(h.runCycle(), 1)[0]
	h.report("n1", &link.AgentMessage{Running: []spar.Running{{Task: second.Task, Run: second.Run, Percent: 50, Checkpoint: "c2"}}})
	h.report("n1", m)
	h.report("n1", ended(2, second, spar.EndFailed))
	if third := h.expectStarts(h.runCycle(), 1)[0]; third.Checkpoint != "c2" {
		t.Errorf("the third run resumes from %q, want c2", third.Checkpoint)
	}
}
