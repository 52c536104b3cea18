// Package member tells what an entry may do on what it knows: renew leases,
// and give up on others. It is pure; its owner feeds it what was read and
// heard, with the time that each question was sent. docs/design/leases.md has
// the argument for its rules.
package member

import (
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
)

// View is what one entry knows of the fences and of the other entries.
type View struct {
	mu    sync.Mutex
	self  string
	terms lease.Terms

	// readAt is when the newest read that reached the log's head was sent.
	readAt time.Time
	// registeredAt is when the own registration was read, zero before.
	registeredAt time.Time
	registered   int64
	expelled     bool

	peers map[string]*peer
	// fenced are sessions whose fence was folded or tried here, heard those
	// that a peer named. Either stops renewing.
	fenced         map[string]struct{}
	reportedFences map[string]struct{}
	// expels and heardExpels are the same for entries.
	expels         map[string]struct{}
	reportedExpels map[string]struct{}
}

// peer is another entry that registered on the log.
type peer struct {
	registered int64
	knownAt    time.Time
	answeredAt time.Time
	acked      bool
	removed    bool
	expelledAt time.Time
	// waited is set when the entry was expelled, which takes F to hold.
	expelled bool
}

// NewView returns the view of an entry that has read nothing.
func NewView(self string, terms lease.Terms) *View {
	return &View{
		self: self, terms: terms, peers: map[string]*peer{},
		fenced: map[string]struct{}{}, reportedFences: map[string]struct{}{},
		expels: map[string]struct{}{}, reportedExpels: map[string]struct{}{},
	}
}

// Folded takes in what a read of the log brought. now is after the read.
func (v *View) ApplyState(s *fold.State, now time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, f := range s.Fences() {
		v.fenced[f.Session()] = struct{}{}
	}
	for _, m := range s.Members() {
		v.applyMember(m, now)
	}
}

func (v *View) applyMember(m fold.Member, now time.Time) {
	if m.Entry() == v.self {
		v.registered = m.Registered()
		v.expelled = v.expelled || m.IsExpelled()
		if v.registeredAt.IsZero() {
			v.registeredAt = now
		}
		return
	}
	p := v.peers[m.Entry()]
	if p == nil {
		p = &peer{registered: m.Registered(), knownAt: now}
		v.peers[m.Entry()] = p
	}
	if m.IsExpelled() && !p.expelled {
		p.expelled = true
		p.expelledAt = now
		v.expels[m.Entry()] = struct{}{}
	}
	if !m.IsLive() {
		p.removed = true
	}
}

// Read records that a read of the log sent at a time reached its head.
func (v *View) RecordRead(sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sent.After(v.readAt) {
		v.readAt = sent
	}
}

// Answer is what another entry says of fences when it is asked.
type Answer struct {
	// Fences are the sessions of agents whose fence it knows or has tried.
	Fences []string
	// Expels are the entries whose fence it knows or has tried.
	Expels []string
	// Acked are the entries whose registration it has folded.
	Acked []string
}

// Answered records an answer to a question sent at a time.
func (v *View) RecordAnswer(from string, sent time.Time, a Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addReported(a)
	p := v.peers[from]
	if p == nil {
		return
	}
	if sent.After(p.answeredAt) {
		p.answeredAt = sent
	}
	if slices.Contains(a.Acked, v.self) {
		p.acked = true
	}
}

// Goodbye records that an entry stops by plan, and renews no more.
func (v *View) RecordGoodbye(from string, a Answer) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.addReported(a)
	if p := v.peers[from]; p != nil {
		p.removed = true
	}
}

func (v *View) addReported(a Answer) {
	for _, s := range a.Fences {
		v.reportedFences[s] = struct{}{}
	}
	for _, e := range a.Expels {
		v.reportedExpels[e] = struct{}{}
	}
}

// TryFence records that a fence of a session is about to be appended. It must
// be called before the append: an append whose answer is lost may have landed.
func (v *View) RecordFenceAttempt(session string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fenced[session] = struct{}{}
}

// TryExpel is TryFence for an entry.
func (v *View) RecordExpelAttempt(entry string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expels[entry] = struct{}{}
}

// Known is what to answer to another entry.
func (v *View) Answer() Answer {
	v.mu.Lock()
	defer v.mu.Unlock()
	a := Answer{Fences: union(v.fenced, v.reportedFences), Expels: union(v.expels, v.reportedExpels)}
	for e := range v.peers {
		a.Acked = append(a.Acked, e)
	}
	slices.Sort(a.Acked)
	return a
}

// MayRenew tells whether the lease of a session may be renewed now, and if not,
// why.
func (v *View) MayRenew(now time.Time, session string) spar.Reason {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.expelled {
		return spar.ReasonMemberFenced
	}
	if contains(v.fenced, session) {
		return spar.ReasonFenced
	}
	if !v.readAt.IsZero() && now.Sub(v.readAt) < v.terms.Fresh() {
		return spar.ReasonNone
	}
	if !v.confirmedByPeers(now, session) {
		return spar.ReasonStaleLog
	}
	return spar.ReasonNone
}

// vouched tells whether the other entries' answers prove that nobody can have
// fenced the session, or this entry, without this entry knowing.
func (v *View) confirmedByPeers(now time.Time, session string) bool {
	if v.readAt.IsZero() || now.Sub(v.readAt) >= v.terms.Hearsay() || v.registeredAt.IsZero() {
		return false
	}
	if contains(v.reportedFences, session) || contains(v.reportedExpels, v.self) {
		return false
	}
	for _, p := range v.peers {
		if !p.removed && now.Sub(p.answeredAt) >= v.terms.Fresh() {
			return false
		}
	}
	return true
}

// IsMember tells whether this entry may fence: each entry that registered
// before it needs its answers from now on, or renews no more.
func (v *View) IsMember(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.registeredAt.IsZero() || v.expelled {
		return false
	}
	if now.Sub(v.registeredAt) > v.terms.Drifted(v.terms.Hearsay()+v.terms.Fresh()) {
		return true
	}
	for _, p := range v.peers {
		if p.registered < v.registered && !v.hasAckedOrStopped(p, now) {
			return false
		}
	}
	return true
}

func (v *View) hasAckedOrStopped(p *peer, now time.Time) bool {
	if p.acked {
		return true
	}
	if p.expelled {
		return now.Sub(p.expelledAt) > v.terms.Drifted(v.terms.Fresh())
	}
	return p.removed
}

// IsExpelled tells whether the own fence was folded; the entry must start
// again under a new name.
func (v *View) IsExpelled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.expelled
}

// Needed returns the entries whose answers are needed, in order.
func (v *View) RequiredPeers() []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []string
	for e, p := range v.peers {
		if !p.removed {
			out = append(out, e)
		}
	}
	slices.Sort(out)
	return out
}

// Silent tells for how long an entry has not answered. One that never did counts
// from the moment that its registration was read.
func (v *View) SilentFor(entry string, now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	p := v.peers[entry]
	if p == nil {
		return 0
	}
	if p.answeredAt.After(p.knownAt) {
		return now.Sub(p.answeredAt)
	}
	return now.Sub(p.knownAt)
}

func contains(set map[string]struct{}, key string) bool {
	_, ok := set[key]
	return ok
}

func union(a, b map[string]struct{}) []string {
	var out []string
	for k := range a {
		out = append(out, k)
	}
	for k := range b {
		if !contains(a, k) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}
