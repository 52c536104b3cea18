package member

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/wire"
)

var histories = flag.Int("histories", 3000, "random histories of the membership model")

// The model runs the real View and the real fold for a few entries and one
// agent per session, over a log and links that fail at random. It checks that
// no lease is valid after the fence of its session has taken effect.

// mutations are deliberate faults in the rules. The check must detect each.
type mutations struct {
	omitAttemptedFences bool // answers omit fences that were attempted but not read
	skipMemberCheck     bool // a new entry may fence immediately
	noHearsayLimit      bool // an entry renews on peers' answers without a limit
	removeOnHearsay     bool // an entry is removed once a peer reports its expulsion
	emptyGoodbye        bool // a goodbye reports no fences
	leaseWaitOnly       bool // a fence takes effect after the lease time alone
}

const (
	clockStep = 50 * time.Millisecond
	sessions  = 2
)

func modelTerms() lease.Terms {
	return lease.Terms{LeaseMS: 600, FreshMS: 400, StartMS: 400, HearsayMS: 3000, DriftPermille: 0}
}

type entryModel struct {
	name string
	view *View
	// renewView decides about renewals. It is view, except under the mutation
	// noHearsayLimit, where it has a far longer limit.
	renewView *View
	state     *fold.State
	up        bool
	canRead   bool // the entry can read from the log
}

func (e *entryModel) views() []*View {
	if e.renewView == e.view {
		return []*View{e.view}
	}
	return []*View{e.view, e.renewView}
}

type model struct {
	*rand.Rand
	mutations mutations
	terms     lease.Terms
	now       time.Time
	log       []*wire.Record
	logDown   bool
	entries   []*entryModel
	cutLinks  map[string]bool
	// lease is when the lease of each session ends, and effectiveAt is when the
	// fence of the session takes effect for the first entry that read it.
	lease       map[string]time.Time
	effectiveAt map[string]time.Time
	started     int
	faults      int
	steps       int

	weights []int
	total   int
	long    bool
}

func newModel(seed uint64, mu mutations) *model {
	m := &model{Rand: rand.New(rand.NewPCG(seed, 7)), mutations: mu, terms: modelTerms(), now: time.Unix(1000, 0), cutLinks: map[string]bool{}, lease: map[string]time.Time{}, effectiveAt: map[string]time.Time{}}
	// Half of the histories advance the clock more often and begin with fewer
	// entries.
	m.long = seed%2 == 1
	m.drawWeights()
	entries := 3
	if m.long {
		entries = 1 + m.IntN(3)
	}
	for range entries {
		m.startEntry()
	}
	return m
}

// startEntry starts an entry under a new name.
func (m *model) startEntry() {
	m.started++
	e := &entryModel{name: fmt.Sprintf("e%d", m.started), state: fold.NewState(0, nil), up: true, canRead: true}
	e.view = NewView(e.name, m.terms)
	e.renewView = e.view
	if m.mutations.noHearsayLimit {
		terms := m.terms
		terms.HearsayMS = 1 << 40
		e.renewView = NewView(e.name, terms)
	}
	m.entries = append(m.entries, e)
	m.append(&wire.Record{By: e.name, Body: &wire.Record_Register{Register: &wire.Register{Entry: e.name, Address: e.name}}})
}

// append appends a record to the log. During an outage of the log, half of the
// records are lost; the others are appended although no answer arrives.
func (m *model) append(r *wire.Record) {
	if m.logDown && m.IntN(2) == 0 {
		return
	}
	m.log = append(m.log, r)
}

func (m *model) read(e *entryModel) {
	if m.logDown || !e.canRead {
		return
	}
	for i := e.state.Next(); i < int64(len(m.log)); i++ {
		e.state.Apply(i, []*wire.Record{m.log[i]})
	}
	for _, v := range e.views() {
		v.ApplyState(e.state, m.now)
		v.RecordRead(m.now)
	}
}

func link(a, b string) string { return a + ">" + b }

