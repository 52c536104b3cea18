package lab

import (
	"net"
	"sync"
)

// Proxy passes connections on to an address and can reset all that are open.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	open     map[*net.TCPConn]bool
	// onAnswer, if set, is called with the first bytes that the target sends on a
	// connection and what the client has sent before, instead of passing them on. It
	// reports whether they are to be passed on.
	onAnswer func(request []byte) bool
}

// NewProxy starts a proxy on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, open: map[*net.TCPConn]bool{}}
	go p.serve()
	return p, nil
}

// Address returns the proxy's address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetOnAnswer sets onAnswer.
func (p *Proxy) SetOnAnswer(f func(request []byte) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onAnswer = f
}

func (p *Proxy) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.handle(c.(*net.TCPConn))
	}
}

func (p *Proxy) handle(client *net.TCPConn) {
	t, err := net.Dial("tcp4", p.target)
	if err != nil {
		// The target refuses, so that the client is refused as well.
		client.SetLinger(0)
		client.Close()
		return
	}
	target := t.(*net.TCPConn)
	p.track(client, true)
	p.track(target, true)
	var mu sync.Mutex
	var request []byte
	done := make(chan struct{}, 2)
	go func() {
		pass(target, client, func(b []byte) bool {
			mu.Lock()
			request = append(request, b...)
			mu.Unlock()
			return true
		})
		target.CloseWrite()
		done <- struct{}{}
	}()
	go func() {
		pass(client, target, func([]byte) bool {
			p.mu.Lock()
			f := p.onAnswer
			p.mu.Unlock()
			mu.Lock()
			sent := append([]byte(nil), request...)
			mu.Unlock()
			return f == nil || f(sent)
		})
		client.CloseWrite()
		done <- struct{}{}
	}()
	<-done
	<-done
	p.track(client, false)
	p.track(target, false)
	client.Close()
	target.Close()
}

func pass(to, from *net.TCPConn, allow func([]byte) bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !allow(buffer[:n]) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *Proxy) track(c *net.TCPConn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.open[c] = true
		return
	}
	delete(p.open, c)
}

// Reset resets all open connections at both ends.
func (p *Proxy) Reset() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.open) / 2
	for c := range p.open {
		c.SetLinger(0)
		c.Close()
		delete(p.open, c)
	}
	return n
}
