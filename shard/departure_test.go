package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
)

// departureOf returns the departure of a node's first life with the given ends.
func departureOf(node string, left bool, ends ...spar.Ended) link.Departure {
	return link.Departure{Node: node, Life: spar.Life{ID: "i-" + node, Born: 1}, Ended: ends, Left: left}
}

func endOf(n int64, o spar.StartOrder, how spar.Ending) spar.Ended { return ended(n, o, how).Ended[0] }

// A worker leaves while the store is silent, and the owner ends before it can store that.
// The next owner must not wait for leases on the worker, whose agent is gone too, and not
// repeat what the worker has finished.
func TestNextOwnerDoesNotWaitForADepartedWorker(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submit("done", "checks", shortStep(1))
	h.submit("lost", "checks", shortStep(1))
	orders := map[string]spar.StartOrder{}
	for _, o := range h.expectStarts(h.runCycle(), 2) {
		orders[o.Task.Job] = o
	}
	h.replaceOwner(12 * time.Second)
	h.connect("n2")
	h.expectStarts(h.runCycle(), 0)
	d := departureOf("n1", true, endOf(1, orders["done"], spar.EndDone))
	if _, over := h.scheduler.ApplyDeparture(d, h.now); !over {
		t.Fatal("the life counts as going on")
	}
	again := h.expectStarts(h.runCycle(), 1)[0]
	if again.Task.Job != "lost" || again.Run != 2 {
		t.Fatalf("run %d of %v starts", again.Run, again.Task)
	}
	h.expectState("done", shard.Completed)
	if _, over := h.scheduler.ApplyDeparture(d, h.now); over {
		t.Error("the life ends a second time")
	}
	h.expectStarts(h.runCycle(), 0)
}

// The agent of a draining worker reports its ends to the next owner too, after the
// departure and any number of times. None of that may touch the runs that follow.
func TestDepartureAndReportOfTheSameEndsAgree(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	step := shortStep(2)
	step.Checkpoints = true
	step.Size = spar.Size{CPUMilli: 7000, MemoryMB: 500}
	h.submit("j1", "checks", step)
	orders := h.expectStarts(h.runCycle(), 2)
	h.replaceOwner(12 * time.Second)
	h.connect("n2")
	e := endOf(4, orders[0], spar.EndStopped)
	e.Checkpoint = "c1"
	if _, over := h.scheduler.ApplyDeparture(departureOf("n1", false, e), h.now); over {
		t.Fatal("the life of a draining worker counts as over")
	}
	m := h.runCycle()
	second := h.expectStarts(m, 1)[0]
	if second.Task != orders[0].Task || second.Run != 2 || second.Checkpoint != "c1" {
		t.Fatalf("%+v starts", second)
	}
	if m["n1"] != nil {
		t.Errorf("the departure is acknowledged in a session: %+v", m["n1"])
	}
	h.scheduler.ApplyDeparture(departureOf("n1", false, e), h.now)
	if !h.scheduler.PrepareCommit().Empty() {
		t.Error("the repeated departure changes what is stored")
	}
	h.report("n2", &link.AgentMessage{Running: []spar.Running{{Task: second.Task, Run: second.Run, Percent: 50, Checkpoint: "c2"}}})
	h.scheduler.ApplyDeparture(departureOf("n1", false, e), h.now)
	h.token++
	h.tokens["n1"] = h.token
	draining := info(spar.Life{ID: "i-n1", Born: 1})
	draining.Draining = true
	h.scheduler.Connect("n1", draining, h.token, nil, h.now)
	h.report("n1", &link.AgentMessage{Complete: true, Running: []spar.Running{{Task: orders[1].Task, Run: 1}}, Ended: []spar.Ended{e}, Heartbeat: 1})
	m = h.runCycle()
	h.expectStarts(m, 0)
	if m["n1"] == nil || m["n1"].Acked != 4 || m["n2"] != nil {
		t.Errorf("messages after the repeated end: %+v", m)
	}
	h.report("n2", ended(1, second, spar.EndFailed))
	if third := h.expectStarts(h.runCycle(), 1)[0]; third.Checkpoint != "c2" {
		t.Errorf("the third run resumes from %q, want c2", third.Checkpoint)
	}
}

// A departure is kept for a while and is applied in each term of an entry. By then the
// worker may be in a later life, with runs that go on.
func TestDepartureOfAnEarlierLifeTouchesNothing(t *testing.T) {
	for name, later := range map[string]spar.Life{"same name": {ID: "i-n1", Born: 2}, "other name": {ID: "i-2", Born: 2}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connectLife("n1", later)
			o := h.submitAndStart("j1", "checks", shortStep(1))
			h.report("n1", started(o))
			for range 2 {
				if _, over := h.scheduler.ApplyDeparture(departureOf("n1", true, endOf(1, o, spar.EndFailed)), h.now); over {
					t.Error("the later life ends")
				}
				h.connect("n2")
				h.expectStarts(h.runCycle(), 0)
				h.replaceOwner(12 * time.Second)
			}
			if _, over := h.scheduler.ApplyDeparture(departureOf("unknown", true, endOf(1, o, spar.EndDone)), h.now); over {
				t.Error("an unknown life ends")
			}
			h.connectLife("n1", later, spar.Running{Task: o.Task, Run: o.Run})
			h.report("n1", ended(1, o, spar.EndDone))
			h.runCycle()
			h.expectState("j1", shard.Completed)
		})
	}
}

