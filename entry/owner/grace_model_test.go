package owner

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// graceModel plays the end of an owner's term. Its messages, those of the next owner and the
// restarts of the witnesses come at random times. The decisions are those of witness,
// witnesses and the quorums; the flags break one rule each.
type graceModel struct {
	*rand.Rand
	now    time.Duration
	events modelEvents

	owner        witnesses
	expiry       time.Duration
	frozenUntil  time.Duration
	lastGrant    time.Duration
	processes    []*modelWitness
	published    bool
	electedAt    time.Duration
	confirmed    map[int]time.Duration
	settledUntil time.Duration

	confirmsUnread, fewFences, countsFromAnswer, countsFromElection bool
}

type modelEvent struct {
	at time.Duration
	do func()
}

// modelWitness is the process of a witness. hasRead is set when it has read the record of the
// newest owner, which newer tells to be the next one.
type modelWitness struct {
	witness
	hasRead, newer bool
}

const (
	modelTTL, modelSpan = time.Second, 15 * time.Second
	modelHistories      = 1000
)

// modelEvents are ordered by time, as container/heap does it.
type modelEvents []modelEvent

func (e modelEvents) Len() int           { return len(e) }
func (e modelEvents) Less(i, j int) bool { return e[i].at < e[j].at }
func (e modelEvents) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *modelEvents) Push(x any)        { *e = append(*e, x.(modelEvent)) }
func (e *modelEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (m *graceModel) after(d time.Duration, do func()) {
	heap.Push(&m.events, modelEvent{m.now + d, do})
}

// delay is mostly short, and at times some seconds.
func (m *graceModel) delay() time.Duration {
	if m.IntN(4) == 0 {
		return time.Duration(m.IntN(4000)) * time.Millisecond
	}
	return time.Duration(m.IntN(40)) * time.Millisecond
}

func (m *graceModel) clock() time.Duration { return m.now }

func (m *graceModel) run(n int) {
	m.confirmed = map[int]time.Duration{}
	m.owner.confirmedAt, m.owner.answeredAt = map[string]time.Duration{}, map[string]time.Duration{}
	for i := range n {
		m.owner.stored = append(m.owner.stored, fmt.Sprint(i))
		m.processes = append(m.processes, &modelWitness{hasRead: true})
		m.after(time.Duration(m.IntN(10_000))*time.Millisecond, func() { m.restart(i) })
		m.after(0, func() { m.askFor(i) })
		m.after(0, func() { m.read(i) })
	}
	m.expiry = time.Duration(1000+m.IntN(3000)) * time.Millisecond
	m.electedAt = m.expiry - modelTTL + time.Duration(m.IntN(5000))*time.Millisecond
	m.after(m.electedAt, func() { m.after(m.delay(), m.publish) })
	m.after(0, m.grant)
	m.after(time.Duration(m.IntN(6000))*time.Millisecond, func() { m.frozenUntil = m.now + time.Duration(m.IntN(5000))*time.Millisecond })
	for len(m.events) > 0 && m.now < modelSpan {
		e := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.do()
	}
}

// whenAwake does something at once, or when the owner has woken.
func (m *graceModel) whenAwake(do func()) { m.after(max(m.frozenUntil-m.now, 0), do) }

func (m *graceModel) grant() {
	m.whenAwake(func() {
		if m.now < m.expiry || m.owner.mayGrant(m.now) {
			m.lastGrant = m.now
		}
		m.after(10*time.Millisecond, m.grant)
	})
}

func (m *graceModel) askFor(i int) {
	m.whenAwake(func() {
		sent := m.now
		m.after(m.delay(), func() {
			p := m.processes[i]
			if m.confirmsUnread || p.hasRead && !p.newer {
				if p.confirm(1, m.clock) {
					m.after(m.delay(), func() { m.whenAwake(func() { m.receive(i, sent) }) })
				}
			}
		})
		m.after(time.Duration(50+m.IntN(300))*time.Millisecond, func() { m.askFor(i) })
	})
}

func (m *graceModel) receive(i int, sent time.Duration) {
	if m.countsFromAnswer {
		sent = m.now
	}
	m.owner.record(fmt.Sprint(i), sent, m.now, true)
}

func (m *graceModel) restart(i int) {
	m.processes[i] = &modelWitness{witness: witness{last: m.now}}
	m.after(m.delay(), func() { m.read(i) })
	m.after(time.Duration(m.IntN(6000))*time.Millisecond, func() { m.restart(i) })
}

func (m *graceModel) read(i int) {
	p, newer := m.processes[i], m.published
	p.hasRead, p.newer = true, p.newer || newer
	m.after(100*time.Millisecond, func() { m.read(i) })
}

// publish has the next owner publish its record, and ask the witnesses after that.
func (m *graceModel) publish() {
	m.published = true
	for i := range m.processes {
		m.askWhen(i)
	}
}

func (m *graceModel) askWhen(i int) {
	if _, ok := m.confirmed[i]; ok {
		return
	}
	if m.IntN(2) == 0 {
		m.after(m.delay(), func() {
			age := m.processes[i].fenceBelow(2, m.clock)
			m.after(m.delay(), func() { m.settle(i, m.now-age) })
		})
	}
	m.after(200*time.Millisecond, func() { m.askWhen(i) })
}

func (m *graceModel) settle(i int, confirmedAt time.Duration) {
	m.confirmed[i] = max(m.confirmed[i], confirmedAt)
	n := len(m.processes)
	need := fenceQuorum(n)
	if m.fewFences {
		need--
	}
	if len(m.confirmed) < need || m.settledUntil > 0 {
		return
	}
	m.settledUntil = m.electedAt + modelTTL
	if m.countsFromElection {
		m.settledUntil = m.electedAt
	}
	for _, at := range m.confirmed {
		m.settledUntil = max(m.settledUntil, at+confirmTime)
	}
}

// An owner freezes and wakes, is cut off or slow, and the witnesses restart. Once the next
// owner has settled when the last lease was granted, none may be granted later. Each rule is
// broken on purpose in turn, which must be found.
func TestNoLeaseIsGrantedAfterTheWitnessesHaveSettled(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*graceModel)
		broken bool
	}{
		"all rules": {func(*graceModel) {}, false},
		"a restarted witness confirms before it has read": {func(m *graceModel) { m.confirmsUnread = true }, true},
		"one answer too few":                              {func(m *graceModel) { m.fewFences = true }, true},
		"a confirmation counts from its answer":           {func(m *graceModel) { m.countsFromAnswer = true }, true},
		"the term is taken to be over at the election":    {func(m *graceModel) { m.countsFromElection = true }, true},
	} {
		t.Run(name, func(t *testing.T) {
			settled, late := 0, 0
			for seed := uint64(0); seed < modelHistories && late == 0; seed++ {
				m := &graceModel{Rand: rand.New(rand.NewPCG(seed, 1))}
				tt.change(m)
				m.run(1 + m.IntN(maxWitnesses))
				if m.settledUntil == 0 {
					continue
				}
				settled++
				if m.lastGrant > m.settledUntil {
					if late++; !tt.broken {
						t.Fatalf("seed %d: a lease was granted at %s, none was to be after %s", seed, m.lastGrant, m.settledUntil)
					}
				}
			}
			t.Logf("%d histories were settled, in %d a lease was granted later", settled, late)
			if tt.broken != (late > 0) || !tt.broken && settled < modelHistories/2 {
				t.Error("want a lease that is granted later if and only if a rule is broken")
			}
		})
	}
}

// Any two quorums of an owner and the next one have a witness in common, also if some do
// not answer.
func TestQuorumsMeet(t *testing.T) {
	for n := 1; n <= maxWitnesses; n++ {
		if graceQuorum(n)+fenceQuorum(n) <= n || graceQuorum(n) < 1 || fenceQuorum(n) > n {
			t.Errorf("of %d witnesses an owner needs %d and the next one %d", n, graceQuorum(n), fenceQuorum(n))
		}
	}
}
