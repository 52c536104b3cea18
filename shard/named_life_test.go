package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// A restarted agent receives a late heartbeat of an earlier life of its worker before one of
// the present life, and names that life to the owner. The worker does not answer in it. The
// runs of the present life must not start elsewhere, whatever the agent reports of the other.
func TestRunsAreKeptUntilTheWorkerHasAnsweredInAnotherLife(t *testing.T) {
	present := spar.Life{ID: "i-n1", Born: 5000}
	for name, other := range map[string]spar.Life{
		"earlier life":                  {ID: "i-old", Born: 1000},
		"earlier life of the same name": {ID: "i-n1", Born: 1000},
		"later life":                    {ID: "i-next", Born: 9000},
		"life of a short while ago":     {ID: "i-old", Born: 4999},
	} {
		for _, report := range []struct {
			name string
			do   func(h *harness)
		}{
			{"session ends", func(h *harness) { h.scheduler.Disconnect("n1", h.tokens["n1"]) }},
			{"left", func(h *harness) {
				h.scheduler.RemoveWorker("n1", h.tokens["n1"])
				h.scheduler.Disconnect("n1", h.tokens["n1"])
			}},
			{"departure", func(h *harness) {
				h.scheduler.ApplyDeparture(link.Departure{Node: "n1", Life: other, Left: true}, h.now)
				h.scheduler.Disconnect("n1", h.tokens["n1"])
			}},
			{"left in an earlier term", func(h *harness) {
				h.scheduler.EndLife(other)
				h.scheduler.Disconnect("n1", h.tokens["n1"])
			}},
			{"left, owner replaced", func(h *harness) {
				h.runCycle()
				h.replaceOwner(12 * time.Second)
				h.connect("n2")
				h.scheduler.ApplyDeparture(link.Departure{Node: "n1", Life: other, Left: true}, h.now)
			}},
			{"named again, and a third one", func(h *harness) {
				h.nameLife("n1", other)
				h.nameLife("n1", spar.Life{ID: "i-third", Born: 2000})
			}},
		} {
			t.Run(name+"/"+report.name, func(t *testing.T) {
				h := newHarness(t)
				h.connectLife("n1", present)
				o := h.submitAndStart("j1", "checks", shortStep(1))
				h.report("n1", started(o))
				h.connect("n2")
				h.scheduler.Disconnect("n1", h.tokens["n1"])
				h.nameLife("n1", other)
				h.expectStarts(h.runCycle(), 0)
				report.do(h)
				h.expectStarts(h.runCycle(), 0)
				h.advance(time.Second)
				h.expectStarts(h.runCycle(), 0)
				h.connectLife("n1", present, spar.Running{Task: o.Task, Run: o.Run, Percent: 50})
				for range 10 {
					h.advance(time.Second)
					for node, token := range h.tokens {
						h.scheduler.GrantLease(node, token, h.now)
					}
					h.expectStarts(h.runCycle(), 0)
				}
				h.report("n1", ended(1, o, spar.EndDone))
				h.runCycle()
				if h.state1() != "completed" {
					t.Errorf("job in state %q after its run has ended", h.state1())
				}
			})
		}
	}
}

// nameLife opens a session in which the worker does not answer.
func (h *harness) nameLife(node string, life spar.Life) {
	h.token++
	h.tokens[node] = h.token
	h.scheduler.Connect(node, info(life), h.token, nil, h.now)
}

// A worker has crashed and is back under another name. Its runs start elsewhere as soon as it
// has listed its runs in the new life, and without that when the leases of the old one end.
func TestRunsOfTheLifeBeforeAreLostOnceTheWorkerHasAnswered(t *testing.T) {
	for name, answers := range map[string]bool{"answers": true, "does not answer": false} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connectLife("n1", spar.Life{ID: "i-n1", Born: 1000})
			o := h.submitAndStart("j1", "checks", shortStep(1))
			h.report("n1", started(o))
			h.connect("n2")
			h.advance(time.Second)
			next := spar.Life{ID: "i-next", Born: 9000}
			if answers {
				h.connectLife("n1", next)
				h.expectStarts(h.runCycle(), 1)
				return
			}
			h.nameLife("n1", next)
			wait := limits.Lease + spar.ClockDriftMargin(limits.Lease) - time.Second
			h.advance(wait)
			h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
			h.expectStarts(h.runCycle(), 0)
			h.advance(time.Millisecond)
			h.expectStarts(h.runCycle(), 1)
		})
	}
}
