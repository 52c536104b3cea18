package shard_test

import (
	"testing"
	"time"
)

// A caller cancels a job that was forgotten. The cancel is dropped from the store after the
// retention, or each owner would read it for ever.
func TestCancelOfAForgottenJobExpires(t *testing.T) {
	h := newHarness(t)
	h.scheduler.Cancel("j1", h.now)
	h.advance(limits.Retention)
	h.scheduler.Tick(h.now, h.now)
	if got := h.scheduler.ExpiredCancels(10); len(got) != 0 {
		t.Fatalf("expired %s after it arrived: %v", limits.Retention, got)
	}
	h.advance(time.Second)
	h.scheduler.Tick(h.now, h.now)
	if got := h.scheduler.ExpiredCancels(10); len(got) != 1 || got[0] != "j1" {
		t.Fatalf("expired cancels: %v, want that of j1", got)
	}
	h.scheduler.CancelsDropped(1)
	if got := h.scheduler.ExpiredCancels(10); len(got) != 0 {
		t.Errorf("cancels that are dropped again: %v", got)
	}
}
