package owner

import (
	"net"
	"time"

	"github.com/berylspar/spar/link"
)

const (
	// silentLimit ends a session whose agent says nothing; agents send a
	// heartbeat more often than twice in that time.
	silentLimit = 2500 * time.Millisecond
	// queueLimit is how many messages may wait for a slow agent.
	queueLimit = 256
)

// session is a connection with an agent.
type session struct {
	conn  *link.Conn[link.Up, link.Down]
	node  string
	token int64
	out   chan *link.Down
	// over is closed when the session has ended.
	over chan struct{}
}

// push queues a message. An agent that does not keep up loses its session, and
// hears everything anew in the next.
func (s *session) push(m *link.Down) {
	select {
	case s.out <- m:
	default:
		s.conn.Close()
	}
}

// serve serves one connection until it ends.
func (t *term) serve(c net.Conn) {
	conn := link.NewConn[link.Up, link.Down](c)
	defer conn.Close()
	hello, err := conn.Receive(silentLimit)
	if err != nil || hello.Node == "" || hello.Worker == nil {
		t.Warn("agent refused", "from", c.RemoteAddr(), "err", err)
		return
	}
	s := t.welcome(conn, hello)
	if s == nil {
		return
	}
	t.Info("agent connected", "node", s.node, "token", s.token, "worker", hello.Worker.Life.ID, "epoch", t.epoch)
	written := make(chan struct{})
	go s.write(written)
	err = t.receive(s)
	t.goodbye(s)
	close(s.over)
	<-written
	t.Info("agent gone", "node", s.node, "token", s.token, "err", err)
}

// welcome opens the session in the shard, in place of the node's last.
func (t *term) welcome(conn *link.Conn[link.Up, link.Down], hello *link.Up) *session {
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	if t.ctx.Err() != nil {
		return nil
	}
	t.tokens++
	s := &session{conn: conn, node: hello.Node, token: t.epoch<<tokenBits | t.tokens, out: make(chan *link.Down, queueLimit), over: make(chan struct{})}
	if old := t.sessions[s.node]; old != nil {
		old.conn.Close()
	}
	t.sessions[s.node] = s
	t.core.Connect(s.node, *hello.Worker, s.token, hello.Lease, time.Now())
	s.out <- &link.Down{Welcome: &link.Welcome{Epoch: t.epoch, Token: s.token, Lease: t.settings.lease()}}
	return s
}

func (t *term) goodbye(s *session) {
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	t.core.Disconnect(s.node, s.token)
	if t.sessions[s.node] == s {
		delete(t.sessions, s.node)
	}
	t.poke()
}

// write sends what is queued, until the session is over.
func (s *session) write(done chan<- struct{}) {
	defer close(done)
	for {
		select {
		case <-s.over:
			return
		case m := <-s.out:
			if err := s.conn.Send(m); err != nil {
				s.conn.Close()
			}
		}
	}
}

// receive takes the agent's messages until the connection ends.
func (t *term) receive(s *session) error {
	for {
		m, err := s.conn.Receive(silentLimit)
		if err != nil {
			return err
		}
		if reply := t.take(s, m); reply != nil {
			s.push(reply)
		}
	}
}

// take applies a message and grants the lease that it asks for.
func (t *term) take(s *session, m *link.Up) *link.Down {
	now := time.Now()
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	if m.Worker != nil {
		t.core.UpdateWorker(s.node, s.token, *m.Worker)
	}
	t.core.HandleReport(s.node, s.token, m, now)
	if m.Left {
		t.core.RemoveWorker(s.node, s.token)
	}
	var reply *link.Down
	if m.Beat > 0 && t.grants() && t.core.GrantLease(s.node, s.token, now) {
		reply = &link.Down{Grant: m.Beat}
	}
	if m.Listed || len(m.Ended) > 0 || len(m.Outcomes) > 0 || m.Worker != nil || m.Left || len(m.Running) > 0 {
		t.poke()
	}
	return reply
}

func (t *term) closeSessions() {
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	for _, s := range t.sessions {
		s.conn.Close()
	}
}
