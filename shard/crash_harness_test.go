package shard_test

import (
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// crashAge is the age at which the crashing tasks of the tests crash their workers.
const crashAge = 11 * time.Millisecond

// lostAt describes the run of a start order that is lost at an age.
func lostAt(o spar.StartOrder, age time.Duration) link.LostRun {
	return link.LostRun{Task: o.Task, Run: o.Run, Age: age}
}

// endLife connects a node in a new life, whose agent reports the end of the last.
func (h *harness) endLife(node string, crashed bool, lost ...link.LostRun) {
	h.lives++
	h.ends[node] = link.LifeEnd{Life: spar.Life{ID: fmt.Sprintf("i-%s-%d", node, h.lives-1), Born: h.lives}, Crashed: crashed, Runs: lost}
	h.scheduler.Disconnect(node, h.tokens[node])
	h.advance(3 * time.Second)
	for other, token := range h.tokens {
		h.scheduler.GrantLease(other, token, h.now)
	}
	h.reconnect(node, spar.Life{ID: fmt.Sprintf("i-%s-%d", node, h.lives), Born: h.lives + 1})
}

// reconnect connects a node whose agent repeats its last report.
func (h *harness) reconnect(node string, life spar.Life, running ...spar.Running) {
	h.scheduler.RecordLifeEnds(node, []link.LifeEnd{h.ends[node]}, h.now)
	h.connectLife(node, life, running...)
}

func (h *harness) crash(node string, lost ...link.LostRun) { h.endLife(node, true, lost...) }

// nextStarts plans until starts are ordered, for at most four seconds.
func (h *harness) nextStarts() map[string]*link.OwnerMessage {
	h.Helper()
	for range 80 {
		if m := h.runCycle(); len(starts(m)) > 0 {
			return m
		}
		h.advance(50 * time.Millisecond)
		for node, token := range h.tokens {
			h.scheduler.HandleReport(node, token, &link.AgentMessage{Heartbeat: 1}, h.now)
			h.scheduler.GrantLease(node, token, h.now)
		}
	}
	h.Fatal("nothing starts")
	return nil
}

// onlyStart returns the one start order of a cycle and its node.
func (h *harness) onlyStart(m map[string]*link.OwnerMessage) (string, spar.StartOrder) {
	h.Helper()
	h.expectStarts(m, 1)
	for node, d := range m {
		if len(d.Starts) > 0 {
			h.report(node, started(d.Starts[0]))
			return node, d.Starts[0]
		}
	}
	return "", spar.StartOrder{}
}

// state1 returns the state of job j1.
func (h *harness) state1() string {
	s, _ := h.scheduler.JobState("j1")
	return string(s)
}
