package fold

import (
	"maps"
	"slices"

	"github.com/berylspar/spar/wire"
)

// State is the agreed state at an offset. It is not safe for concurrent use: the
// caller must guard reads against a concurrent Apply.
type State struct {
	next    int64
	config  Config
	jobs    map[string]*Job
	fences  map[string]*Fence
	members map[string]*Member
	onces   map[string]*Once
	// lastNamed is the offset of the newest valid record that named each fact.
	lastNamed map[string]int64
	voids     int64
	index     index
	check     func(body []byte) error
}

// NewState returns the empty state before the log entry at offset first. check
// returns an error for a configuration that must be void; it must be a pure
// function, so that all readers agree. A nil check accepts all configurations.
func NewState(first int64, check func(body []byte) error) *State {
	return &State{
		next: first, check: check, index: newIndex(),
		jobs: map[string]*Job{}, fences: map[string]*Fence{}, members: map[string]*Member{},
		onces: map[string]*Once{}, lastNamed: map[string]int64{},
	}
}

// Next returns the offset of the next log entry to apply.
func (s *State) Next() int64 { return s.next }

// Voids returns the number of void records applied.
func (s *State) Voids() int64 { return s.voids }

// Config returns the configuration in force.
func (s *State) Config() Config { return s.config }

// Job returns a job, or nil if there is none with the id.
func (s *State) Job(id string) *Job { return s.jobs[id] }

// Jobs returns the ids of all jobs in order.
func (s *State) Jobs() []string { return slices.Sorted(maps.Keys(s.jobs)) }

// Fence returns the fence of a session.
func (s *State) Fence(session string) (Fence, bool) {
	f, ok := s.fences[session]
	if !ok {
		return Fence{}, false
	}
	return *f, true
}

// Fences returns all fences in the order of their sessions.
func (s *State) Fences() []Fence {
	out := make([]Fence, 0, len(s.fences))
	for _, k := range slices.Sorted(maps.Keys(s.fences)) {
		out = append(out, *s.fences[k])
	}
	return out
}

// Member returns an entry that registered.
func (s *State) Member(entry string) (Member, bool) {
	m, ok := s.members[entry]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Members returns all entries in the order of their sessions.
func (s *State) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, k := range slices.Sorted(maps.Keys(s.members)) {
		out = append(out, *s.members[k])
	}
	return out
}

// Once returns the request that holds a key.
func (s *State) Once(key string) (Once, bool) {
	o, ok := s.onces[key]
	if !ok {
		return Once{}, false
	}
	return *o, true
}

// Forgettable returns, in order, the facts that may be forgotten and that no
// valid record at or after an offset has named.
func (s *State) Forgettable(offset int64) []string {
	var out []string
	for k, offsetNamed := range s.lastNamed {
		if offsetNamed < offset && s.IsForgettable(k) {
			out = append(out, k)
		}
	}
	slices.Sort(out)
	return out
}

// hasFact reports whether the state holds a fact.
func (s *State) hasFact(fact string) bool {
	if fact == ConfigFact {
		return s.config.revision > 0
	}
	id := fact[2:]
	switch fact[0] {
	case 'j':
		return s.jobs[id] != nil
	case 'f':
		return s.fences[id] != nil
	case 'm':
		return s.members[id] != nil
	case 'o':
		return s.onces[id] != nil
	}
	return false
}

func (s *State) removeFact(fact string) {
	delete(s.lastNamed, fact)
	id := fact[2:]
	switch fact[0] {
	case 'j':
		s.index.remove(s.jobs[id])
		delete(s.jobs, id)
	case 'f':
		delete(s.fences, id)
	case 'm':
		delete(s.members, id)
	case 'o':
		delete(s.onces, id)
	}
}

// task returns the task that r names and its job, or nil if there is none.
func (s *State) task(r *wire.TaskRef) (*Job, *Task) {
	j := s.jobs[r.GetJob()]
	if j == nil || int(r.GetIndex()) >= len(j.tasks) {
		return nil, nil
	}
	return j, &j.tasks[r.GetIndex()]
}

// IsForgettable reports whether a fact may be forgotten: the job has ended, the
// fence has lapsed, or the entry is no longer live. The fact of a request may be
// forgotten at any time, and the configuration never.
func (s *State) IsForgettable(fact string) bool {
	if fact == ConfigFact || !s.hasFact(fact) {
		return false
	}
	id := fact[2:]
	switch fact[0] {
	case 'j':
		return s.jobs[id].IsEnded()
	case 'f':
		return s.fences[id].lapsed
	case 'm':
		return !s.members[id].IsLive()
	}
	return true
}
