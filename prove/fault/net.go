package fault

import (
	"context"
	"sync"
)

// Net holds a proxy for each way between two processes.
type Net struct {
	mu    sync.Mutex
	ctx   context.Context
	ways  map[string]*Proxy
	fails error
	ends  []<-chan error
}

// NewNet returns a net whose proxies live until the context ends.
func NewNet(ctx context.Context) *Net { return &Net{ctx: ctx, ways: map[string]*Proxy{}} }

// Via returns the address of the proxy from one process to another.
func (n *Net) Via(from, to, address string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.ways[from+">"+to]; p != nil {
		return p.Address()
	}
	p, err := NewProxy(address)
	if err != nil {
		n.fails = err
		return address
	}
	n.ways[from+">"+to] = p
	n.ends = append(n.ends, p.Run(n.ctx))
	return p.Address()
}

// Way returns the proxy from one process to another, nil when there is none.
func (n *Net) Way(from, to string) *Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ways[from+">"+to]
}

// Set replaces the rules of all ways that a function chooses.
func (n *Net) Set(r Rules, which func(way string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, p := range n.ways {
		if which(k) {
			p.Set(r)
		}
	}
}

// Injected counts the faults of all ways.
func (n *Net) Injected() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for _, p := range n.ways {
		sum += p.Injected()
	}
	return sum
}

// Err tells whether a proxy could not be opened.
func (n *Net) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fails
}

// Wait waits until all proxies have ended, after the context has.
func (n *Net) Wait() {
	for _, e := range n.ends {
		<-e
	}
}