// A worker's clock was ahead when it started, and right in its next life. The departure of
// the former life, told late, must not end the present one, which has a session.
func TestLateDepartureDoesNotEndThePresentLife(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submitAndStart("j1", "checks", shortStep(1))
	h.connect("n2")
	if _, over := h.scheduler.ApplyDeparture(link.Departure{Node: "n1", Life: spar.Life{ID: "i-0", Born: 2}, Left: true}, h.now); over {
		t.Error("the present life has ended")
	}
	h.expectStarts(h.runCycle(), 0)
}

// A worker crashes, is back under another name and leaves. The owner that saw the new life
// could not store that, and is killed; the agent is gone with its machine. The next owner,
// which knows the runs of the crashed life alone, must not wait for leases on it. An order
// to that life may be carried out late in one of the same name, so that must be waited for.
func TestDepartureOfALaterLifeEndsTheEarlierOne(t *testing.T) {
	for name, tt := range map[string]struct {
		later  spar.Life
		starts int
	}{"other name": {spar.Life{ID: "i-2", Born: 5002}, 1}, "same name": {spar.Life{ID: "i-n1", Born: 5002}, 0}} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t)
			h.connect("n1")
			h.submitAndStart("j1", "checks", shortStep(1))
			h.replaceOwner(12 * time.Second)
			h.connect("n2")
			h.expectStarts(h.runCycle(), 0)
			d := link.Departure{Node: "n1", Life: tt.later, Left: true}
			ended, over := h.scheduler.ApplyDeparture(d, h.now)
			if want := (spar.Life{ID: "i-n1", Born: 1}); over != (tt.starts > 0) || over && ended != want {
				t.Errorf("life %v ended: %v", ended, over)
			}
			h.expectStarts(h.runCycle(), tt.starts)
			if _, over := h.scheduler.ApplyDeparture(d, h.now); over {
				t.Error("a life ends a second time")
			}
		})
	}
}

// A worker's clock was ahead when its former life began, and is right in its present one.
// The entries keep the departure of the former life for a minute. A new owner applies it
// when it has restored the present life, before that has a session: the life must not end,
// or its task runs twice (TWICE).
func TestKeptDepartureOfAFormerLifeDoesNotEndARestoredPresentLife(t *testing.T) {
	h := newHarness(t)
	former, present := spar.Life{ID: "i-1", Born: 5000}, spar.Life{ID: "i-2", Born: 3000}
	h.connectLife("n1", former)
	d := link.Departure{Node: "n1", Life: former, Left: true}
	h.scheduler.ApplyDeparture(d, h.now)
	h.advance(3 * time.Second)
	h.connectLife("n1", present)
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.report("n1", started(a))
	h.runCycle()
	h.advance(3 * time.Second)
	h.replaceOwner(12 * time.Second)
	if life, over := h.scheduler.ApplyDeparture(d, h.now); over {
		t.Errorf("the present life %v counts as over", life)
	}
	h.connect("n2")
	if got := starts(h.runCycle()); len(got) != 0 {
		t.Errorf("run %d of %v is ordered on n2, while run %d is on n1", got[0].Run, got[0].Task, a.Run)
	}
}

// An agent has told when the leases on a silent worker end, and a new process of it has had
// a session with the owner since, and may have extended one. That must be waited for.
func TestBoundOfLeasesFromBeforeASessionHasNoEffect(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	o := h.submitAndStart("j1", "checks", shortStep(1))
	h.replaceOwner(12 * time.Second)
	h.connectLife("n1", spar.Life{ID: "i-n1", Born: 1}, spar.Running{Task: o.Task, Run: o.Run})
	h.connect("n2")
	d := departureOf("n1", false)
	d.LeaseLeft = new(time.Duration)
	h.scheduler.ApplyDeparture(d, h.now)
	h.now = h.now.Add(spar.ClockDriftMargin(limits.Lease) + time.Second)
	h.expectStarts(h.runCycle(), 0)
}

// A worker has signed off and leaves calls without an answer. Its agent has told when the
// leases on it end, and is gone. The next owner must wait for them, and no longer.
func TestNextOwnerWaitsForTheLeasesOfASilentWorker(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	o := h.submitAndStart("j1", "checks", shortStep(1))
	h.replaceOwner(12 * time.Second)
	h.connect("n2")
	d := departureOf("n1", false)
	left := 2 * time.Second
	d.LeaseLeft = &left
	for range 2 {
		if _, over := h.scheduler.ApplyDeparture(d, h.now); over {
			t.Error("the life is over before its leases are")
		}
		h.expectStarts(h.runCycle(), 0)
	}
	h.now = h.now.Add(left)
	h.report("n2", &link.AgentMessage{Heartbeat: 2})
	h.expectStarts(h.runCycle(), 0)
	h.now = h.now.Add(spar.ClockDriftMargin(limits.Lease) + time.Millisecond)
	if again := h.expectStarts(h.runCycle(), 1)[0]; again.Task != o.Task || again.Run != 2 {
		t.Errorf("run %d of %v starts", again.Run, again.Task)
	}
}
