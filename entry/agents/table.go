// Package agents keeps what an entry knows of the agents: those that renew here,
// and the digests of those that renew at other entries.
package agents

import (
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar/wire"
	"google.golang.org/protobuf/proto"
)

// Times of the table.
const (
	// silentAfter is the silence that a digest tells of.
	silentAfter = 1200 * time.Millisecond
	// expireAfter is the silence after which an agent is dropped.
	expireAfter = 60 * time.Second
	// suspectFor is how long a worker that fails tasks gets none.
	suspectFor      = 20 * time.Second
	suspectFailures = 3
	// maxSuspect is the share of the workers that may be suspect, as a divisor.
	maxSuspect = 3
	loadSteps  = 4
)

// Table holds the agents by worker. The zero value is not usable.
type Table struct {
	mu      sync.Mutex
	all     map[string]*Agent
	version int64
	started time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{all: map[string]*Agent{}, started: time.Now()} }

// Renewed records a renewal here.
func (t *Table) Renewed(q *wire.RenewRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.put(q, now, "")
}

func (t *Table) put(q *wire.RenewRequest, heard time.Time, home string) {
	a := t.all[q.GetWorker()]
	if a == nil {
		a = &Agent{}
		t.all[q.GetWorker()] = a
	}
	if heard.Before(a.heard) {
		return
	}
	if changed(a.state, q) || a.home != home {
		t.version++
		a.version = t.version
	}
	a.state, a.heard, a.home = q, heard, home
}

// changed tells whether other entries need to hear of it. Small changes of load
// ride on the answers to requests.
func changed(a, b *wire.RenewRequest) bool {
	if a == nil || a.GetSession() != b.GetSession() || a.GetLeaving() != b.GetLeaving() || a.GetReady() != b.GetReady() {
		return true
	}
	if a.GetRevision() != b.GetRevision() || a.GetService() != b.GetService() || a.GetRequestAddress() != b.GetRequestAddress() {
		return true
	}
	if !proto.Equal(a.GetFree(), b.GetFree()) || !slices.Equal(a.GetKindsAvoided(), b.GetKindsAvoided()) {
		return true
	}
	return step(a.GetLoad()) != step(b.GetLoad())
}

func step(l *wire.Load) int64 {
	return loadSteps * (l.GetInFlight() + l.GetQueued()) / max(l.GetSlots(), 1)
}

// Digest returns the agents that renew here and changed since a version, or are
// silent, and the version now. The running tasks are left out.
func (t *Table) Digest(since int64, now time.Time) (int64, []*wire.AgentDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.AgentDigest
	for _, a := range t.all {
		age := now.Sub(a.heard)
		if a.home != "" || a.version <= since && age < silentAfter {
			continue
		}
		s := proto.CloneOf(a.state)
		s.Running = nil
		out = append(out, &wire.AgentDigest{State: s, AgeMs: age.Milliseconds()})
	}
	return t.version, out
}

// Merge takes in a peer's digest, asked for at a time. Agents of that peer that
// the digest leaves out were alive then.
func (t *Table) Merge(peer string, sent time.Time, digests []*wire.AgentDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := map[string]bool{}
	for _, d := range digests {
		named[d.GetState().GetWorker()] = true
		t.put(d.GetState(), sent.Add(-time.Duration(d.GetAgeMs())*time.Millisecond), peer)
	}
	for w, a := range t.all {
		if a.home == peer && !named[w] && sent.Add(-silentAfter).After(a.heard) {
			a.heard = sent.Add(-silentAfter)
		}
	}
}

// All returns the agents in the order of their workers, and drops those that
// were silent for long.
func (t *Table) All(now time.Time) []Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Agent, 0, len(t.all))
	for w, a := range t.all {
		if now.Sub(a.heard) > expireAfter {
			delete(t.all, w)
			continue
		}
		out = append(out, *a)
	}
	slices.SortFunc(out, func(a, b Agent) int {
		if a.state.GetWorker() < b.state.GetWorker() {
			return -1
		}
		return 1
	})
	return out
}

// Find returns the agent of a worker.
func (t *Table) Find(worker string) (Agent, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.all[worker]
	if a == nil {
		return Agent{}, false
	}
	return *a, true
}

// Silence tells for how long a session was not heard of. What was never heard
// counts from the start of this entry.
func (t *Table) Silence(session string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := t.started
	for _, a := range t.all {
		if a.state.GetSession() == session && a.heard.After(heard) {
			heard = a.heard
		}
	}
	return now.Sub(heard)
}

// Ended records how an attempt on a worker ended. A worker on which one attempt
// after the other fails becomes suspect, unless too many are.
func (t *Table) Ended(worker string, ok bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.all[worker]
	if a == nil {
		return false
	}
	if ok {
		a.failures = 0
		a.suspectUntil = time.Time{}
		return false
	}
	a.failures++
	if a.failures < suspectFailures || t.suspects(now) >= max(len(t.all)/maxSuspect, 1) {
		return false
	}
	a.suspectUntil = now.Add(suspectFor)
	// One more failure after that time is enough.
	a.failures = suspectFailures - 1
	return true
}

func (t *Table) suspects(now time.Time) int {
	n := 0
	for _, a := range t.all {
		if a.IsSuspect(now) {
			n++
		}
	}
	return n
}
