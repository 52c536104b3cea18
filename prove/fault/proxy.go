// Package fault provides a small TCP proxy that injects faults between
// processes: dropped traffic in one or both directions, delays, truncated
// responses, and responses that seem to belong to another request.
package fault

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rules are the faults that a proxy injects. The zero value injects none.
type Rules struct {
	// Refuse closes open connections and each new one.
	Refuse bool
	// DropRequests and DropResponses discard the traffic in that direction and
	// keep the connection open.
	DropRequests  bool
	DropResponses bool
	// Delay is the delay of each response chunk.
	Delay time.Duration
	// TruncateEvery n cuts every n-th response chunk in half and then closes
	// the connection. 0 truncates none.
	TruncateEvery int64
	// CorruptIDEvery n overwrites the request id and the start of the body in
	// every n-th response chunk, so that it looks like the response to another
	// request. 0 changes none.
	CorruptIDEvery int64
}

// Proxy forwards the connections of its listener to a target address.
type Proxy struct {
	listener       net.Listener
	target         string
	rules          atomic.Pointer[Rules]
	responseChunks atomic.Int64
	faults         atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

const (
	chunkBytes  = 64 << 10
	dialTimeout = time.Second
)

// NewProxy returns a proxy that listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	p.rules.Store(&Rules{})
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// FaultCount returns the number of injected faults.
func (p *Proxy) FaultCount() int64 { return p.faults.Load() }

// SetRules replaces the rules.
func (p *Proxy) SetRules(r Rules) {
	p.rules.Store(&r)
	if r.Refuse {
		p.closeConns()
	}
}

// Run serves connections until the context is cancelled. The channel receives
// nil when all connections have been closed.
func (p *Proxy) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		p.listener.Close()
		p.closeConns()
	}()
	go func() {
		var serving sync.WaitGroup
		for {
			c, err := p.listener.Accept()
			if err != nil {
				break
			}
			serving.Go(func() { p.serve(c) })
		}
		serving.Wait()
		done <- nil
	}()
	return done
}

func (p *Proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		c.Close()
	}
}

func (p *Proxy) addConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[c] = struct{}{}
}

func (p *Proxy) removeConn(c net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
	c.Close()
}

func (p *Proxy) serve(in net.Conn) {
	p.addConn(in)
	defer p.removeConn(in)
	if p.rules.Load().Refuse {
		p.faults.Add(1)
		return
	}
	out, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		return
	}
	p.addConn(out)
	defer p.removeConn(out)
	requestsDone := make(chan struct{})
	go func() {
		p.forward(out, in, p.filterRequest)
		out.Close()
		close(requestsDone)
	}()
	p.forward(in, out, p.filterResponse)
	in.Close()
	<-requestsDone
}

// forward copies chunks until either side closes. filter returns the bytes to
// send, and false if the connection is to be closed after them.
func (p *Proxy) forward(to, from net.Conn, filter func([]byte) ([]byte, bool)) {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		out, open := filter(b[:n])
		if _, err := to.Write(out); err != nil || !open {
			return
		}
	}
}

func (p *Proxy) filterRequest(b []byte) ([]byte, bool) {
	if p.rules.Load().DropRequests {
		p.faults.Add(1)
		return nil, true
	}
	return b, true
}

func (p *Proxy) filterResponse(b []byte) ([]byte, bool) {
	r := p.rules.Load()
	chunk := p.responseChunks.Add(1)
	if r.Delay > 0 {
		p.faults.Add(1)
		time.Sleep(r.Delay)
	}
	switch {
	case r.DropResponses:
		p.faults.Add(1)
		return nil, true
	case r.TruncateEvery > 0 && chunk%r.TruncateEvery == 0:
		p.faults.Add(1)
		return b[:len(b)/2], false
	case r.CorruptIDEvery > 0 && chunk%r.CorruptIDEvery == 0:
		p.faults.Add(1)
		return corruptIdentity(b), true
	}
	return b, true
}

// corruptIdentity makes a chunk look like the response to another request: it
// overwrites the start of the request ids and of the body.
func corruptIdentity(b []byte) []byte {
	out := bytes.Clone(b)
	for _, name := range []string{"X-Request-Id: ", "Beryl-Request: "} {
		if i := bytes.Index(out, []byte(name)); i >= 0 && i+len(name)+4 <= len(out) {
			copy(out[i+len(name):], "0000")
		}
	}
	if i := bytes.Index(out, []byte("\r\n\r\n")); i >= 0 {
		copy(out[i+4:], "########")
	}
	return out
}
