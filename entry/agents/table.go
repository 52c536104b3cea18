// Package agents holds what an entry knows of the agents: the renewals of those
// that renew at this entry, and the digests of those that renew at other entries.
package agents

import (
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar/wire"
	"google.golang.org/protobuf/proto"
)

// Time limits and thresholds of the table.
const (
	// digestSilence is the time without a renewal after which a digest lists an
	// agent although it has not changed.
	digestSilence = 1200 * time.Millisecond
	// agentRetention is the time without news after which an agent is dropped.
	agentRetention = 60 * time.Second
	// suspectDuration is the time for which a suspect worker gets no tasks. It
	// becomes suspect after suspectFailures consecutive failures.
	suspectDuration = 20 * time.Second
	suspectFailures = 3
	// maxSuspectDivisor limits the suspect workers: at most one in this many.
	maxSuspectDivisor = 3
	// loadSteps is the number of steps of load between idle and all slots in use.
	// Changes within a step are not sent in digests.
	loadSteps = 4
)

// Table holds the agents by worker. The zero value is not usable.
type Table struct {
	mu       sync.Mutex
	byWorker map[string]*Agent
	version  int64
	started  time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byWorker: map[string]*Agent{}, started: time.Now()} }

// RecordRenewal records a renewal at this entry.
func (t *Table) RecordRenewal(q *wire.RenewRequest, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.update(q, now, "")
}

func (t *Table) update(q *wire.RenewRequest, heard time.Time, home string) {
	a := t.byWorker[q.GetWorker()]
	if a == nil {
		a = &Agent{}
		t.byWorker[q.GetWorker()] = a
	}
	if heard.Before(a.lastHeard) {
		return
	}
	if needsDigest(a.state, q) || a.home != home {
		t.version++
		a.version = t.version
	}
	a.state, a.lastHeard, a.home = q, heard, home
}

// needsDigest reports whether a renewal differs from the previous one so that it
// must be sent to other entries. Smaller changes of load reach them with the
// responses to requests.
func needsDigest(a, b *wire.RenewRequest) bool {
	if a == nil || a.GetSession() != b.GetSession() || a.GetLeaving() != b.GetLeaving() || a.GetReady() != b.GetReady() {
		return true
	}
	if a.GetRevision() != b.GetRevision() || a.GetService() != b.GetService() || a.GetRequestAddress() != b.GetRequestAddress() {
		return true
	}
	if !proto.Equal(a.GetFree(), b.GetFree()) || !slices.Equal(a.GetKindsAvoided(), b.GetKindsAvoided()) {
		return true
	}
	return loadStep(a.GetLoad()) != loadStep(b.GetLoad())
}

func loadStep(l *wire.Load) int64 {
	return loadSteps * (l.GetInFlight() + l.GetQueued()) / max(l.GetSlots(), 1)
}

// Digest returns the current version and the agents that renew at this entry and
// have changed since a version or have not renewed for digestSilence. Running
// tasks are left out.
func (t *Table) Digest(since int64, now time.Time) (int64, []*wire.AgentDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []*wire.AgentDigest
	for _, a := range t.byWorker {
		age := now.Sub(a.lastHeard)
		if a.home != "" || a.version <= since && age < digestSilence {
			continue
		}
		s := proto.CloneOf(a.state)
		s.Running = nil
		out = append(out, &wire.AgentDigest{State: s, AgeMs: age.Milliseconds()})
	}
	return t.version, out
}

// Merge records the digest of a peer that was requested at the time sent. Agents
// of that peer that the digest leaves out count as heard of digestSilence before
// that time.
func (t *Table) Merge(peer string, sent time.Time, digests []*wire.AgentDigest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	named := map[string]bool{}
	for _, d := range digests {
		named[d.GetState().GetWorker()] = true
		t.update(d.GetState(), sent.Add(-time.Duration(d.GetAgeMs())*time.Millisecond), peer)
	}
	for w, a := range t.byWorker {
		if a.home == peer && !named[w] && sent.Add(-digestSilence).After(a.lastHeard) {
			a.lastHeard = sent.Add(-digestSilence)
		}
	}
}

// All returns the agents in the order of their workers, and drops those not heard
// of for agentRetention.
func (t *Table) All(now time.Time) []Agent {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Agent, 0, len(t.byWorker))
	for w, a := range t.byWorker {
		if now.Sub(a.lastHeard) > agentRetention {
			delete(t.byWorker, w)
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
	a := t.byWorker[worker]
	if a == nil {
		return Agent{}, false
	}
	return *a, true
}

// Silence returns the time since a session was last heard of, or since the start
// of this entry if it never was.
func (t *Table) Silence(session string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard := t.started
	for _, a := range t.byWorker {
		if a.state.GetSession() == session && a.lastHeard.After(heard) {
			heard = a.lastHeard
		}
	}
	return now.Sub(heard)
}

// RecordAttemptEnd records whether an attempt on a worker succeeded, and reports
// whether the worker became suspect. It does after consecutive failures, unless
// too many workers are suspect already.
func (t *Table) RecordAttemptEnd(worker string, ok bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.byWorker[worker]
	if a == nil {
		return false
	}
	if ok {
		a.failures = 0
		a.suspectUntil = time.Time{}
		return false
	}
	a.failures++
	if a.failures < suspectFailures || t.countSuspects(now) >= max(len(t.byWorker)/maxSuspectDivisor, 1) {
		return false
	}
	a.suspectUntil = now.Add(suspectDuration)
	// After that time, one more failure makes the worker suspect again.
	a.failures = suspectFailures - 1
	return true
}

func (t *Table) countSuspects(now time.Time) int {
	n := 0
	for _, a := range t.byWorker {
		if a.IsSuspect(now) {
			n++
		}
	}
	return n
}