func (m *model) queryPeer(from, to *entryModel) {
	if from == to || !to.up || m.cutLinks[link(from.name, to.name)] {
		return
	}
	answer := to.view.Answer()
	if m.mutations.omitAttemptedFences {
		answer.Fences = slices.DeleteFunc(answer.Fences, func(s string) bool { _, folded := to.state.Fence(s); return !folded })
	}
	for _, v := range from.views() {
		v.RecordAnswer(to.name, m.now, answer)
	}
	if m.mutations.removeOnHearsay {
		for _, x := range answer.Expels {
			from.view.RecordGoodbye(x, Answer{})
		}
	}
}

func (m *model) renew(e *entryModel, s string) {
	if e.renewView.MayRenew(m.now, s) == "" {
		m.lease[s] = m.now.Add(m.terms.Lease())
	}
}

func (m *model) fence(e *entryModel, s string) {
	if !m.mutations.skipMemberCheck && !e.view.IsMember(m.now) {
		return
	}
	for _, v := range e.views() {
		v.RecordFenceAttempt(s)
	}
	m.append(&wire.Record{By: e.name, Body: &wire.Record_Fence{Fence: &wire.Fence{Session: s}}})
}

func (m *model) expel(e *entryModel, x string) {
	if !e.view.IsMember(m.now) || x == e.name {
		return
	}
	e.view.RecordExpelAttempt(x)
	m.append(&wire.Record{By: e.name, Body: &wire.Record_Expel{Expel: &wire.Expel{Entry: x}}})
}

func (m *model) goodbye(e *entryModel) {
	answer := e.view.Answer()
	if m.mutations.emptyGoodbye {
		answer = Answer{}
	}
	for _, o := range m.entries {
		if o != e && o.up && !m.cutLinks[link(e.name, o.name)] {
			for _, v := range o.views() {
				v.RecordGoodbye(e.name, answer)
			}
		}
	}
	e.up = false
	m.append(&wire.Record{By: e.name, Body: &wire.Record_Depart{Depart: &wire.Depart{Entry: e.name}}})
}

// action is an event in a history: it concerns an entry e, another entry o and a
// session s.
type action func(m *model, e, o *entryModel, s string)

func actions() []action {
	return []action{
		func(m *model, e, _ *entryModel, _ string) { m.read(e) },
		func(m *model, e, o *entryModel, _ string) { m.queryPeer(e, o) },
		func(m *model, e, _ *entryModel, s string) { m.renew(e, s) },
		func(m *model, e, _ *entryModel, s string) { m.fence(e, s) },
		func(m *model, e, o *entryModel, _ string) { m.expel(e, o.name) },
		func(m *model, _, _ *entryModel, _ string) { m.faults++; m.logDown = !m.logDown },
		func(m *model, e, _ *entryModel, _ string) { m.faults++; e.canRead = !e.canRead },
		func(m *model, e, o *entryModel, _ string) {
			m.faults++
			m.cutLinks[link(e.name, o.name)] = !m.cutLinks[link(e.name, o.name)]
		},
		func(m *model, e, _ *entryModel, _ string) { m.faults++; e.up = false },
		func(m *model, e, _ *entryModel, _ string) { m.faults++; m.goodbye(e) },
		func(m *model, _, _ *entryModel, _ string) { m.startEntry() },
		func(m *model, _, _ *entryModel, _ string) { m.now = m.now.Add(time.Duration(1+m.IntN(4)) * clockStep) },
	}
}

// baseWeights returns the weights of the actions. Each history scales the
// weights of the faults at random, so that one kind of fault may be frequent and
// another absent.
func baseWeights() []int { return []int{250, 400, 200, 20, 15, 12, 15, 30, 5, 8, 5, 120} }

