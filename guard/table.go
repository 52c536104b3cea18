package guard

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Phase is what a connection does.
type Phase uint8

// The phases of a connection.
const (
	// Silent means that no byte of a first request has come.
	Silent Phase = iota
	// Reading means that a request is arriving.
	Reading
	// Waiting means that a request has arrived and waits for bytes.
	Waiting
	// Handled means that a request is being handled.
	Handled
	// Answering means that an answer is being written.
	Answering
	// Idle means that the last request has been answered.
	Idle
	// Session means that both ends keep the connection open.
	Session
)

const (
	// readGrace is how long a request may arrive before it can lose its bytes to
	// others. Ordinary requests arrive faster.
	readGrace = 250 * time.Millisecond
	// answerGrace is the same for a client that does not take its answer.
	answerGrace = 500 * time.Millisecond
	// scanInterval is the least time between two searches that find none to close, since
	// each release of bytes wakes all that wait.
	scanInterval = 20 * time.Millisecond
	// smallShare is n if a request counts as small up to the n-th part of the limit.
	smallShare = 32
)

// Entry is a connection in a Table.
type Entry struct {
	kind  Kind
	phase Phase
	since time.Duration
	bytes int
	// evicted entries are being closed, and removed ones have ended; both reserve no more.
	evicted, removed bool
}

// Table accounts for the connections and bytes of all listeners, and chooses which
// connections to close when room is short. It is not safe for concurrent use.
type Table struct {
	limit, used int
	// leaving is the part of used that evicted entries still hold.
	leaving int
	entries map[*Entry]struct{}
	open    map[Kind]int
	// scanAfter is when connections are next searched for one to close for a large and
	// for a small request, after none was found.
	scanAfter [2]time.Duration
}

// NewTable returns a table of at most limit bytes.
func NewTable(limit int) *Table {
	return &Table{limit: limit, entries: map[*Entry]struct{}{}, open: map[Kind]int{}}
}

// Used returns the bytes that are held.
func (t *Table) Used() int { return t.used }

// Open returns the number of connections of all listeners, without the evicted ones.
func (t *Table) Open() int {
	n := 0
	for _, o := range t.open {
		n += o
	}
	return n
}

// Add adds a connection of a listener that may hold most of them. If there is no room
// yet, it returns nil, and the connection to close for it, if any; again reports that
// there may be room once that one or others closed earlier have ended.
func (t *Table) Add(k Kind, most int, now time.Duration) (added, victim *Entry, again bool) {
	switch {
	case t.open[k] >= most:
		victim = t.victim(now, func(e *Entry) bool { return e.kind == k }, 0)
	case t.used-t.leaving+openBytes > t.limit:
		victim = t.victim(now, func(*Entry) bool { return true }, 0)
	}
	if victim != nil {
		t.evict(victim)
		return nil, victim, true
	}
	if t.open[k] >= most || t.used+openBytes > t.limit {
		return nil, nil, t.leaving > 0
	}
	added = &Entry{kind: k, since: now, bytes: openBytes}
	t.entries[added] = struct{}{}
	t.open[k]++
	t.used += openBytes
	return added, nil, false
}

// Evict chooses a connection of any listener to close, or returns nil.
func (t *Table) Evict(now time.Duration) *Entry {
	v := t.victim(now, func(*Entry) bool { return true }, 0)
	if v != nil {
		t.evict(v)
	}
	return v
}

// Reserve reserves n bytes for a connection if there is room. If there is none, it
// returns the connections to close, none if they would not make room; the caller tries
// again when bytes have been released. Idle connections are closed only for small
// requests.
func (t *Table) Reserve(e *Entry, n int, now time.Duration) (ok bool, victims []*Entry) {
	small, size := n <= t.limit/smallShare, 0
	if small {
		size = 1
	}
	eligible := func(o *Entry) bool { return o != e && (small || o.phase != Idle) }
	if t.used-t.leaving+n > t.limit && !e.evicted && now >= t.scanAfter[size] {
		if t.used-t.leaving+n-t.evictable(now, eligible) > t.limit {
			t.scanAfter[size] = now + scanInterval
			return false, nil
		}
		for t.used-t.leaving+n > t.limit {
			v := t.victim(now, eligible, readGrace)
			t.evict(v)
			victims = append(victims, v)
		}
	}
	if e.evicted || t.used+n > t.limit {
		return false, victims
	}
	e.bytes += n
	t.used += n
	return true, victims
}

// Force adds bytes that a connection has taken already, also beyond the limit, so that
// others wait for them.
func (t *Table) Force(e *Entry, n int) {
	if e.removed {
		return
	}
	e.bytes += n
	t.used += n
	if e.evicted {
		t.leaving += n
	}
}

// Release returns bytes that a connection holds.
func (t *Table) Release(e *Entry, n int) {
	if e.removed {
		return
	}
	if n > e.bytes {
		panic(errors.AssertionFailedf("release %d bytes of a connection that holds %d", n, e.bytes))
	}
	e.bytes -= n
	t.used -= n
	if e.evicted {
		t.leaving -= n
	}
}

// Move notes the phase of a connection. It returns false if the connection has been
// evicted.
func (t *Table) Move(e *Entry, p Phase, now time.Duration) bool {
	if e.evicted {
		return false
	}
	e.phase, e.since = p, now
	return true
}

// Remove removes a connection that has ended. Whatever is done with it afterwards has no
// effect.
func (t *Table) Remove(e *Entry) {
	if e.removed {
		return
	}
	t.Release(e, e.bytes)
	if !e.evicted {
		t.open[e.kind]--
	}
	e.evicted, e.removed = true, true
	delete(t.entries, e)
}

func (t *Table) evict(e *Entry) {
	e.evicted = true
	t.leaving += e.bytes
	t.open[e.kind]--
}

// victim returns the connection whose end costs least: a request that has been arriving
// for grace at least, then an idle connection, then an answer that is not taken; among
// these the one that has held most bytes for longest. Requests being handled and sessions
// stay.
func (t *Table) victim(now time.Duration, eligible func(*Entry) bool, grace time.Duration) *Entry {
	var best *Entry
	bestRank := 0
	for e := range t.entries {
		rank := e.rank(now, grace)
		if rank == 0 || e.evicted || !eligible(e) {
			continue
		}
		if best == nil || rank < bestRank || rank == bestRank && e.held(now) > best.held(now) {
			best, bestRank = e, rank
		}
	}
	return best
}

// evictable returns the bytes of the eligible connections that could be closed.
func (t *Table) evictable(now time.Duration, eligible func(*Entry) bool) int {
	sum := 0
	for e := range t.entries {
		if !e.evicted && eligible(e) && e.rank(now, readGrace) > 0 {
			sum += e.bytes
		}
	}
	return sum
}

// held returns the bytes times the seconds that the connection has been in its phase.
func (e *Entry) held(now time.Duration) float64 {
	return float64(e.bytes) * (now - e.since).Seconds()
}

// rank returns the order in which connections are closed, from 1, or 0 for one that
// stays.
func (e *Entry) rank(now, grace time.Duration) int {
	switch age := now - e.since; {
	case (e.phase == Silent || e.phase == Reading) && age >= grace:
		return 1
	case e.phase == Idle:
		return 2
	case e.phase == Answering && age >= answerGrace:
		return 3
	}
	return 0
}
