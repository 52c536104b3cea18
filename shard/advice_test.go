package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// advised has all queues need advice.
func newAdvisedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.core.SetRules(&spar.Rules{Version: 2, Queues: []spar.Queue{
		{Name: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond, Advised: true},
	}})
	return h
}

// advise answers all open questions: the worker of node n2 is good.
func (h *harness) answerAdviceRequests(valid time.Duration) int {
	questions := h.core.AdviceRequests(h.now)
	for _, q := range questions {
		h.core.RecordAdvice(q, map[string]string{"i-n2": "ticket-" + q.Step.String()}, h.now.Add(valid), true, h.now)
	}
	return len(questions)
}

func TestAdvisedStepStartsWhereTheAdviserSays(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n1")
	h.connect("n2")
	h.submit("a", "checks", shortStep(2))
	h.expectStarts(h.runCycle(), 0)
	if n := h.answerAdviceRequests(3 * time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	m := h.runCycle()
	for _, o := range h.expectStarts(m, 2) {
		if o.Ticket != "ticket-a.0.0" {
			t.Errorf("ticket %q", o.Ticket)
		}
	}
	if len(m["n2"].Starts) != 2 {
		t.Errorf("starts on a worker that the adviser did not name: %+v", m)
	}
	if n := h.answerAdviceRequests(time.Second); n != 0 {
		t.Errorf("%d questions with nothing to place, want none", n)
	}
}

func TestAdviceRunsOut(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n2")
	h.submit("a", "checks", shortStep(1))
	h.runCycle()
	h.answerAdviceRequests(time.Second)
	h.advance(900 * time.Millisecond)
	h.expectStarts(h.runCycle(), 0)
	h.answerAdviceRequests(time.Second)
	h.expectStarts(h.runCycle(), 1)
}

func TestRefusedTicketIsAskedForAnew(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n2")
	h.submit("a", "checks", shortStep(1))
	h.runCycle()
	h.answerAdviceRequests(3 * time.Second)
	o := h.expectStarts(h.runCycle(), 1)[0]
	h.report("n2", &link.Up{Outcomes: []link.Outcome{{Task: o.Task, Run: o.Run, Result: spar.StartTicket}}})
	h.advance(50 * time.Millisecond)
	h.expectStarts(h.runCycle(), 0)
	if n := h.answerAdviceRequests(3 * time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	h.expectStarts(h.runCycle(), 1)
}

// Workers that may not run a step are not asked for again, and a question
// without an answer is repeated after a while.
func TestAdviserIsNotAskedInVain(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n1")
	h.submit("a", "checks", shortStep(1))
	h.runCycle()
	q := h.core.AdviceRequests(h.now)
	if len(q) != 1 || len(h.core.AdviceRequests(h.now)) != 0 {
		t.Fatalf("questions %v, want one, and none beside it", q)
	}
	h.core.RecordAdvice(q[0], nil, time.Time{}, false, h.now)
	h.runCycle()
	if n := len(h.core.AdviceRequests(h.now)); n != 0 {
		t.Errorf("%d questions at once after one without an answer", n)
	}
	h.advance(time.Second)
	h.runCycle()
	if n := h.answerAdviceRequests(time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	h.advance(time.Second)
	h.runCycle()
	if n := h.answerAdviceRequests(time.Second); n != 0 {
		t.Errorf("%d questions about a worker that may not run the step", n)
	}
}
