package owner

import (
	"net"
	"time"

	"github.com/berylspar/spar/link"
)

const (
	// silenceTimeout ends a session whose agent sends nothing. Agents send more
	// than two heartbeats in that time.
	silenceTimeout = 2500 * time.Millisecond
	// maxQueuedMessages bounds the messages that wait for a slow agent.
	maxQueuedMessages = 256
)

// session is a connection with an agent.
type session struct {
	conn  *link.Conn[link.AgentMessage, link.OwnerMessage]
	node  string
	token int64
	queue chan *link.OwnerMessage
	// ended is closed when the session has ended.
	ended chan struct{}
}

// enqueue queues a message. An agent that does not keep up loses its session; the
// full state is exchanged when it opens the next one.
func (s *session) enqueue(m *link.OwnerMessage) {
	select {
	case s.queue <- m:
	default:
		s.conn.Close()
	}
}

// serveAgent serves an agent's connection, of which it gets the first message, until it
// ends.
func (t *term) serveAgent(conn *link.Conn[link.AgentMessage, link.OwnerMessage], from net.Addr, hello *link.AgentMessage) {
	if hello.Node == "" || hello.Worker == nil {
		t.Warn("agent rejected: no node or no worker in the first message", "from", from)
		return
	}
	s := t.openSession(conn, hello)
	if s == nil {
		return
	}
	t.Info("agent connected", "node", s.node, "token", s.token, "worker", hello.Worker.Life.ID, "epoch", t.epoch)
	written := make(chan struct{})
	go s.sendLoop(written)
	err := t.receiveLoop(s)
	t.endSession(s)
	close(s.ended)
	<-written
	t.Info("agent disconnected", "node", s.node, "token", s.token, "err", err)
}

// openSession opens a session in the shard and closes the connection of the
// node's previous one. It returns nil if the term has ended.
func (t *term) openSession(conn *link.Conn[link.AgentMessage, link.OwnerMessage], hello *link.AgentMessage) *session {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	if t.ctx.Err() != nil {
		return nil
	}
	t.sessionCount++
	s := &session{conn: conn, node: hello.Node, token: t.epoch<<tokenBits | t.sessionCount, queue: make(chan *link.OwnerMessage, maxQueuedMessages), ended: make(chan struct{})}
	if old := t.sessions[s.node]; old != nil {
		old.conn.Close()
	}
	t.sessions[s.node] = s
	t.scheduler.RecordLifeEnds(s.node, hello.LifeEnds, time.Now())
	t.scheduler.Connect(s.node, *hello.Worker, s.token, hello.MaxLeaseLeft, time.Now())
	s.queue <- &link.OwnerMessage{Welcome: &link.Welcome{Epoch: t.epoch, Token: s.token, Lease: t.settings.lease(), MaxLease: t.settings.maxLease()}}
	return s
}

func (t *term) endSession(s *session) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.scheduler.Disconnect(s.node, s.token)
	if t.sessions[s.node] == s {
		delete(t.sessions, s.node)
	}
	t.wakeLoop()
}

// sendLoop sends queued messages until the session has ended.
func (s *session) sendLoop(done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-s.ended:
			return
		case m := <-s.queue:
			if err := s.send(m); err != nil {
				s.conn.Close()
			}
		}
	}
}

// send sends a message in as many frames as its size needs.
func (s *session) send(m *link.OwnerMessage) error {
	for _, piece := range m.Split() {
		if err := s.conn.Send(piece); err != nil {
			return err
		}
	}
	return nil
}

// receiveLoop applies the agent's messages until the connection ends.
func (t *term) receiveLoop(s *session) error {
	for {
		m, err := s.conn.Receive(silenceTimeout)
		if err != nil {
			return err
		}
		if reply := t.applyMessage(s, m); reply != nil {
			s.enqueue(reply)
		}
	}
}

// applyMessage applies an agent's message. It returns the grant if the message
// has a heartbeat and the lease may be granted, else nil.
func (t *term) applyMessage(s *session, m *link.AgentMessage) *link.OwnerMessage {
	now := time.Now()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	if m.Worker != nil {
		t.scheduler.UpdateWorker(s.node, s.token, *m.Worker)
	}
	t.scheduler.HandleReport(s.node, s.token, m, now)
	if m.WorkerLeft {
		if life, ok := t.scheduler.RemoveWorker(s.node, s.token); ok {
			t.departures.add(life)
		}
	}
	var reply *link.OwnerMessage
	if m.Heartbeat > 0 && t.mayGrant() && t.scheduler.GrantLease(s.node, s.token, now) && t.grants.record(t.epoch, t.clock) {
		reply = &link.OwnerMessage{Grant: m.Heartbeat}
	}
	if m.Complete || len(m.Ended) > 0 || len(m.Outcomes) > 0 || m.Worker != nil || m.WorkerLeft || len(m.Running) > 0 {
		t.wakeLoop()
	}
	return reply
}

func (t *term) closeConnections() {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	for _, s := range t.sessions {
		s.conn.Close()
	}
}
