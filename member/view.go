// Package member decides whether an entry may renew leases, and whether it may
// fence agents and expel other entries. It does no I/O and reads no clock: the
// caller passes in what was read from the log and what peers answered, with the
// time at which each request was sent. docs/design/leases.md gives the reasons
// for the rules.
package member

import (
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
)

// View holds what one entry knows about fences and about the other entries. It
// is safe for concurrent use.
type View struct {
	mu    sync.Mutex
	self  string
	terms lease.Terms

	// readAt is when the newest read that reached the head of the log was sent.
	readAt time.Time
	// registeredAt is when this entry read its own registration from the log, or
	// zero before that. registered is the offset of the registration.
	registeredAt time.Time
	registered   int64
	expelled     bool

	peers map[string]*peer
	// fenced holds the sessions whose fence this entry has read or has tried to
	// append: their leases are never renewed. reportedFences holds those that
	// peers reported: their leases are not renewed on peers' answers.
	fenced         map[string]struct{}
	reportedFences map[string]struct{}
	// expels and reportedExpels hold the same for expelled entries.
	expels         map[string]struct{}
	reportedExpels map[string]struct{}
}

// peer is another entry that has registered on the log.
type peer struct {
	// registered is the offset of the registration, and knownAt is when it was
	// read.
	registered int64
	knownAt    time.Time
	// answeredAt is when the request of the newest answer was sent.
	answeredAt time.Time
	// acked is set once the peer has read this entry's registration. From then
	// on, the peer renews leases on answers only with this entry's answer.
	acked bool
	// removed is set once the peer has announced its shutdown, departed or was
	// expelled. Its answers are no longer required.
	removed bool
	// expelled is set once the expulsion was read, which was at expelledAt. The
	// peer may renew leases without knowing of it for Terms.Fresh.
	expelledAt time.Time
	expelled   bool
}

// NewView returns the view of an entry that has not yet read from the log.
func NewView(self string, terms lease.Terms) *View {
	return &View{
		self: self, terms: terms, peers: map[string]*peer{},
		fenced: map[string]struct{}{}, reportedFences: map[string]struct{}{},
		expels: map[string]struct{}{}, reportedExpels: map[string]struct{}{},
	}
}

// ApplyState updates the view to the state after a read of the log. now must be
// a time after the read.
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

// RecordRead records that a read sent at sent has reached the head of the log.
func (v *View) RecordRead(sent time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sent.After(v.readAt) {
		v.readAt = sent
	}
}

// Answer is what an entry reports about fences and entries to a peer.
type Answer struct {
	// Fences are the agent sessions whose fence it knows or has tried to append.
	Fences []string
	// Expels are the entries whose expulsion it knows or has tried to append.
	Expels []string
	// Acked are the entries whose registration it has read from the log.
	Acked []string
}

// RecordAnswer records the answer of an entry to a request sent at sent.
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

// RecordGoodbye records that an entry shuts down and no longer renews leases,
// with the last answer that it sent.
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

// RecordFenceAttempt records that a fence of a session is about to be appended.
// It must be called before the append, because an append may take effect although
// its answer is lost.
func (v *View) RecordFenceAttempt(session string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.fenced[session] = struct{}{}
}

// RecordExpelAttempt records that the expulsion of an entry is about to be
// appended. Like RecordFenceAttempt, it must be called before the append.
func (v *View) RecordExpelAttempt(entry string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.expels[entry] = struct{}{}
}

// Answer returns what this entry reports to a peer.
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

// MayRenew returns ReasonNone if the lease of a session may be renewed now, and
// otherwise the reason why not.
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

// confirmedByPeers reports whether the answers of the other entries prove that
// neither the session nor this entry can have been fenced without this entry
// knowing of it.
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

// IsMember reports whether this entry may fence sessions and expel entries. Each
// entry that registered earlier must either require this entry's answers when it
// renews leases on peers' answers, or no longer renew leases. An earlier entry
// that has not read this registration can't renew for longer than Terms.Hearsay
// plus Terms.Fresh, so that this entry is a member after that time in any case.
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

// hasAckedOrStopped reports whether a peer requires this entry's answers to renew
// leases on peers' answers, or no longer renews leases.
func (v *View) hasAckedOrStopped(p *peer, now time.Time) bool {
	if p.acked {
		return true
	}
	if p.expelled {
		return now.Sub(p.expelledAt) > v.terms.Drifted(v.terms.Fresh())
	}
	return p.removed
}

// IsExpelled reports whether this entry has read its own expulsion from the log.
// It must then restart under a new name.
func (v *View) IsExpelled() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.expelled
}

// RequiredPeers returns, in order, the entries whose answers are required to
// renew leases without a fresh read of the log.
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

// SilentFor returns for how long an entry has not answered. If it has never
// answered, the time is counted from when its registration was read.
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
