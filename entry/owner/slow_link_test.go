package owner

import (
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
)

const (
	// uplinkRate is 10 Mbit/s in bytes a second.
	uplinkRate = 10_000_000 / 8
	// windowBytes is what a connection has in flight at most.
	windowBytes = 16 << 10
)

// uplink is the link on which an owner sends: what all connections write is transferred
// one after another.
type uplink struct {
	mu     sync.Mutex
	freeAt time.Time
}

// transfer waits until a number of bytes have been transferred behind the others.
func (l *uplink) transfer(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(bytes) * time.Second / uplinkRate)
	wait := time.Until(l.freeAt)
	l.mu.Unlock()
	time.Sleep(wait)
}

// uplinkConn is a connection that sends over the uplink.
type uplinkConn struct {
	net.Conn
	uplink   *uplink
	deadline time.Time
}

func (c *uplinkConn) SetWriteDeadline(t time.Time) error {
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

func (c *uplinkConn) Write(b []byte) (int, error) {
	for sent := 0; sent < len(b); sent += windowBytes {
		c.uplink.transfer(min(windowBytes, len(b)-sent))
		if time.Now().After(c.deadline) {
			return sent, os.ErrDeadlineExceeded
		}
	}
	return c.Conn.Write(b)
}

// slowAgent answers start orders at once and sends heartbeats.
type slowAgent struct {
	conn *link.Conn[link.OwnerMessage, link.AgentMessage]
	// mu guards sentAt, the times of the heartbeats, by number.
	mu     sync.Mutex
	sentAt map[int64]time.Time
	starts int
	// longest is the longest time from a heartbeat to its grant.
	longest time.Duration
}

func (a *slowAgent) sendHeartbeats(done <-chan struct{}) {
	for n := int64(1); ; n++ {
		a.mu.Lock()
		a.sentAt[n] = time.Now()
		a.mu.Unlock()
		if a.conn.Send(&link.AgentMessage{Heartbeat: n, Complete: n == 1}) != nil {
			return
		}
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
	}
}

// receive handles the owner's messages until the session ends.
func (a *slowAgent) receive() {
	for {
		m, err := a.conn.Receive(time.Minute)
		if err != nil {
			return
		}
		a.mu.Lock()
		if m.Grant > 0 {
			a.longest = max(a.longest, time.Since(a.sentAt[m.Grant]))
		}
		a.starts += len(m.Starts)
		a.mu.Unlock()
		out := &link.AgentMessage{}
		for _, o := range m.Starts {
			out.Outcomes = append(out.Outcomes, link.StartOutcome{Task: o.Task, Run: o.Run, Result: spar.StartDone})
		}
		if len(out.Outcomes) > 0 && a.conn.Send(out) != nil {
			return
		}
	}
}

// After a takeover thousands of tasks wait, and each start order carries the job's
// specification. On a link of 10 Mbit/s the orders took longer than a session lets a
// write take, and grants and joins came behind them.
func TestStartOrdersLeaveTheLinkToGrantsAndJoins(t *testing.T) {
	const agents, jobs, tasks, specBytes = 57, 100, 20, 2400
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(store.NewClient(&store.Store{}, 1))
		tm.ctx = t.Context()
		tm.scheduler.SetRules(&spar.Rules{Version: 1, Queues: []spar.Queue{{Name: "q", Service: "desk", MaxAttempts: 1}}})
		up, done := &uplink{}, make(chan struct{})
		var ended sync.WaitGroup
		all := make([]*slowAgent, agents)
		for i := range all {
			server, client := net.Pipe()
			a := &slowAgent{conn: link.NewConn[link.OwnerMessage, link.AgentMessage](client), sentAt: map[int64]time.Time{}}
			all[i] = a
			info := spar.WorkerInfo{Life: spar.Life{ID: "i-" + strconv.Itoa(i), Born: 1}, Service: "desk", Size: spar.Size{CPUMilli: 40, MemoryMB: 1 << 30}}
			conn := link.NewConn[link.AgentMessage, link.OwnerMessage](&uplinkConn{Conn: server, uplink: up})
			ended.Go(func() {
				tm.serveAgent(conn, server.RemoteAddr(), &link.AgentMessage{Node: "n" + strconv.Itoa(i), Worker: &info})
				server.Close()
			})
			ended.Go(func() { a.sendHeartbeats(done) })
			ended.Go(a.receive)
		}
		time.Sleep(100 * time.Millisecond)
		for i := range jobs {
			job := spar.Job{ID: fmt.Sprintf("%016x", i), Queue: "q", Spec: strings.Repeat("x", specBytes), Steps: []spar.Step{{Count: tasks, Size: spar.Size{CPUMilli: 1}}}}
			tm.scheduler.Submit(job, time.Now())
		}
		var longestJoin time.Duration
		ended.Go(func() {
			for begun := time.Now(); time.Since(begun) < 8*time.Second; time.Sleep(250 * time.Millisecond) {
				sent := time.Now()
				up.transfer(300)
				longestJoin = max(longestJoin, time.Since(sent))
			}
		})
		for begun := time.Now(); time.Since(begun) < 8*time.Second; time.Sleep(10 * time.Millisecond) {
			tm.stateMu.Lock()
			tm.scheduler.Tick(time.Now(), time.Now())
			tm.scheduler.Plan(time.Now())
			c := tm.scheduler.PrepareCommit()
			tm.stateMu.Unlock()
			time.Sleep(10 * time.Millisecond)
			tm.sendCommitted(c)
		}
		connected := len(tm.sessions)
		close(done)
		for _, a := range all {
			a.conn.Close()
		}
		ended.Wait()
		starts, longest := 0, time.Duration(0)
		for _, a := range all {
			starts, longest = starts+a.starts, max(longest, a.longest)
		}
		t.Logf("%d starts received, a grant came after %s at most, a join after %s", starts, longest, longestJoin)
		if connected < agents || starts < jobs*tasks {
			t.Errorf("%d of %d sessions are left, %d of %d starts received", connected, agents, starts, jobs*tasks)
		}
		if longest > time.Second || longestJoin > time.Second {
			t.Errorf("a grant came after %s, a join after %s, want less than 1s", longest, longestJoin)
		}
	})
}

// uplinkStore receives appends over the uplink.
type uplinkStore struct {
	spar.Store
	uplink *uplink
	mu     sync.Mutex
	calls  int
}

func (s *uplinkStore) Append(_ context.Context, _ string, _ *spar.Producer, records []spar.Record) (int64, error) {
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	s.uplink.transfer(recordsSize(records))
	return 0, nil
}

// An append of 512 KiB takes 0.42 s on a link of 10 Mbit/s. It was repeated twice before
// it could have arrived, so that joins waited behind three copies.
func TestLargeAppendIsNotRepeatedBeforeItCanHaveArrived(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &uplinkStore{Store: store.NewClient(&store.Store{}, 1), uplink: &uplink{}}
		c := newTestTerm(s)
		written := make(chan error, 1)
		go func() {
			written <- c.write(t.Context(), stateTopic, nil, []spar.Record{{Key: "k", Value: make([]byte, maxAppendBytes)}})
		}()
		time.Sleep(200 * time.Millisecond)
		sent := time.Now()
		s.uplink.transfer(300)
		delay := time.Since(sent)
		if err := <-written; err != nil {
			t.Fatal(err)
		}
		if s.calls != 1 || delay > 500*time.Millisecond {
			t.Errorf("appended %d times, a join came after %s; want once, and less than 500ms", s.calls, delay)
		}
		time.Sleep(2 * time.Second)
	})
}
