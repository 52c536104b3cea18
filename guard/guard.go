package guard

import (
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"
)

// ErrNoRoom means that the process has no memory left for a request, which has not
// been handled.
var ErrNoRoom = errors.New("no memory left for requests")

// errTooLarge means that a request exceeds the limit of the listener, or all the memory
// that there is for requests.
var errTooLarge = errors.New("request over the limit")

const (
	// reserveWait is how long a request waits for memory before it is refused.
	reserveWait = time.Second
	// sessionWait is the same for a message of an established session.
	sessionWait = 5 * time.Second
	// reserveRetry is the time after which more connections may be closed for it.
	reserveRetry = 50 * time.Millisecond
	// addRetry and maxAddTries bound how long a new connection waits for others to end.
	addRetry    = 10 * time.Millisecond
	maxAddTries = 50
	// reportInterval is the least time between two updates of the gauges, beside those when
	// a connection opens or ends.
	reportInterval = 100 * time.Millisecond
)

// Guard bounds the clients of all listeners of a process.
type Guard struct {
	limits      Limits
	warn        func(msg string, pairs ...any)
	begun       time.Time
	bytes       tally.Gauge
	connections tally.Gauge
	refusals    map[Reason]tally.Counter

	mu    sync.Mutex
	table *Table
	conns map[*Entry]*Conn
	// reported is when the gauges were updated.
	reported time.Duration
	// released is closed when bytes are released, if anyone waits.
	released chan struct{}
	logged   map[Reason]*suppressed
}

// NewGuard returns a guard. It counts in the scope and logs with warn at most one line
// a second for each reason.
func NewGuard(l Limits, scope tally.Scope, warn func(msg string, pairs ...any)) *Guard {
	g := &Guard{
		limits: l, warn: warn, begun: time.Now(), table: NewTable(l.FlightBytes()),
		bytes: scope.Gauge("clients_bytes"), connections: scope.Gauge("clients_connections"), refusals: map[Reason]tally.Counter{},
		conns: map[*Entry]*Conn{}, logged: map[Reason]*suppressed{},
	}
	for _, r := range []Reason{BodyTooLarge, NoRoom, TooSlow, Evicted, TooMany} {
		g.refusals[r] = scope.Counter("clients_" + string(r))
	}
	return g
}

// Limits returns the limits.
func (g *Guard) Limits() Limits { return g.limits }

// Usage returns the bytes and the number of connections that clients hold.
func (g *Guard) Usage() (bytes, connections int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Used(), g.table.Open()
}

func (g *Guard) now() time.Duration { return time.Since(g.begun) }

// add registers a connection, or closes it and returns nil if there is no room.
func (g *Guard) add(nc net.Conn, k Kind) *Conn {
	for tries := 0; ; tries++ {
		c, again := g.tryAdd(nc, k)
		if c != nil {
			return c
		}
		if !again || tries == maxAddTries {
			g.refuse(TooMany, nc.RemoteAddr())
			nc.Close()
			return nil
		}
	}
}

// tryAdd registers a connection, or waits shortly for those that it closes to end.
func (g *Guard) tryAdd(nc net.Conn, k Kind) (added *Conn, again bool) {
	g.mu.Lock()
	entry, victim, again := g.table.Add(k, g.limits.MaxConnections(k), g.now())
	if entry != nil {
		added = &Conn{Conn: nc, guard: g, entry: entry}
		g.conns[entry] = added
	}
	evicted := g.takeVictims(victim)
	wait := again && g.table.leaving > 0
	released := g.awaitRelease(wait)
	g.report()
	g.mu.Unlock()
	closeAll(evicted)
	if wait {
		select {
		case <-released:
		case <-time.After(addRetry):
		}
	}
	return added, again
}

// awaitRelease returns a channel that is closed when bytes are released, or nil.
func (g *Guard) awaitRelease(needed bool) <-chan struct{} {
	if needed && g.released == nil {
		g.released = make(chan struct{})
	}
	return g.released
}

// makeRoom closes a connection, since the process has no descriptors left.
func (g *Guard) makeRoom() {
	g.mu.Lock()
	evicted := g.takeVictims(g.table.Evict(g.now()))
	g.mu.Unlock()
	closeAll(evicted)
}

func (g *Guard) remove(e *Entry) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Remove(e)
	delete(g.conns, e)
	g.wake()
	g.report()
}

func (g *Guard) move(e *Entry, p Phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.table.Move(e, p, g.now())
}

func (g *Guard) release(e *Entry, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Release(e, n)
	g.wake()
}

// finish notes that a request has been answered, and returns the n bytes that it held.
func (g *Guard) finish(e *Entry, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.table.Release(e, n)
	g.table.Move(e, Idle, now)
	g.wake()
	if now-g.reported >= reportInterval {
		g.report()
	}
}

// answer notes that a request has been handled, and that its answer takes n bytes more
// than the request.
func (g *Guard) answer(e *Entry, n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n > 0 {
		g.table.Force(e, n)
	} else {
		g.table.Release(e, -n)
	}
	g.table.Move(e, Answering, g.now())
	g.wake()
}

// reserve waits up to reserveWait for n bytes. The error is ErrNoRoom, errTooLarge if n
// is more than there is, or net.ErrClosed if the connection has been closed to make room.
func (g *Guard) reserve(e *Entry, n int) error {
	var timeout <-chan time.Time
	if n > g.limits.FlightBytes()-openBytes-requestBytes {
		return errTooLarge
	}
	for {
		ok, released, closed := g.tryReserve(e, n)
		switch {
		case ok:
			return nil
		case closed:
			return net.ErrClosed
		case timeout == nil:
			timeout = time.After(g.reserveWait(e))
		}
		select {
		case <-released:
		case <-time.After(reserveRetry):
		case <-timeout:
			g.refuse(NoRoom, g.addressOf(e))
			return ErrNoRoom
		}
	}
}

// reserveWait returns how long a connection waits for bytes. A session waits longer than
// its other end stays silent, since all sessions would else end together.
func (g *Guard) reserveWait(e *Entry) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.phase == Session {
		return sessionWait
	}
	return reserveWait
}

func (g *Guard) tryReserve(e *Entry, n int) (ok bool, released <-chan struct{}, closed bool) {
	g.mu.Lock()
	ok, victims := g.table.Reserve(e, n, g.now())
	evicted := g.takeVictims(victims...)
	released, closed = g.awaitRelease(!ok), e.evicted
	g.mu.Unlock()
	closeAll(evicted)
	return ok, released, closed
}

// takeVictims returns the connections of evicted entries. The caller closes them
// without the lock.
func (g *Guard) takeVictims(entries ...*Entry) []*Conn {
	var out []*Conn
	for _, e := range entries {
		if c := g.conns[e]; c != nil {
			out = append(out, c)
		}
	}
	return out
}

func closeAll(conns []*Conn) {
	for _, c := range conns {
		c.guard.refuse(Evicted, c.RemoteAddr())
		// The owner of the connection sees the error and closes it again.
		c.Conn.Close()
	}
}

func (g *Guard) addressOf(e *Entry) net.Addr {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c := g.conns[e]; c != nil {
		return c.RemoteAddr()
	}
	return nil
}

// wake wakes those that wait for memory.
func (g *Guard) wake() {
	if g.released != nil {
		close(g.released)
		g.released = nil
	}
}

func (g *Guard) report() {
	g.reported = g.now()
	g.bytes.Update(float64(g.table.Used()))
	g.connections.Update(float64(g.table.Open()))
}
