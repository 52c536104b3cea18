// Package route picks a backend server for a request: power of d choices on
// fresh load, the near failure domain first, without backends that fail. The
// path of a request reads an immutable table and atomics only.
package route

import (
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

// Policy is how a backend is picked.
type Policy string

// The policies. All but Choices are baselines to measure against.
const (
	PowerOfChoices Policy = "choices"
	Random         Policy = "random"
	RoundRobin     Policy = "round-robin"
	LeastInFlight  Policy = "least-in-flight"
)

const (
	// choices is the d of power of d choices.
	sampledBackends = 3
	// maxOut is the share of a service's backends that may be ejected, as a
	// divisor.
	maxEjectedDivisor = 3
)

// Seen is a backend that announced itself.
type Announcement struct {
	Worker  string
	Address string
	Domain  string
	Service string
	Load    *wire.Load
}

// Router picks backends.
type Router struct {
	localDomain      string
	crossDomainDelay time.Duration
	policy           Policy
	newClient        func(address string) *fasthttp.HostClient
	table            atomic.Pointer[table]
	nextIndex        atomic.Uint64
	ejections        atomic.Int64

	mu       sync.Mutex
	backends map[string]*Backend
}

// table holds the backends of each service. It never changes.
type table struct {
	services map[string][]*Backend
}

// NewRouter returns a router in a failure domain; far is the extra time to
// another domain and back. dial makes the client of a backend.
func NewRouter(near string, far time.Duration, p Policy, dial func(address string) *fasthttp.HostClient) *Router {
	r := &Router{localDomain: near, crossDomainDelay: far, policy: p, newClient: dial, backends: map[string]*Backend{}}
	r.table.Store(&table{})
	return r
}

// Update replaces the backends. Those known before keep what was learnt.
func (r *Router) Update(seen []Announcement, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &table{services: map[string][]*Backend{}}
	kept := map[string]*Backend{}
	for _, s := range seen {
		b := r.backendFor(s, now)
		kept[s.Worker] = b
		if !s.Load.GetLeaving() {
			next.services[s.Service] = append(next.services[s.Service], b)
		}
	}
	r.backends = kept
	r.table.Store(next)
}

func (r *Router) backendFor(s Announcement, now time.Time) *Backend {
	b := r.backends[s.Worker]
	if b != nil && b.address == s.Address && b.service == s.Service {
		// A load that rode on an answer is fresher than one of a digest.
		if b.inFlight.Load() == 0 {
			b.UpdateLoad(s.Load)
		}
		b.leaving.Store(s.Load.GetLeaving())
		return b
	}
	b = &Backend{worker: s.Worker, address: s.Address, domain: s.Domain, service: s.Service, Client: r.newClient(s.Address)}
	if len(r.table.Load().services[s.Service]) > 0 {
		b.returnedAt.Store(now.UnixNano())
	}
	b.UpdateLoad(s.Load)
	return b
}

// Pick returns a backend of a service that is not among those tried, and the
// expected time until its answer; nil when there is none.
func (r *Router) Pick(service string, tried []*Backend, now time.Time) (*Backend, time.Duration) {
	all := r.table.Load().services[service]
	if len(all) == 0 {
		return nil, 0
	}
	switch r.policy {
	case Random:
		return r.firstUntried(all, tried, rand.IntN(len(all)), now)
	case RoundRobin:
		return r.firstUntried(all, tried, int(r.nextIndex.Add(1)%uint64(len(all))), now)
	case LeastInFlight:
		return r.leastCost(all, tried, len(all), now, func(b *Backend) time.Duration { return time.Duration(b.inFlight.Load()) })
	}
	return r.leastCost(all, tried, sampledBackends, now, func(b *Backend) time.Duration { return b.expectedLatency(now, r.extraDelay(b)) })
}

// baseline walks from a place on to the first backend that was not tried.
func (r *Router) firstUntried(all, tried []*Backend, from int, now time.Time) (*Backend, time.Duration) {
	for i := range all {
		b := all[(from+i)%len(all)]
		if !slices.Contains(tried, b) && !b.leaving.Load() {
			return b, b.expectedLatency(now, 0)
		}
	}
	return nil, 0
}

// best samples n backends that may be used, and returns the one of least cost.
func (r *Router) leastCost(all, tried []*Backend, n int, now time.Time, cost func(*Backend) time.Duration) (*Backend, time.Duration) {
	var best *Backend
	var least time.Duration
	start, step := rand.IntN(len(all)), stride(len(all))
	for i, found := 0, 0; i < len(all) && found < n; i++ {
		b := all[(start+i*step)%len(all)]
		if b.leaving.Load() || r.policy == PowerOfChoices && b.isEjected(now) || slices.Contains(tried, b) {
			continue
		}
		found++
		if c := cost(b); best == nil || c < least {
			best, least = b, c
		}
	}
	if best != nil && best.ejectedUntil.Load() != 0 {
		best.probing.Store(true)
	}
	return best, least
}

// stride returns a random step that visits all of n places.
func stride(n int) int {
	if n < 3 {
		return 1
	}
	for {
		s := 1 + rand.IntN(n-1)
		if gcd(s, n) == 1 {
			return s
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func (r *Router) extraDelay(b *Backend) time.Duration {
	if b.domain == r.localDomain {
		return 0
	}
	return r.crossDomainDelay
}

// Done counts an answer of a backend, and ejects a backend that fails, unless
// too many of its service are out.
func (r *Router) RecordOutcome(b *Backend, now time.Time, ok bool) spar.Reason {
	b.EndRequest(now, ok)
	again := b.ejectedUntil.Load() != 0
	if ok || b.failures.Load() < ejectAfterFailures && !again {
		return spar.ReasonNone
	}
	if !again && r.ejectedCount(b.service) >= max(len(r.table.Load().services[b.service])/maxEjectedDivisor, 1) {
		return spar.ReasonNone
	}
	b.eject(now)
	r.ejections.Add(1)
	return spar.ReasonEjected
}

func (r *Router) ejectedCount(service string) int {
	n := 0
	for _, b := range r.table.Load().services[service] {
		if b.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return n
}

// Ejects counts the ejections.
func (r *Router) Ejections() int64 { return r.ejections.Load() }
