package fault

import (
	"context"
	"sync"
)

// Net holds one proxy for each pair of source and destination process, under
// the key "from>to".
type Net struct {
	mu      sync.Mutex
	ctx     context.Context
	proxies map[string]*Proxy
	err     error
	done    []<-chan error
}

// NewNet returns a Net whose proxies run until the context is cancelled.
func NewNet(ctx context.Context) *Net { return &Net{ctx: ctx, proxies: map[string]*Proxy{}} }

// ProxyAddress returns the address of the proxy from one process to another and
// starts the proxy on first use. If it cannot be started, the target's own
// address is returned and Err reports the failure.
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

// Proxy returns the proxy from one process to another, or nil if there is none.
func (n *Net) Proxy(from, to string) *Proxy {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.proxies[from+">"+to]
}

// SetRules replaces the rules of all proxies whose key "from>to" matches.
func (n *Net) SetRules(r Rules, match func(key string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for k, p := range n.proxies {
		if match(k) {
			p.SetRules(r)
		}
	}
}

// FaultCount returns the number of faults that all proxies have injected.
func (n *Net) FaultCount() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	sum := int64(0)
	for _, p := range n.proxies {
		sum += p.FaultCount()
	}
	return sum
}

// Err returns the last error of opening a proxy, or nil.
func (n *Net) Err() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.err
}

// Wait blocks until all proxies have stopped, which they do when the context is
// cancelled.
func (n *Net) Wait() {
	for _, proxyDone := range n.done {
		<-proxyDone
	}
}
