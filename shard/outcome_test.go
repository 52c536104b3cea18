package shard_test

import (
	"testing"
	"time"
)

// The store takes long for a commit. The session of a worker whose orders were sent just
// now is closed at once, since their outcomes are overdue, and the orders are lost with it.
func TestOutcomeIsNotOverdueWhenOrderWasJustSent(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("j1", "watches", halfWorkerStep(1))
	h.scheduler.Plan(h.now)
	c := h.scheduler.PrepareCommit()
	h.store(c)
	for range 8 {
		h.advance(time.Second)
		h.scheduler.GrantLease("n1", h.tokens["n1"], h.now)
		h.scheduler.Tick(h.now, h.now)
	}
	h.expectStarts(h.scheduler.FinishCommit(c, true), 1)
	if nodes := h.scheduler.OverdueNodes(h.now.Add(time.Second)); len(nodes) > 0 {
		t.Errorf("outcomes of %v are overdue a second after the order", nodes)
	}
	h.advance(8 * time.Second)
	if nodes := h.scheduler.OverdueNodes(h.now); len(nodes) != 1 {
		t.Errorf("%d workers with overdue outcomes after 8 s, want 1", len(nodes))
	}
}
