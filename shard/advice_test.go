package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// advised has all queues need advice.
func advised(t *testing.T) *world {
	w := newWorld(t)
	w.core.SetRules(&spar.Rules{Version: 2, Queues: []spar.Queue{
		{Name: "checks", Service: "desk", MaxAttempts: 2, Stretch: 1.5, Slack: 250 * time.Millisecond, Advised: true},
	}})
	return w
}

// advise answers all open questions: the worker of node n2 is good.
func (w *world) advise(valid time.Duration) int {
	questions := w.core.Questions(w.now)
	for _, q := range questions {
		w.core.Advise(q, map[string]string{"i-n2": "ticket-" + q.Step.String()}, w.now.Add(valid), true, w.now)
	}
	return len(questions)
}

func TestAdvisedStepStartsWhereTheAdviserSays(t *testing.T) {
	w := advised(t)
	w.worker("n1")
	w.worker("n2")
	w.submit("a", "checks", check(2))
	w.expectStarts(w.turn(), 0)
	if n := w.advise(3 * time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	m := w.turn()
	for _, o := range w.expectStarts(m, 2) {
		if o.Ticket != "ticket-a.0.0" {
			t.Errorf("ticket %q", o.Ticket)
		}
	}
	if len(m["n2"].Starts) != 2 {
		t.Errorf("starts on a worker that the adviser did not name: %+v", m)
	}
	if n := w.advise(time.Second); n != 0 {
		t.Errorf("%d questions with nothing to place, want none", n)
	}
}

func TestAdviceRunsOut(t *testing.T) {
	w := advised(t)
	w.worker("n2")
	w.submit("a", "checks", check(1))
	w.turn()
	w.advise(time.Second)
	w.pass(900 * time.Millisecond)
	w.expectStarts(w.turn(), 0)
	w.advise(time.Second)
	w.expectStarts(w.turn(), 1)
}

func TestRefusedTicketIsAskedForAnew(t *testing.T) {
	w := advised(t)
	w.worker("n2")
	w.submit("a", "checks", check(1))
	w.turn()
	w.advise(3 * time.Second)
	o := w.expectStarts(w.turn(), 1)[0]
	w.report("n2", &link.Up{Outcomes: []link.Outcome{{Task: o.Task, Run: o.Run, Result: spar.StartNoTicket}}})
	w.pass(50 * time.Millisecond)
	w.expectStarts(w.turn(), 0)
	if n := w.advise(3 * time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	w.expectStarts(w.turn(), 1)
}

// Workers that may not run a step are not asked for again, and a question
// without an answer is repeated after a while.
func TestAdviserIsNotAskedInVain(t *testing.T) {
	w := advised(t)
	w.worker("n1")
	w.submit("a", "checks", check(1))
	w.turn()
	q := w.core.Questions(w.now)
	if len(q) != 1 || len(w.core.Questions(w.now)) != 0 {
		t.Fatalf("questions %v, want one, and none beside it", q)
	}
	w.core.Advise(q[0], nil, time.Time{}, false, w.now)
	w.turn()
	if n := len(w.core.Questions(w.now)); n != 0 {
		t.Errorf("%d questions at once after one without an answer", n)
	}
	w.pass(time.Second)
	w.turn()
	if n := w.advise(time.Second); n != 1 {
		t.Fatalf("%d questions, want 1", n)
	}
	w.pass(time.Second)
	w.turn()
	if n := w.advise(time.Second); n != 0 {
		t.Errorf("%d questions about a worker that may not run the step", n)
	}
}
