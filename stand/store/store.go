// Package store is an in-memory stand-in for the platform's store: a linearizable
// partitioned log with compacted topics, idempotent producers with epochs, and
// consumer groups with generations. Tests inject faults through a Client.
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

// RecordBytes and CallBytes are the largest record and the largest append that the
// store accepts.
const (
	RecordBytes = 256 << 10
	CallBytes   = 2 << 20
)

// keptOffsets is the number of a producer's last appends of which a repeat is
// recognized and answered with the offset of the first.
const keptOffsets = 5

// Store is the store. The zero value is an empty store.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	groups map[string]*group
	// appended is closed by the next append to any topic; nil without readers.
	appended chan struct{}
	// writes and reads count calls.
	writes, reads int
}

// topic is the first partition of a topic, the only one that the system uses.
type topic struct {
	firstOffset   int64
	records       []spar.Record
	newestOffsets map[string]int64
	newestRecords map[string]spar.Record
	producers     map[string]*producerState
}

type producerState struct {
	epoch, lastSeq int64
	started        bool
	offsets        map[int64]int64
}

type group struct {
	generation int64
	members    map[string]*member
	owners     []string
	// ownedSince is the generation in which each partition was assigned to its
	// owner.
	ownedSince []int64
}

type member struct {
	expiresAt time.Time
	// seenGeneration is the generation that the member sent with its last join.
	seenGeneration int64
}

func (s *Store) topic(name string) *topic {
	if s.topics == nil {
		s.topics = map[string]*topic{}
	}
	t := s.topics[name]
	if t == nil {
		t = &topic{newestOffsets: map[string]int64{}, newestRecords: map[string]spar.Record{}, producers: map[string]*producerState{}}
		s.topics[name] = t
	}
	return t
}

// Append appends records under a producer's epoch and sequence, if one is given.
func (s *Store) Append(topicName string, p *spar.Producer, records []spar.Record) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if err := checkSizes(records); err != nil {
		return 0, err
	}
	t := s.topic(topicName)
	if p != nil {
		if offset, done, err := t.checkProducer(*p, len(records) == 0); done || err != nil {
			return offset, err
		}
	}
	offset := t.firstOffset + int64(len(t.records))
	for i, r := range records {
		t.records = append(t.records, r)
		if len(r.Value) == 0 {
			delete(t.newestOffsets, r.Key)
			delete(t.newestRecords, r.Key)
			continue
		}
		t.newestOffsets[r.Key] = offset + int64(i)
		t.newestRecords[r.Key] = r
	}
	if p != nil && len(records) > 0 {
		q := t.producers[p.Name]
		q.offsets[p.Seq] = offset
		delete(q.offsets, p.Seq-keptOffsets)
	}
	if s.appended != nil {
		close(s.appended)
		s.appended = nil
	}
	return offset, nil
}

// checkSizes rejects records that exceed the limits of the store. A record also
// holds its key and one byte for the length of the key.
func checkSizes(records []spar.Record) error {
	total := 0
	for _, r := range records {
		n := 1 + len(r.Key) + len(r.Value)
		if n > RecordBytes {
			return errors.Mark(errors.Mark(errors.Newf("store: record %q of %d bytes, at most %d", r.Key, n, RecordBytes), spar.ErrInvalid), spar.ErrRefused)
		}
		total += 4 + n
	}
	if total > CallBytes {
		return errors.Mark(errors.Mark(errors.Newf("store: append of %d bytes, at most %d", total, CallBytes), spar.ErrInvalid), spar.ErrRefused)
	}
	return nil
}

// checkProducer checks a producer's epoch and sequence number. It returns true,
// with the offset of the first append, when nothing is to be appended: a repeat
// or an append without records, which only raises the epoch.
func (t *topic) checkProducer(p spar.Producer, empty bool) (int64, bool, error) {
	q := t.producers[p.Name]
	if q == nil {
		q = &producerState{offsets: map[int64]int64{}}
		t.producers[p.Name] = q
	}
	switch {
	case p.Epoch < q.epoch:
		return 0, false, errors.Wrapf(spar.ErrFenced, "epoch %d, newest %d", p.Epoch, q.epoch)
	case p.Epoch > q.epoch:
		*q = producerState{epoch: p.Epoch, offsets: map[int64]int64{}}
	}
	if empty {
		return 0, true, nil
	}
	if offset, ok := q.offsets[p.Seq]; ok {
		return offset, true, nil
	}
	if q.started && p.Seq != q.lastSeq+1 {
		return 0, false, errors.Wrapf(spar.ErrSequence, "sequence %d, expected %d", p.Seq, q.lastSeq+1)
	}
	q.started, q.lastSeq = true, p.Seq
	return 0, false, nil
}

