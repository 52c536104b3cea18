package simul_test

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// network connects agents and owners in one process. A connection that was used
// while one end was isolated loses all later bytes too, without a reset.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	isolated  map[string]bool
	// cut holds pairs of ends that do not reach each other.
	cut map[[2]string]bool
	// peers holds the routes of the running entries by address.
	peers map[string]fasthttp.RequestHandler
}

func newNetwork() *network {
	return &network{listeners: map[string]*listener{}, isolated: map[string]bool{}, cut: map[[2]string]bool{}, peers: map[string]fasthttp.RequestHandler{}}
}

// setCut cuts the connection between two ends, in both directions.
func (n *network) setCut(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}], n.cut[[2]string{b, a}] = true, true
}

// setPeer makes an entry answer calls of others at its address, or no more if handler is
// nil.
func (n *network) setPeer(address string, handler fasthttp.RequestHandler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers[address] = handler
}

// peerCaller calls other entries from the entry at an address.
type peerCaller struct {
	net  *network
	from string
}

// peerLatency is the duration of a call to another entry.
const peerLatency = 2 * time.Millisecond

// Call implements owner.Peers.
func (p peerCaller) Call(method, address, path string, body []byte, limit time.Duration) (int, []byte, error) {
	p.net.mu.Lock()
	handler := p.net.peers[address]
	p.net.mu.Unlock()
	if p.net.isBlocked(p.from, address) {
		time.Sleep(limit)
		return 0, nil, errors.New("call: no answer")
	}
	time.Sleep(peerLatency)
	if handler == nil {
		return 0, nil, errors.New("call: refused")
	}
	var rc fasthttp.RequestCtx
	rc.Request.Header.SetMethod(method)
	rc.Request.SetRequestURI(path)
	rc.Request.SetBody(body)
	handler(&rc)
	time.Sleep(peerLatency)
	return rc.Response.StatusCode(), rc.Response.Body(), nil
}

// setIsolated isolates one end from all others, or reconnects it.
func (n *network) setIsolated(end string, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[end] = isolated
}

func (n *network) isBlocked(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[a] || n.isolated[b] || n.cut[[2]string{a, b}]
}

type listener struct {
	net     *network
	name    string
	pending chan net.Conn
	closed  chan struct{}
	once    sync.Once
}

// listen has the process of a name listen at an address, in place of an earlier process.
func (n *network) listen(address, name string) *listener {
	l := &listener{net: n, name: name, pending: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }

// dialer returns a function that connects an end to listeners.
func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		l := n.listeners[to]
		n.mu.Unlock()
		if l == nil || n.isBlocked(from, l.name) {
			track.Pause(ctx, 300*time.Millisecond)
			return nil, errors.New("connect: no answer")
		}
		a, b := net.Pipe()
		state := &connState{net: n, a: from, b: l.name}
		select {
		case l.pending <- &conn{Conn: b, state: state}:
			return &conn{Conn: a, state: state}, nil
		case <-l.closed:
			return nil, errors.New("connect: refused")
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// connState is the state that both ends of a connection share.
type connState struct {
	net       *network
	a, b      string
	mu        sync.Mutex
	lostBytes bool
}

func (w *connState) losesBytes() bool {
	cut := w.net.isBlocked(w.a, w.b)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lostBytes = w.lostBytes || cut
	return w.lostBytes
}

type conn struct {
	net.Conn
	state *connState
}

func (c *conn) Write(p []byte) (int, error) {
	if c.state.losesBytes() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}
