// Package route picks a backend server for a request. It uses the power of d
// choices on recently reported load, prefers backends in the local failure
// domain and ejects backends that fail. Handling a request reads an immutable
// table and atomics only, and takes no lock.
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

// Policy names the algorithm that picks a backend.
type Policy string

// The policies. All but PowerOfChoices are baselines for measurements.
const (
	PowerOfChoices Policy = "choices"
	Random         Policy = "random"
	RoundRobin     Policy = "round-robin"
	LeastInFlight  Policy = "least-in-flight"
)

const (
	// sampledBackends is the d in power of d choices.
	sampledBackends = 3
	// maxEjectedDivisor limits the ejected backends of a service to the number
	// of its backends divided by this, so that the rest can carry the load.
	maxEjectedDivisor = 3
)

// Announcement describes a backend that its agent has announced.
type Announcement struct {
	Worker  string
	Address string
	Domain  string
	Service string
	Load    *wire.Load
}

// Router picks backends of a service and ejects those that fail.
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

// table holds the backends of each service. It is immutable: an update replaces
// it.
type table struct {
	services map[string][]*Backend
}

// NewRouter returns a router for an entry in localDomain. crossDomainDelay is the
// extra round-trip time to another failure domain, and newClient makes the client
// for a backend's address.
func NewRouter(localDomain string, crossDomainDelay time.Duration, p Policy, newClient func(address string) *fasthttp.HostClient) *Router {
	r := &Router{localDomain: localDomain, crossDomainDelay: crossDomainDelay, policy: p, newClient: newClient, backends: map[string]*Backend{}}
	r.table.Store(&table{})
	return r
}

// Update replaces the set of backends. Backends that stay keep their load,
// failures and ejection.
func (r *Router) Update(announced []Announcement, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	next := &table{services: map[string][]*Backend{}}
	kept := map[string]*Backend{}
	for _, a := range announced {
		b := r.backendFor(a, now)
		kept[a.Worker] = b
		if !a.Load.GetLeaving() {
			next.services[a.Service] = append(next.services[a.Service], b)
		}
	}
	r.backends = kept
	r.table.Store(next)
}

// backendFor returns the known backend for an announcement, or a new one when
// its worker is new or has changed its address or service.
func (r *Router) backendFor(a Announcement, now time.Time) *Backend {
	b := r.backends[a.Worker]
	if b != nil && b.address == a.Address && b.service == a.Service {
		// While requests are in flight, the load carried by their answers is
		// more recent than the announced one.
		if b.inFlight.Load() == 0 {
			b.UpdateLoad(a.Load)
		}
		b.leaving.Store(a.Load.GetLeaving())
		return b
	}
	b = &Backend{worker: a.Worker, address: a.Address, domain: a.Domain, service: a.Service, Client: r.newClient(a.Address)}
	// A backend that joins a service in use begins with a slow start.
	if len(r.table.Load().services[a.Service]) > 0 {
		b.returnedAt.Store(now.UnixNano())
	}
	b.UpdateLoad(a.Load)
	return b
}

// Pick returns a backend of the service that is not in tried, and the expected
// time to its answer. It returns nil when there is none.
func (r *Router) Pick(service string, tried []*Backend, now time.Time) (*Backend, time.Duration) {
	backends := r.table.Load().services[service]
	if len(backends) == 0 {
		return nil, 0
	}
	switch r.policy {
	case Random:
		return r.firstUntried(backends, tried, rand.IntN(len(backends)), now)
	case RoundRobin:
		return r.firstUntried(backends, tried, int(r.nextIndex.Add(1)%uint64(len(backends))), now)
	case LeastInFlight:
		return r.leastCost(backends, tried, len(backends), now, func(b *Backend) time.Duration { return time.Duration(b.inFlight.Load()) })
	}
	return r.leastCost(backends, tried, sampledBackends, now, func(b *Backend) time.Duration { return b.expectedLatency(now, r.extraDelay(b)) })
}

// firstUntried returns the first usable backend that was not tried, searching
// from index start and wrapping around.
func (r *Router) firstUntried(backends, tried []*Backend, start int, now time.Time) (*Backend, time.Duration) {
	for i := range backends {
		b := backends[(start+i)%len(backends)]
		if !slices.Contains(tried, b) && !b.leaving.Load() {
			return b, b.expectedLatency(now, 0)
		}
	}
	return nil, 0
}

// leastCost samples up to n usable backends and returns the one with the least
// cost. A chosen backend whose ejection period is over is marked as being probed.
func (r *Router) leastCost(backends, tried []*Backend, n int, now time.Time, cost func(*Backend) time.Duration) (*Backend, time.Duration) {
	var best *Backend
	var least time.Duration
	start, step := rand.IntN(len(backends)), stride(len(backends))
	for i, found := 0, 0; i < len(backends) && found < n; i++ {
		b := backends[(start+i*step)%len(backends)]
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

// stride returns a random step coprime to n, so that stepping by it modulo n
// visits every index.
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

// extraDelay returns the additional round-trip time to the backend's domain.
func (r *Router) extraDelay(b *Backend) time.Duration {
	if b.domain == r.localDomain {
		return 0
	}
	return r.crossDomainDelay
}

// RecordOutcome counts the end of a request. It ejects a backend that keeps
// failing and returns the reason, unless too many backends of its service are
// ejected already. A failure of an ejected backend, such as a failed probe,
// starts a new ejection in any case.
func (r *Router) RecordOutcome(b *Backend, now time.Time, ok bool) spar.Reason {
	b.EndRequest(now, ok)
	wasEjected := b.ejectedUntil.Load() != 0
	if ok || b.failures.Load() < ejectAfterFailures && !wasEjected {
		return spar.ReasonNone
	}
	if !wasEjected && r.ejectedCount(b.service) >= max(len(r.table.Load().services[b.service])/maxEjectedDivisor, 1) {
		return spar.ReasonNone
	}
	b.eject(now)
	r.ejections.Add(1)
	return spar.ReasonEjected
}

// ejectedCount returns how many backends of a service are ejected or wait for a
// successful probe.
func (r *Router) ejectedCount(service string) int {
	n := 0
	for _, b := range r.table.Load().services[service] {
		if b.ejectedUntil.Load() != 0 {
			n++
		}
	}
	return n
}

// Ejections returns the number of ejections so far.
func (r *Router) Ejections() int64 { return r.ejections.Load() }
