package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// newAdvisedHarness returns a harness whose queue "checks" requires advice.
func newAdvisedHarness(t *testing.T) *harness {
	h := newHarness(t)
	h.scheduler.SetRules(&spar.Rules{Version: 2, Queues: []spar.Queue{
		{Name: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond, Advised: true},
	}})
	return h
}

// answerAdviceRequests answers all pending requests with a ticket for the
// worker of node n2 only, and returns their number.
func (h *harness) answerAdviceRequests(valid time.Duration) int {
	requests := h.scheduler.AdviceRequests(h.now)
	for _, q := range requests {
		h.scheduler.RecordAdvice(q, map[string]string{"i-n2": "ticket-" + q.Step.String()}, h.now.Add(valid), true, h.now)
	}
	return len(requests)
}

func TestAdvisedStepStartsOnlyWithATicket(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n1")
	h.connect("n2")
	h.submit("a", "checks", shortStep(2))
	h.expectStarts(h.runCycle(), 0)
	if n := h.answerAdviceRequests(3 * time.Second); n != 1 {
		t.Fatalf("%d advice requests, want 1", n)
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
		t.Errorf("%d advice requests with nothing to place, want none", n)
	}
}

// A ticket has 100 ms left when the step is planned. That is too short to store
// the claim and send the order, so a new ticket must be requested.
func TestTicketCloseToExpiryIsNotUsed(t *testing.T) {
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

// A worker refuses the ticket of a start order. The task must not start again
// until the adviser has issued a new one.
func TestRefusedTicketIsRequestedAgain(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n2")
	h.submit("a", "checks", shortStep(1))
	h.runCycle()
	h.answerAdviceRequests(3 * time.Second)
	o := h.expectStarts(h.runCycle(), 1)[0]
	h.report("n2", &link.AgentMessage{Outcomes: []link.StartOutcome{{Task: o.Task, Run: o.Run, Result: spar.StartNoTicket}}})
	h.advance(50 * time.Millisecond)
	h.expectStarts(h.runCycle(), 0)
	if n := h.answerAdviceRequests(3 * time.Second); n != 1 {
		t.Fatalf("%d advice requests, want 1", n)
	}
	h.expectStarts(h.runCycle(), 1)
}

// A failed request must be repeated only after a pause, and workers that may
// not run a step must not be requested again.
func TestAdviceIsNotRequestedNeedlessly(t *testing.T) {
	h := newAdvisedHarness(t)
	h.connect("n1")
	h.submit("a", "checks", shortStep(1))
	h.runCycle()
	q := h.scheduler.AdviceRequests(h.now)
	if len(q) != 1 || len(h.scheduler.AdviceRequests(h.now)) != 0 {
		t.Fatalf("advice requests %v, want one, and no second one while it is in flight", q)
	}
	h.scheduler.RecordAdvice(q[0], nil, time.Time{}, false, h.now)
	h.runCycle()
	if n := len(h.scheduler.AdviceRequests(h.now)); n != 0 {
		t.Errorf("%d advice requests immediately after a failed one, want none", n)
	}
	h.advance(time.Second)
	h.runCycle()
	if n := h.answerAdviceRequests(time.Second); n != 1 {
		t.Fatalf("%d advice requests, want 1", n)
	}
	h.advance(time.Second)
	h.runCycle()
	if n := h.answerAdviceRequests(time.Second); n != 0 {
		t.Errorf("%d advice requests for a worker that may not run the step, want none", n)
	}
}
