package fold

import (
	"maps"
	"slices"

	"github.com/berylspar/spar/wire"
)

// Snapshot returns the whole state, from which Restore makes an equal one.
func (s *State) Snapshot() *wire.Snapshot {
	out := &wire.Snapshot{Offset: s.next, Config: s.config.fact()}
	for _, k := range s.Jobs() {
		out.Jobs = append(out.Jobs, s.jobs[k].fact())
	}
	for _, f := range s.Fences() {
		out.Fences = append(out.Fences, f.fact())
	}
	for _, m := range s.Members() {
		out.Members = append(out.Members, m.fact())
	}
	for _, k := range slices.Sorted(maps.Keys(s.onces)) {
		out.Onces = append(out.Onces, s.onces[k].fact())
	}
	for _, k := range slices.Sorted(maps.Keys(s.lastNamed)) {
		out.Touches = append(out.Touches, &wire.Touch{Fact: k, Offset: s.lastNamed[k]})
	}
	return out
}

// Restore returns the state that a snapshot holds, with check as in NewState.
// Jobs that no sequence of records can produce are omitted.
func Restore(n *wire.Snapshot, check func(body []byte) error) *State {
	s := NewState(n.GetOffset(), check)
	s.config = configOf(n.GetConfig())
	for _, f := range n.GetJobs() {
		if isJob(f) {
			j := jobOf(f)
			s.jobs[j.spec.GetJob()] = j
			s.index.add(j)
		}
	}
	for _, f := range n.GetFences() {
		s.fences[f.GetSession()] = fenceOf(f)
	}
	for _, f := range n.GetMembers() {
		s.members[f.GetEntry()] = memberOf(f)
	}
	for _, f := range n.GetOnces() {
		s.onces[f.GetKey()] = onceOf(f)
	}
	for _, t := range n.GetTouches() {
		s.lastNamed[t.GetFact()] = t.GetOffset()
	}
	return s
}

// isJob reports whether a sequence of records can produce the job.
func isJob(f *wire.JobFact) bool {
	for _, t := range f.GetTasks() {
		if t.GetPhase() < 0 || t.GetPhase() >= phaseCount {
			return false
		}
	}
	return f.GetSpec() != nil && len(f.GetTasks()) > 0 && len(f.GetTasks()) <= MaxTasks
}
