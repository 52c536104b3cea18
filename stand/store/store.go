// Package store stands in for the platform's store in memory: a linearizable
// partitioned log with compacted topics, idempotent producers with epochs, and
// consumer groups with generations. Faults are switched on by the tests.
package store

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// Partitions is the number of partitions of a topic.
const Partitions = 12

// repeats is how many of a producer's last appends are answered again.
const repeats = 5

// Store is the store. The zero value is empty and healthy.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	grown  chan struct{}
	// writes and reads count the calls that were served.
	writes, reads int
}

// topic is the first partition of a topic; the system uses no other.
type topic struct {
	first     int64
	records   []spar.Record
	newest    map[string]int64
	latest    map[string]spar.Record
	producers map[string]*sequence
}

type sequence struct {
	epoch, last int64
	started     bool
	answers     map[int64]int64
}

type group struct {
	generation int64
	members    map[string]*member
	owners     []string
	// since is the generation from which each partition belongs to its owner.
	since []int64
}

type member struct {
	expires time.Time
	seen    int64
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]int64{}, latest: map[string]spar.Record{}, producers: map[string]*sequence{}}
		s.topics[name] = t
	}
	return t
}

// Append appends records under a producer's epoch and sequence, if one is given.
func (s *Store) Append(name string, p *spar.Producer, records []spar.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	t := s.topic(name)
	if p != nil {
		if offset, done, err := t.admit(*p, len(records) == 0); done || err != nil {
			return offset, err
		}
	}
	offset := t.first + int64(len(t.records))
	for i, r := range records {
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
			delete(t.latest, r.Key)
			continue
		}
		t.newest[r.Key] = offset + int64(i)
		t.latest[r.Key] = r
	}
	if p != nil && len(records) > 0 {
		q := t.producers[p.Name]
		q.answers[p.Seq] = offset
		delete(q.answers, p.Seq-repeats)
	}
	if s.grown != nil {
		close(s.grown)
		s.grown = nil
	}
	return offset, nil
}

// admit checks a producer's epoch and sequence. It tells true when the append
// was done before.
func (t *topic) admit(p spar.Producer, empty bool) (int64, bool, error) {
	q := t.producers[p.Name]
	if q == nil {
		q = &sequence{answers: map[int64]int64{}}
		t.producers[p.Name] = q
	}
	switch {
	case p.Epoch < q.epoch:
		return 0, false, errors.Wrapf(spar.ErrFenced, "epoch %d, newest %d", p.Epoch, q.epoch)
	case p.Epoch > q.epoch:
		*q = sequence{epoch: p.Epoch, answers: map[int64]int64{}}
	}
	if empty {
		return 0, true, nil
	}
	if offset, ok := q.answers[p.Seq]; ok {
		return offset, true, nil
	}
	if q.started && p.Seq != q.last+1 {
		return 0, false, errors.Wrapf(spar.ErrSequence, "sequence %d, expected %d", p.Seq, q.last+1)
	}
	q.started, q.last = true, p.Seq
	return 0, false, nil
}

// Read returns the records from an offset on, and what is closed when there
// are more.
func (s *Store) Read(name string, from int64) (spar.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	t := s.topic(name)
	if from < t.first {
		return spar.Batch{}, nil, errors.Wrapf(spar.ErrGone, "offset %d, first %d", from, t.first)
	}
	end := t.first + int64(len(t.records))
	if from < end {
		return spar.Batch{Records: slices.Clone(t.records[from-t.first:]), Next: end}, nil, nil
	}
	if s.grown == nil {
		s.grown = make(chan struct{})
	}
	return spar.Batch{Next: from}, s.grown, nil
}

// Newest returns the newest record of each key.
func (s *Store) Newest(name string) spar.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	t := s.topic(name)
	out := spar.Batch{Next: t.first + int64(len(t.records))}
	for _, k := range slices.Sorted(maps.Keys(t.latest)) {
		out.Records = append(out.Records, t.latest[k])
	}
	return out
}

// Compact drops the history of a topic; the newest record of each key stays
// readable by Newest.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.first += int64(len(t.records))
	t.records = nil
}

// Join enters a group or stays in it.
func (s *Store) Join(m spar.Member, now time.Time) spar.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(m.Group, now)
	if g.members[m.Name] == nil {
		g.members[m.Name] = &member{}
		g.deal()
	}
	g.members[m.Name].expires = now.Add(m.TTL)
	g.members[m.Name].seen = m.Generation
	out := spar.Membership{Generation: g.generation}
	for i, o := range g.owners {
		if o == m.Name && g.released(i, m.Name) {
			out.Partitions = append(out.Partitions, i)
		}
	}
	return out
}

// released tells whether every other member knows that a partition has gone to
// its owner.
func (g *group) released(part int, owner string) bool {
	for name, m := range g.members {
		if name != owner && m.seen < g.since[part] && m.seen > 0 {
			return false
		}
	}
	return true
}

// Leave takes a member out of a group.
func (s *Store) Leave(name, member string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name, now)
	if g.members[member] != nil {
		delete(g.members, member)
		g.deal()
	}
}

// Rebalance deals all partitions anew at once, without waiting for the members
// that held them.
func (s *Store) Rebalance(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(name, now)
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	for i, o := range g.owners {
		if o != "" {
			g.owners[i] = names[(slices.Index(names, o)+1)%len(names)]
		}
	}
	for i := range g.since {
		g.since[i] = 0
	}
}

// group returns a group without the members that have been silent too long.
func (s *Store) group(name string, now time.Time) *group {
	if s.groups == nil {
		s.groups = map[string]*group{}
	}
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owners: make([]string, Partitions), since: make([]int64, Partitions)}
		s.groups[name] = g
	}
	gone := false
	for n, m := range g.members {
		if now.After(m.expires) && !m.expires.IsZero() {
			delete(g.members, n)
			gone = true
		}
	}
	if gone {
		g.deal()
	}
	return g
}

// deal spreads the partitions over the members, and moves as few as it can:
// members give their first ones away.
func (g *group) deal() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		g.owners = make([]string, Partitions)
		return
	}
	most := (Partitions + len(names) - 1) / len(names)
	count := map[string]int{}
	for i, o := range slices.Backward(g.owners) {
		if g.members[o] == nil || count[o] >= most {
			g.owners[i] = ""
			continue
		}
		count[o]++
	}
	for i, o := range g.owners {
		if o != "" {
			continue
		}
		next := slices.MinFunc(names, func(a, b string) int { return count[a] - count[b] })
		g.owners[i], g.since[i] = next, g.generation
		count[next]++
	}
}

// Counts returns how many writing and reading calls were served.
func (s *Store) Counts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}
