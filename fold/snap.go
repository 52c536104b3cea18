package fold

import (
	"maps"
	"slices"

	"github.com/berylspar/spar/wire"
)

// Snapshot returns the whole state, for a reader that starts.
func (s *State) Snapshot() *wire.Snapshot {
	out := &wire.Snapshot{Offset: s.next}
	for _, k := range slices.Sorted(maps.Keys(s.marks)) {
		m := s.marks[k]
		out.Mentions = append(out.Mentions, &wire.Mention{Fact: k, Offset: m.mentioned, Kept: m.kept})
		if c := s.Carry(k); c != nil {
			out.Facts = append(out.Facts, c)
		}
	}
	return out
}

// Restore returns the state that a snapshot holds.
func Restore(n *wire.Snapshot, check func(body []byte) error) *State {
	s := NewState(0, check)
	for _, c := range n.GetFacts() {
		if matches(c) {
			s.adopt(c)
		}
	}
	for _, m := range n.GetMentions() {
		s.marks[m.GetFact()] = &mark{mentioned: m.GetOffset(), kept: m.GetKept()}
	}
	s.next = n.GetOffset()
	return s
}

// Prune drops the marks of unknown facts that were named before an offset;
// no Carry that could be valid is older.
func (s *State) Prune(before int64) {
	for k, m := range s.marks {
		if !s.has(k) && m.mentioned < before {
			delete(s.marks, k)
		}
	}
}
