package route

import (
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

// Limits of ejection and slow start.
const (
	// ejectAfterFailures is the number of consecutive failures that ejects a
	// backend.
	ejectAfterFailures = 5
	// minEjection and maxEjection bound how long a backend stays ejected.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// slowStartPeriod is how long a returning backend gets a smaller share of
	// the requests. Its expected latency is multiplied by slowStartMaxFactor at
	// first; the factor falls to 1 over the period.
	slowStartPeriod    = 4 * time.Second
	slowStartMaxFactor = 4.0
	// defaultServiceTime is assumed until the agent reports a service time.
	defaultServiceTime = time.Millisecond
)

// Backend is an entry's view of a backend server. Its mutable fields are
// atomics, so that handling a request takes no lock.
type Backend struct {
	worker  string
	address string
	domain  string
	service string
	Client  *fasthttp.HostClient

	inFlight     atomic.Int64
	reportedLoad atomic.Int64
	slots        atomic.Int64
	serviceUS    atomic.Int64
	leaving      atomic.Bool

	// failures and ejections count consecutive ones. ejectedUntil and returnedAt
	// are Unix times in ns. ejectedUntil is 0 unless the backend is ejected or
	// waits for a successful probe.
	failures     atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	probing      atomic.Bool
	returnedAt   atomic.Int64
}

// Worker returns the name of the worker that runs the backend.
func (b *Backend) Worker() string { return b.worker }

// Address returns the address at which its agent accepts requests.
func (b *Backend) Address() string { return b.address }

// Domain returns its failure domain.
func (b *Backend) Domain() string { return b.domain }

// UpdateLoad stores the load that the agent reported. It sets the leaving mark
// but never clears it.
func (b *Backend) UpdateLoad(l *wire.Load) {
	b.reportedLoad.Store(l.GetInFlight() + l.GetQueued())
	b.slots.Store(max(l.GetSlots(), 1))
	if l.GetServiceUs() > 0 {
		b.serviceUS.Store(l.GetServiceUs())
	}
	if l.GetLeaving() {
		b.leaving.Store(true)
	}
}

// BeginRequest counts a request as in flight.
func (b *Backend) BeginRequest() { b.inFlight.Add(1) }

// EndRequest counts an answered request; ok is false when the backend failed. A
// success ends an ejection and starts the slow start.
func (b *Backend) EndRequest(now time.Time, ok bool) {
	b.inFlight.Add(-1)
	b.probing.Store(false)
	if ok {
		b.failures.Store(0)
		if b.ejectedUntil.Swap(0) != 0 {
			b.ejections.Store(0)
			b.returnedAt.Store(now.UnixNano())
		}
		return
	}
	b.failures.Add(1)
}

// InFlight returns the number of requests of this entry that the backend has
// not answered yet.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

// expectedLatency estimates the time to an answer for a request sent now.
// extraDelay is the additional network time to the backend.
func (b *Backend) expectedLatency(now time.Time, extraDelay time.Duration) time.Duration {
	load := max(b.inFlight.Load(), b.reportedLoad.Load())
	slots := max(b.slots.Load(), 1)
	cost := time.Duration(b.serviceUS.Load()) * time.Microsecond
	if cost == 0 {
		cost = defaultServiceTime
	}
	// A backend with free slots does not queue the request; counting its load
	// anyway makes the less loaded one win between two such backends.
	wait := float64(cost) * (1 + float64(load)/float64(slots))
	wait *= b.slowStartFactor(now)
	return time.Duration(wait) + extraDelay
}

// slowStartFactor returns the factor, of 1 or more, by which the expected
// latency of a backend that has just returned is raised, so that it does not
// receive all requests at once.
func (b *Backend) slowStartFactor(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - b.returnedAt.Load())
	if age >= slowStartPeriod || age < 0 {
		return 1
	}
	return slowStartMaxFactor - (slowStartMaxFactor-1)*float64(age)/float64(slowStartPeriod)
}

// isEjected reports whether the backend must not be picked. After the ejection
// period, one request at a time may probe it.
func (b *Backend) isEjected(now time.Time) bool {
	until := b.ejectedUntil.Load()
	if until == 0 {
		return false
	}
	return now.UnixNano() < until || b.probing.Load()
}

// eject excludes the backend for a period that doubles with each consecutive
// ejection, up to maxEjection.
func (b *Backend) eject(now time.Time) {
	// Five doublings exceed maxEjection. The cap keeps the shift from overflowing.
	n := min(b.ejections.Add(1), 6)
	period := min(minEjection<<(n-1), maxEjection)
	b.ejectedUntil.Store(now.Add(period).UnixNano())
	b.failures.Store(0)
}