func (m *model) drawWeights() {
	m.weights = baseWeights()
	for i := range m.weights {
		if i > 2 && i < len(m.weights)-1 {
			m.weights[i] = m.weights[i] * m.IntN(4) / 2
		}
		if m.long && i == len(m.weights)-1 {
			m.weights[i] *= 1 + m.IntN(4)
		}
		m.total += m.weights[i]
	}
}

func (m *model) pickAction() action {
	n := m.IntN(m.total)
	for i, w := range m.weights {
		if n < w {
			return actions()[i]
		}
		n -= w
	}
	return actions()[0]
}

// step runs one random action.
func (m *model) step() {
	m.steps++
	var up []*entryModel
	for _, e := range m.entries {
		if e.up {
			up = append(up, e)
		}
	}
	if len(up) == 0 {
		m.startEntry()
		return
	}
	e, o := up[m.IntN(len(up))], m.entries[m.IntN(len(m.entries))]
	m.pickAction()(m, e, o, fmt.Sprintf("s%d", m.IntN(sessions)))
	if e.view.IsExpelled() {
		e.up = false
	}
	m.recordFenceTimes()
}

// recordFenceTimes records, for each fence that an entry has read, when the fence
// takes effect.
func (m *model) recordFenceTimes() {
	wait := m.terms.FenceWait()
	if m.mutations.leaseWaitOnly {
		wait = m.terms.Lease()
	}
	for _, e := range m.entries {
		for _, f := range e.state.Fences() {
			if _, ok := m.effectiveAt[f.Session()]; !ok {
				m.effectiveAt[f.Session()] = m.now.Add(wait)
			}
		}
	}
}

// leaseAfterFence returns a session whose lease is valid after its fence took
// effect, or "" when there is none.
func (m *model) leaseAfterFence() string {
	for s, at := range m.effectiveAt {
		if m.now.After(at) && m.lease[s].After(m.now) {
			return s
		}
	}
	return ""
}

func runHistory(seed uint64, mu mutations) (*model, string) {
	m := newModel(seed, mu)
	for range 500 {
		m.step()
		if s := m.leaseAfterFence(); s != "" {
			return m, s
		}
	}
	return m, ""
}

// Guards against a lease that is renewed by an entry that does not know of the
// session's fence, so that it is valid after the fence took effect.
func TestNoLeaseOutlivesItsFence(t *testing.T) {
	steps, faults, fenced := 0, 0, 0
	for seed := range uint64(*histories) {
		m, s := runHistory(seed, mutations{})
		if s != "" {
			t.Fatalf("seed %d: the lease of %s is valid after its fence took effect, at step %d", seed, s, m.steps)
		}
		steps += m.steps
		faults += m.faults
		fenced += len(m.effectiveAt)
	}
	t.Logf("%d histories, %d steps, %d faults, %d fences read", *histories, steps, faults, fenced)
	if fenced == 0 {
		t.Fatal("no entry read a fence in any history, so the check was not exercised")
	}
}

// Guards against a model that is too weak to detect a fault in the rules. Each
// mutation is searched for from a seed shortly before the first one that detects
// it, which keeps the test short, and over at most 100,000 histories.
func TestModelDetectsEachMutation(t *testing.T) {
	for _, c := range []struct {
		name      string
		mutations mutations
		firstSeed uint64
	}{
		{"attempted fences omitted", mutations{omitAttemptedFences: true}, 4100},
		{"fences before membership", mutations{skipMemberCheck: true}, 4200},
		{"no limit on hearsay", mutations{noHearsayLimit: true}, 2700},
		{"removed on hearsay", mutations{removeOnHearsay: true}, 13_600},
		{"goodbye without fences", mutations{emptyGoodbye: true}, 0},
		{"wait for the lease only", mutations{leaseWaitOnly: true}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for seed := c.firstSeed; seed < c.firstSeed+100_000; seed++ {
				if m, s := runHistory(seed, c.mutations); s != "" {
					t.Logf("detected at seed %d, step %d", seed, m.steps)
					return
				}
			}
			t.Fatal("not detected in 100,000 histories")
		})
	}
}