// Read returns the records from an offset on or, when there are none, a channel
// that is closed at the next append.
func (s *Store) Read(name string, from int64) (spar.Batch, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	t := s.topic(name)
	if from < t.firstOffset {
		return spar.Batch{}, nil, errors.Wrapf(spar.ErrGone, "offset %d, first %d", from, t.firstOffset)
	}
	end := t.firstOffset + int64(len(t.records))
	if from < end {
		return spar.Batch{Records: slices.Clone(t.records[from-t.firstOffset:]), Next: end}, nil, nil
	}
	if s.appended == nil {
		s.appended = make(chan struct{})
	}
	return spar.Batch{Next: from}, s.appended, nil
}

// Newest returns the newest record of each key.
func (s *Store) Newest(name string) spar.Batch {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	t := s.topic(name)
	out := spar.Batch{Next: t.firstOffset + int64(len(t.records))}
	for _, k := range slices.Sorted(maps.Keys(t.newestRecords)) {
		out.Records = append(out.Records, t.newestRecords[k])
	}
	return out
}

// Compact drops the history of a topic; the newest record of each key stays
// readable by Newest.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.firstOffset += int64(len(t.records))
	t.records = nil
}

// Join enters a group or stays in it.
func (s *Store) Join(m spar.Member, now time.Time) spar.Membership {
	s.mu.Lock()
	defer s.mu.Unlock()
	g := s.group(m.Group, now)
	if g.members[m.Name] == nil {
		g.members[m.Name] = &member{}
		g.assign()
	}
	g.members[m.Name].expiresAt = now.Add(m.TTL)
	g.members[m.Name].seenGeneration = m.Generation
	out := spar.Membership{Generation: g.generation}
	for i, o := range g.owners {
		if o == m.Name && g.isReleased(i, m.Name) {
			out.Partitions = append(out.Partitions, i)
		}
	}
	return out
}

// isReleased reports whether no other member can still believe that it owns a
// partition: each has seen the generation in which it was assigned, or has just
// joined.
func (g *group) isReleased(part int, owner string) bool {
	for name, m := range g.members {
		if name != owner && m.seenGeneration < g.ownedSince[part] && m.seenGeneration > 0 {
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
		g.assign()
	}
}

// Rebalance moves each partition to another member at once, without waiting until
// the previous owners know.
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
	for i := range g.ownedSince {
		g.ownedSince[i] = 0
	}
}

// group returns a group after removing the members whose TTL has passed.
func (s *Store) group(name string, now time.Time) *group {
	if s.groups == nil {
		s.groups = map[string]*group{}
	}
	g := s.groups[name]
	if g == nil {
		g = &group{members: map[string]*member{}, owners: make([]string, Partitions), ownedSince: make([]int64, Partitions)}
		s.groups[name] = g
	}
	expired := false
	for n, m := range g.members {
		if now.After(m.expiresAt) && !m.expiresAt.IsZero() {
			delete(g.members, n)
			expired = true
		}
	}
	if expired {
		g.assign()
	}
	return g
}

// assign distributes the partitions evenly over the members and moves as few as
// it can. A member with too many loses those with the lowest numbers.
func (g *group) assign() {
	g.generation++
	names := slices.Sorted(maps.Keys(g.members))
	if len(names) == 0 {
		g.owners = make([]string, Partitions)
		return
	}
	maxParts := (Partitions + len(names) - 1) / len(names)
	assigned := map[string]int{}
	for i, o := range slices.Backward(g.owners) {
		if g.members[o] == nil || assigned[o] >= maxParts {
			g.owners[i] = ""
			continue
		}
		assigned[o]++
	}
	for i, o := range g.owners {
		if o != "" {
			continue
		}
		target := slices.MinFunc(names, func(a, b string) int { return assigned[a] - assigned[b] })
		g.owners[i], g.ownedSince[i] = target, g.generation
		assigned[target]++
	}
}

// CallCounts returns the numbers of writing and reading calls.
func (s *Store) CallCounts() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes, s.reads
}
