package guard

import (
	"net"
	"time"
)

// logInterval is the least time between two log lines with the same reason.
const logInterval = time.Second

// Reason is why a client was refused or its connection closed.
type Reason string

// The reasons, which are also the names of counters.
const (
	// BodyTooLarge is a body over the limit of the listener.
	BodyTooLarge Reason = "body_too_large"
	// NoRoom is a request that found no memory in time.
	NoRoom Reason = "no_room"
	// TooSlow is a body that did not arrive in time.
	TooSlow Reason = "too_slow"
	// Evicted is a connection that was closed to make room.
	Evicted Reason = "evicted"
	// TooMany is a connection beyond the bound of its listener.
	TooMany Reason = "too_many"
)

// suppressed counts what has not been logged since the last line.
type suppressed struct {
	at    time.Time
	count int
}

// refuse counts a refusal and logs it, if none was logged within logInterval.
func (g *Guard) refuse(r Reason, from net.Addr) {
	g.refusals[r].Inc(1)
	g.mu.Lock()
	s := g.logged[r]
	if s == nil {
		s = &suppressed{}
		g.logged[r] = s
	}
	s.count++
	count, used, open := s.count, g.table.Used(), g.table.Open()
	due := time.Since(s.at) >= logInterval
	if due {
		s.at, s.count = time.Now(), 0
	}
	g.mu.Unlock()
	if due {
		g.warn("client refused", "reason", string(r), "count", count, "last", from, "bytes", used, "limit", g.limits.FlightBytes(), "connections", open)
	}
}
