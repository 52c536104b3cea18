package link_test

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// frameBytes is the largest frame that a connection accepts.
const frameBytes = 8 << 20

// fullAgentMessage reports as many runs as a job may have tasks.
func fullAgentMessage() *link.AgentMessage {
	m := &link.AgentMessage{Heartbeat: 7, Complete: true}
	checkpoint := strings.Repeat("c", 1000)
	for i := range spar.MaxTasks {
		ref := spar.TaskRef{Job: "5c0e7a21d94b36f8", Occur: 1 << 30, Step: 1 << 30, Index: i}
		m.Running = append(m.Running, spar.Running{Task: ref, Run: 1 << 40, Checkpoint: checkpoint, Percent: 99, Measurement: 1 << 40})
		m.Ended = append(m.Ended, spar.Ended{Number: int64(i + 1), Task: ref, Run: 1 << 40, Ending: spar.EndStopped, Checkpoint: checkpoint})
		m.Outcomes = append(m.Outcomes, link.StartOutcome{Task: ref, Run: 1 << 40, Result: spar.StartUnhealthy})
	}
	return m
}

// A message that exceeds a frame ends the session, and the next session would send it
// again. Its parts must fit, keep the order of the rows, and call the lists complete only
// with the last one.
func TestReportOfManyRunsFitsIntoFrames(t *testing.T) {
	m := fullAgentMessage()
	var running, ended, outcomes int
	pieces := m.Split()
	for i, p := range pieces {
		if body, err := msgpack.Marshal(p); err != nil || len(body) > frameBytes {
			t.Fatalf("piece %d has %d bytes, %v", i, len(body), err)
		}
		if last := i == len(pieces)-1; p.Complete != last || (p.Heartbeat != 0) != last {
			t.Errorf("piece %d of %d: complete %v, heartbeat %d", i, len(pieces), p.Complete, p.Heartbeat)
		}
		for _, r := range p.Running {
			if r.Task.Index != running {
				t.Fatalf("running task %d comes in place of %d", r.Task.Index, running)
			}
			running++
		}
		for _, e := range p.Ended {
			if e.Task.Index != ended || running != spar.MaxTasks {
				t.Fatalf("end %d comes in place of %d after %d running tasks", e.Task.Index, ended, running)
			}
			ended++
		}
		outcomes += len(p.Outcomes)
	}
	if running != spar.MaxTasks || ended != spar.MaxTasks || outcomes != spar.MaxTasks {
		t.Errorf("%d running, %d ended and %d outcomes, want %d each", running, ended, outcomes, spar.MaxTasks)
	}
}

// A worker with many runs leaves, and each has a checkpoint. Every part of the departure
// must name the life, and only the last may end it: its ends would be lost otherwise.
func TestDepartureWithManyEndsFitsIntoFrames(t *testing.T) {
	d := link.Departure{Node: "n", Life: spar.Life{ID: "i", Born: 3}, Ended: fullAgentMessage().Ended, Left: true}
	ended := 0
	pieces := d.Split()
	for i, p := range pieces {
		if body, err := msgpack.Marshal(&link.AgentMessage{Departure: p}); err != nil || len(body) > frameBytes {
			t.Fatalf("piece %d has %d bytes, %v", i, len(body), err)
		}
		if last := i == len(pieces)-1; p.Node != "n" || p.Life != d.Life || p.Left != last {
			t.Errorf("piece %d of %d: node %q, life %v, left %v", i, len(pieces), p.Node, p.Life, p.Left)
		}
		for _, e := range p.Ended {
			if e.Task.Index != ended {
				t.Fatalf("end %d comes in place of %d", e.Task.Index, ended)
			}
			ended++
		}
	}
	if ended != len(d.Ended) || len(pieces) < 2 {
		t.Errorf("%d ends in %d pieces, want %d", ended, len(pieces), len(d.Ended))
	}
}

func TestOrdersOfManyRunsFitIntoFrames(t *testing.T) {
	m := &link.OwnerMessage{Grant: 3, Acked: 9}
	spec := strings.Repeat("s", 4000)
	for i := range 20_000 {
		ref := spar.TaskRef{Job: "5c0e7a21d94b36f8", Index: i}
		m.Starts = append(m.Starts, spar.StartOrder{Task: ref, Run: 1, Spec: spec, Checkpoint: spec, Ticket: spec})
		m.Stops = append(m.Stops, link.Stop{Task: ref, Run: 1})
		m.Paces = append(m.Paces, link.Pace{Task: ref, Run: 1, Percent: 10})
	}
	var starts, stops, paces int
	pieces := m.Split()
	for i, p := range pieces {
		if body, err := msgpack.Marshal(p); err != nil || len(body) > frameBytes {
			t.Fatalf("piece %d has %d bytes, %v", i, len(body), err)
		}
		if last := i == len(pieces)-1; (p.Grant == 3 && p.Acked == 9) != last {
			t.Errorf("piece %d of %d: grant %d, acknowledgement %d", i, len(pieces), p.Grant, p.Acked)
		}
		starts, stops, paces = starts+len(p.Starts), stops+len(p.Stops), paces+len(p.Paces)
	}
	if starts != 20_000 || stops != 20_000 || paces != 20_000 {
		t.Errorf("%d starts, %d stops and %d paces, want 20000 each", starts, stops, paces)
	}
}

// The sender of a message that no receiver accepts must learn that, instead of losing
// its connection each time.
func TestMessageBeyondAFrameIsNotSent(t *testing.T) {
	a, b := net.Pipe()
	defer b.Close()
	c := link.NewConn[link.OwnerMessage, link.AgentMessage](a)
	if err := c.Send(fullAgentMessage()); !errors.Is(err, link.ErrTooLarge) {
		t.Fatalf("error %v, want %v", err, link.ErrTooLarge)
	}
	go func() { _ = c.Send(&link.AgentMessage{Heartbeat: 1}) }()
	if m, err := link.NewConn[link.AgentMessage, link.OwnerMessage](b).Receive(time.Second); err != nil || m.Heartbeat != 1 {
		t.Fatalf("next message: %+v, %v", m, err)
	}
}

// A worker with many runs crashes. Its agent opens every later session with the report of
// that, so the report must fit into a frame, with the runs that were started last.
func TestReportOfAnEndedLifeIsBounded(t *testing.T) {
	e := link.LifeEnd{Life: spar.Life{ID: strings.Repeat("i", 64), Born: 1 << 50}, Crashed: true}
	for i := range spar.MaxTasks {
		e.Runs = append(e.Runs, link.LostRun{Task: spar.TaskRef{Job: "5c0e7a21d94b36f8", Index: i}, Run: 1 << 40, Age: time.Duration(spar.MaxTasks-i) * time.Second})
	}
	e.Shorten()
	body, err := msgpack.Marshal(&link.AgentMessage{Node: "n", LifeEnds: []link.LifeEnd{e, e, e, e}})
	if err != nil || len(body) > frameBytes || e.YoungestAge() != time.Second {
		t.Fatalf("%d bytes with %d runs, the youngest %s old, %v", len(body), len(e.Runs), e.YoungestAge(), err)
	}
}
