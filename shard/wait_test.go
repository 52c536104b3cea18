package shard_test

import (
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// halfWorkerStep is a step of standing tasks that take half of a worker each.
func halfWorkerStep(n int) spar.Step {
	return spar.Step{Count: n, Standing: true, Size: spar.Size{CPUMilli: 8000, MemoryMB: 8000}, Image: "web"}
}

// eventsNamed returns the events of a name so far.
func (h *harness) eventsNamed(name string) (out []shard.Event) {
	for _, e := range h.events {
		if e.Name == name {
			out = append(out, e)
		}
	}
	return out
}

// runFor plans every 100 ms while the given nodes stay in touch.
func (h *harness) runFor(d time.Duration, nodes ...string) {
	h.Helper()
	for range d / (100 * time.Millisecond) {
		h.advance(100 * time.Millisecond)
		for _, n := range nodes {
			h.report(n, &link.AgentMessage{Heartbeat: 1})
			h.scheduler.GrantLease(n, h.tokens[n], h.now)
		}
		for n, m := range h.runCycle() {
			for _, o := range m.Starts {
				h.report(n, started(o))
			}
		}
	}
}

func (h *harness) expectReason(e shard.Event, parts ...string) {
	h.Helper()
	for _, p := range parts {
		if !strings.Contains(e.Reason, p) {
			h.Errorf("event %q of task %s has reason %q, which lacks %q", e.Name, e.Task, e.Reason, p)
		}
	}
}

// TestStandingTaskWithoutRoomIsReported guards against a standing task of which the logs
// do not tell why it waits: each worker is excluded for another reason.
func TestStandingTaskWithoutRoomIsReported(t *testing.T) {
	h := newHarness(t)
	nodes := []string{"closed", "draining", "full", "other"}
	for i, n := range nodes {
		h.connect(n)
		w := info(spar.Life{ID: "i-" + n, Born: 1})
		switch n {
		case "closed":
			w.Domain = "varna"
		case "draining":
			w.Draining = true
		case "full":
			w.Size.CPUMilli = 4000
		case "other":
			w.Service = "mail"
		}
		h.scheduler.UpdateWorker(n, int64(i+1), w)
	}
	h.connect("gone")
	h.scheduler.Disconnect("gone", h.tokens["gone"])
	h.scheduler.SetClosedDomains(map[string]bool{"varna": true})
	h.submit("j1", "watches", halfWorkerStep(1))
	h.runFor(2*time.Second, nodes...)
	if e := h.eventsNamed("standing task waits"); len(e) != 0 {
		t.Fatalf("reported within 2 s: %v", e)
	}
	h.runFor(6*time.Second, nodes...)
	e := h.eventsNamed("standing task waits")
	if len(e) != 2 {
		t.Fatalf("%d reports in 8 s, want 2: %v", len(e), e)
	}
	h.expectReason(e[0], "for 2s: ", "5 workers", "1 of another service or label", "1 out of touch", "1 draining", "1 in a closed domain", "1 without room")
	h.scheduler.SetClosedDomains(nil)
	h.runFor(time.Second, nodes...)
	again := h.eventsNamed("standing task runs again")
	if len(again) != 1 {
		t.Fatalf("%d reports that the task runs, want 1", len(again))
	}
	h.expectReason(again[0], "after 8")
}

// TestStandingTaskOnSilentWorkerIsReported guards against logs that are silent on a task
// that waits for the leases of a worker out of touch. It is not among the tasks to place.
func TestStandingTaskOnSilentWorkerIsReported(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submitAndStart("j1", "watches", halfWorkerStep(1))
	h.replaceOwner(11 * time.Second)
	h.connect("n2")
	h.runFor(4*time.Second, "n2")
	e := h.eventsNamed("standing task waits")
	if len(e) != 1 {
		t.Fatalf("%d reports, want 1: %v", len(e), e)
	}
	h.expectReason(e[0], "run 1 on n1 out of touch, leases end in 8.9s", "1 could take it", "workers out of touch hold 8000m cpu")
}

// TestWaitReportsAreBounded guards against a log that is flooded when many standing tasks
// find no room at once.
func TestWaitReportsAreBounded(t *testing.T) {
	h := newHarness(t)
	h.submit("j1", "watches", halfWorkerStep(500))
	h.runFor(4 * time.Second)
	if n := len(h.eventsNamed("standing task waits")); n == 0 || n > 50 {
		t.Errorf("%d reports in 4 s, want 1 to 50", n)
	}
}

// TestRunsThatHoldRoomAreReported guards against logs that do not tell room that is taken
// from room that is only believed to be: of runs that are not answered or being stopped.
func TestRunsThatHoldRoomAreReported(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	stopped := h.submitAndStart("j1", "plans", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 6000}, Estimate: time.Minute})
	h.report("n1", started(stopped))
	h.submitAndStart("j2", "plans", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 5000}, Estimate: time.Minute})
	h.scheduler.Cancel("j1", h.now)
	h.submit("j3", "watches", halfWorkerStep(1))
	h.runFor(3*time.Second, "n1")
	e := h.eventsNamed("standing task waits")
	if len(e) != 1 {
		t.Fatalf("%d reports, want 1: %v", len(e), e)
	}
	h.expectReason(e[0], "1 without room", "unconfirmed runs hold 5000m cpu", "stopping runs hold 6000m cpu")
}
