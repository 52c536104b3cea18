package owner

import (
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// An agent connects again while an order that was claimed under its last session is sent.
// In the new session the run is not listed, so that the owner takes it for lost; an order
// that arrives there nevertheless starts it beside the next run of the task.
func TestOrderOfEarlierSessionIsNotSentInNewOne(t *testing.T) {
	tm := newTestTerm(nil)
	tm.ctx = t.Context()
	tm.scheduler.SetRules(&spar.Rules{Version: 1, Queues: []spar.Queue{{Name: "q", Service: "desk", MaxAttempts: 1}}})
	info := spar.WorkerInfo{Life: spar.Life{ID: "i-1", Born: 1}, Service: "desk", Size: spar.Size{CPUMilli: 1 << 40, MemoryMB: 1 << 40}}
	connect := func() *session {
		server, client := net.Pipe()
		t.Cleanup(func() { server.Close(); client.Close() })
		return tm.openSession(link.NewConn[link.AgentMessage, link.OwnerMessage](server), &link.AgentMessage{Node: "n1", Worker: &info})
	}
	for i := range 10 {
		s := connect()
		tm.applyMessage(s, &link.AgentMessage{Complete: true, Heartbeat: 1})
		job := spar.Job{ID: strconv.Itoa(i), Queue: "q", Steps: []spar.Step{{Count: 1, Size: spar.Size{CPUMilli: 1}}}}
		tm.stateMu.Lock()
		tm.scheduler.Submit(job, time.Now())
		tm.scheduler.Plan(time.Now())
		c := tm.scheduler.PrepareCommit()
		// Both wait for the lock, and miss it once, so that they get it in turn.
		var waiting sync.WaitGroup
		waiting.Go(func() { tm.sendCommitted(c) })
		time.Sleep(5 * time.Millisecond)
		var next *session
		waiting.Go(func() { next = connect() })
		time.Sleep(5 * time.Millisecond)
		tm.stateMu.Unlock()
		tm.stateMu.Lock()
		time.Sleep(5 * time.Millisecond)
		tm.stateMu.Unlock()
		waiting.Wait()
		if n := countStarts(next); n > 0 {
			t.Fatalf("session %d: %d orders of the one before", i, n)
		}
		if n := countStarts(s); n == 0 {
			t.Fatalf("session %d: no order before the next one began", i)
		}
	}
}

// countStarts counts the start orders that wait in the queue of a session.
func countStarts(s *session) int {
	n := 0
	for len(s.queue) > 0 {
		n += len((<-s.queue).Starts)
	}
	return n
}
