package route

import (
	"sync/atomic"
	"time"

	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

// Limits of ejection and slow start.
const (
	// ejectAfter is the number of failures in a row that eject a backend.
	ejectAfterFailures = 5
	// ejectFirst and ejectMost bound how long it stays out.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// slowStart is how long a backend that returns gets a smaller share.
	slowStartPeriod    = 4 * time.Second
	slowStartMaxFactor = 4.0
	defaultServiceTime = time.Millisecond
)

// Backend is a backend server as an entry sees it. Its fields are atomics, so
// that the path of a request takes no lock.
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

	failures     atomic.Int64
	ejections    atomic.Int64
	ejectedUntil atomic.Int64
	probing      atomic.Bool
	returnedAt   atomic.Int64
}

// Worker is the machine of the backend.
func (b *Backend) Worker() string { return b.worker }

// Address is where its agent takes requests.
func (b *Backend) Address() string { return b.address }

// Domain is its failure domain.
func (b *Backend) Domain() string { return b.domain }

// Report takes in what the agent says of itself.
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

// Begin counts a request on its way.
func (b *Backend) BeginRequest() { b.inFlight.Add(1) }

// End counts an answer; ok is false for a failure of the backend.
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

// Own counts the requests of this entry on their way.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

// expect is the time until an answer, were the request sent now.
func (b *Backend) expectedLatency(now time.Time, far time.Duration) time.Duration {
	load := max(b.inFlight.Load(), b.reportedLoad.Load())
	slots := max(b.slots.Load(), 1)
	cost := time.Duration(b.serviceUS.Load()) * time.Microsecond
	if cost == 0 {
		cost = defaultServiceTime
	}
	// Below its slots a backend answers at once, but ties go to the emptier.
	wait := float64(cost) * (1 + float64(load)/float64(slots))
	wait *= b.slowStartFactor(now)
	return time.Duration(wait) + far
}

// ramp makes a backend that has just returned look slower, so that it is not
// flooded.
func (b *Backend) slowStartFactor(now time.Time) float64 {
	age := time.Duration(now.UnixNano() - b.returnedAt.Load())
	if age >= slowStartPeriod || age < 0 {
		return 1
	}
	return slowStartMaxFactor - (slowStartMaxFactor-1)*float64(age)/float64(slowStartPeriod)
}

// isEjected tells whether the backend is out; when its time is over, one
// request at a time probes it.
func (b *Backend) isEjected(now time.Time) bool {
	until := b.ejectedUntil.Load()
	if until == 0 {
		return false
	}
	return now.UnixNano() < until || b.probing.Load()
}

// eject takes the backend out, longer each time in a row.
func (b *Backend) eject(now time.Time) {
	n := min(b.ejections.Add(1), 6)
	out := min(minEjection<<(n-1), maxEjection)
	b.ejectedUntil.Store(now.Add(out).UnixNano())
	b.failures.Store(0)
}
