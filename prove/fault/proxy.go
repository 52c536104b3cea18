// Package fault is a small TCP proxy that injects faults between processes:
// cuts in one direction or both, delays, answers cut short and answers crossed.
package fault

import (
	"bytes"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Rules are what goes wrong on a way. The zero value passes everything on.
type Rules struct {
	// Refuse closes new and open connections.
	Refuse bool
	// DropOut and DropBack swallow what is sent there and what comes back, and
	// keep the connection open.
	DropOut  bool
	DropBack bool
	// Delay holds up each piece that comes back.
	Delay time.Duration
	// ShortEvery cuts every n-th piece that comes back in half and closes.
	ShortEvery int64
	// CrossEvery changes an identity in every n-th piece that comes back, as if
	// it were the answer to another request.
	CrossEvery int64
}

// Proxy passes a listener's connections on to a target.
type Proxy struct {
	listener net.Listener
	target   string
	rules    atomic.Pointer[Rules]
	responseChunks   atomic.Int64
	faults atomic.Int64

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

const (
	chunkBytes = 64 << 10
	dialTimeout  = time.Second
)

// NewProxy listens on the loopback interface.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]struct{}{}}
	p.rules.Store(&Rules{})
	return p, nil
}

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Injected counts the faults.
func (p *Proxy) FaultCount() int64 { return p.faults.Load() }

// Set replaces the rules.
func (p *Proxy) SetRules(r Rules) {
	p.rules.Store(&r)
	if r.Refuse {
		p.closeAll()
	}
}

// Run serves until the context ends.
func (p *Proxy) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		<-ctx.Done()
		p.listener.Close()
		p.closeAll()
	}()
	go func() {
		var all sync.WaitGroup
		for {
			c, err := p.listener.Accept()
			if err != nil {
				break
			}
			all.Go(func() { p.serve(c) })
		}
		all.Wait()
		done <- nil
	}()
	return done
}

func (p *Proxy) closeAll() {
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
	there := make(chan struct{})
	go func() {
		p.forward(out, in, p.filterRequest)
		out.Close()
		close(there)
	}()
	p.forward(in, out, p.filterResponse)
	in.Close()
	<-there
}

// copy passes pieces on until an end; change returns what to send, and false to
// close.
func (p *Proxy) forward(to, from net.Conn, change func([]byte) ([]byte, bool)) {
	b := make([]byte, chunkBytes)
	for {
		n, err := from.Read(b)
		if err != nil {
			return
		}
		out, open := change(b[:n])
		if _, err := to.Write(out); err != nil || !open {
			return
		}
	}
}

func (p *Proxy) filterRequest(b []byte) ([]byte, bool) {
	if p.rules.Load().DropOut {
		p.faults.Add(1)
		return nil, true
	}
	return b, true
}

func (p *Proxy) filterResponse(b []byte) ([]byte, bool) {
	r := p.rules.Load()
	n := p.responseChunks.Add(1)
	if r.Delay > 0 {
		p.faults.Add(1)
		time.Sleep(r.Delay)
	}
	switch {
	case r.DropBack:
		p.faults.Add(1)
		return nil, true
	case r.ShortEvery > 0 && n%r.ShortEvery == 0:
		p.faults.Add(1)
		return b[:len(b)/2], false
	case r.CrossEvery > 0 && n%r.CrossEvery == 0:
		p.faults.Add(1)
		return corruptIdentity(b), true
	}
	return b, true
}

// cross makes a piece look like the answer to another request: other identities
// and another body.
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
