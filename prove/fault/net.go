package fault

import (
	"context"
	"sync"
)

// Net holds a proxy for each way between two processes.
type Net struct {
	mu    sync.Mutex
	ctx   context.Context
	proxies  map[string]*Proxy
	err error
	done  []<-chan error
}

// NewNet returns a net whose proxies live until the context ends.
func NewNet(ctx context.Context) *Net { return &Net{ctx: ctx, proxies: map[string]*Proxy{}} }

// Via returns the address of the proxy from one process to another.
func (n *Net) ProxyAddress(from, to, address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.proxies[from+">"+to]; p != nil {
		return p.Address()
	}
	p, err := NewProxy(address)
	if err != nil {
		n.err = err
		return address
	}
	n.proxies[from+">"+to] = p
	n.done = append(n.done, p.Run(n.ctx))
	return p.Address()
}

// Way returns the proxy from one process to another, nil when there is none.
func (n *Net) Proxy(from, to string) *Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proxies[from+">"+to]
}

// Set replaces the rules of all ways that a function chooses.
func (n *Net) SetRules(r Rules, which func(way string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, p := range n.proxies {
		if which(k) {
			p.SetRules(r)
		}
	}
}

// Injected counts the faults of all ways.
func (n *Net) FaultCount() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for _, p := range n.proxies {
		sum += p.FaultCount()
	}
	return sum
}

// Err tells whether a proxy could not be opened.
func (n *Net) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Wait waits until all proxies have ended, after the context has.
func (n *Net) Wait() {
	for _, e := range n.done {
		<-e
	}
}
