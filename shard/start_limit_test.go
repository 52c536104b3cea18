package shard_test

import (
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

const (
	limitSpecBytes = 2400
	// limitBytes is 0.2 s of a link of 10 Mbit/s.
	limitBytes = 256 << 10
)

func newLimitHarness(t *testing.T) *harness {
	h := newHarness(t)
	newFakeNodes(h, 4, 1)
	j := spar.Job{ID: "5c0e7a21d94b36f8", Queue: "checks", Spec: strings.Repeat("x", limitSpecBytes), Steps: tinySteps(2000)}
	h.scheduler.Submit(j, h.now)
	return h
}

func orderedBytes(messages map[string]*link.OwnerMessage) int {
	n := 0
	for _, m := range messages {
		for _, o := range m.Starts {
			n += len(o.Spec)
		}
	}
	return n
}

// The tasks of a takeover are ordered at once, so that grants and the calls of joins
// wait behind megabytes of specifications on a slow link. While the orders have no
// answer, no more may follow than the link transfers.
func TestUnansweredStartOrdersAreLimited(t *testing.T) {
	h := newLimitHarness(t)
	total, rounds := 0, 0
	for ; total < 2000*limitSpecBytes; rounds++ {
		for node, token := range h.tokens {
			h.scheduler.GrantLease(node, token, h.now)
		}
		sent := 0
		for range 5 {
			sent += orderedBytes(h.runCycle())
		}
		if sent == 0 || sent > limitBytes+limitSpecBytes {
			t.Fatalf("round %d: %d bytes ordered without an answer, want some and at most %d", rounds, sent, limitBytes)
		}
		total += sent
		h.advance(300 * time.Millisecond)
	}
	t.Logf("%d bytes ordered in %d rounds", total, rounds)
}

// A slow store holds the claims of a second back, and releases all of their orders at
// once.
func TestStartOrdersOfOneCommitAreLimited(t *testing.T) {
	h := newLimitHarness(t)
	for range 10 {
		h.scheduler.Tick(h.now, h.now)
		h.scheduler.Plan(h.now)
		h.advance(100 * time.Millisecond)
	}
	c := h.scheduler.PrepareCommit()
	h.store(c)
	if n := orderedBytes(h.scheduler.FinishCommit(c, true)); n == 0 || n > limitBytes+limitSpecBytes {
		t.Fatalf("%d bytes ordered by one commit, want some and at most %d", n, limitBytes)
	}
}

// Orders that are answered leave room for more at once, so that a fast link starts
// all tasks without a pause.
func TestAnsweredStartOrdersDoNotCount(t *testing.T) {
	h := newLimitHarness(t)
	total := 0
	for range 40 {
		messages := h.runCycle()
		total += orderedBytes(messages)
		for node, m := range messages {
			out := &link.AgentMessage{}
			for _, o := range m.Starts {
				out.Outcomes = append(out.Outcomes, link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartDone})
			}
			h.report(node, out)
		}
	}
	if total != 2000*limitSpecBytes {
		t.Fatalf("%d bytes ordered at once, want all %d", total, 2000*limitSpecBytes)
	}
}
