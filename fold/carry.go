package fold

import (
	"bytes"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// carry folds a repeated fact. It is stale when a record that names the fact
// stands between the carrier's reading and the Carry, or when this reader
// can't know whether one does. A reader that has the fact keeps its own.
func (s *State) carry(offset int64, by string, c *wire.Carry) Outcome {
	if m := s.members[by]; m != nil && m.expelled {
		return void(spar.ReasonMemberFenced)
	}
	fact := c.GetFact()
	if len(fact) > MaxName+2 || !matches(c) {
		return void(spar.ReasonInvalid)
	}
	m := s.marks[fact]
	if m != nil && m.mentioned > c.GetAsOf() {
		return void(spar.ReasonStaleCarry)
	}
	known := s.has(fact)
	if !known && c.GetAsOf() < s.first {
		return void(spar.ReasonStaleCarry)
	}
	if known && fact == ConfigFact && s.config.revision != c.GetConfig().GetRevision() {
		return void(spar.ReasonStaleCarry)
	}
	if m == nil {
		m = &mark{mentioned: -1}
		s.marks[fact] = m
	}
	m.kept = offset
	if !known {
		s.adopt(c)
	}
	return valid()
}

// matches tells whether the key of a Carry names its body.
func matches(c *wire.Carry) bool {
	switch b := c.GetBody().(type) {
	case *wire.Carry_Job:
		n := len(b.Job.GetTasks())
		return c.GetFact() == JobFact(b.Job.GetSpec().GetJob()) && n > 0 && n <= MaxTasks && hasPhases(b.Job) && len(c.GetFact()) > 2
	case *wire.Carry_Fence:
		return c.GetFact() == FenceFact(b.Fence.GetSession()) && len(c.GetFact()) > 2
	case *wire.Carry_Member:
		return c.GetFact() == MemberFact(b.Member.GetEntry()) && len(c.GetFact()) > 2
	case *wire.Carry_Once:
		return c.GetFact() == OnceFact(b.Once.GetKey()) && len(c.GetFact()) > 2
	case *wire.Carry_Config:
		return c.GetFact() == ConfigFact && b.Config.GetRevision() > 0
	}
	return false
}

func hasPhases(f *wire.JobFact) bool {
	for _, t := range f.GetTasks() {
		if t.GetPhase() < 0 || t.GetPhase() >= phases {
			return false
		}
	}
	return true
}

func (s *State) adopt(c *wire.Carry) {
	switch b := c.GetBody().(type) {
	case *wire.Carry_Job:
		j := jobOf(b.Job)
		s.jobs[j.spec.GetJob()] = j
		s.index.add(j)
	case *wire.Carry_Fence:
		f := b.Fence
		s.fences[f.GetSession()] = &Fence{session: f.GetSession(), worker: f.GetWorker(), reason: f.GetReason(), lapsed: f.GetLapsed()}
	case *wire.Carry_Member:
		m := b.Member
		s.members[m.GetEntry()] = &Member{entry: m.GetEntry(), address: m.GetAddress(), departed: m.GetDeparted(), expelled: m.GetExpelled(), registered: m.GetRegistered()}
	case *wire.Carry_Once:
		o := b.Once
		s.onces[o.GetKey()] = &Once{key: o.GetKey(), id: o.GetId(), settled: o.GetSettled(), status: o.GetStatus(), body: bytes.Clone(o.GetBody()), truncated: o.GetTruncated()}
	case *wire.Carry_Config:
		f := b.Config
		s.config = Config{revision: f.GetRevision(), body: f.GetBody(), author: f.GetAuthor(), id: f.GetId()}
	}
}

// Carry returns a record body that repeats a fact as it is now, or nil when
// the fact is not known.
func (s *State) Carry(fact string) *wire.Carry {
	if !s.has(fact) {
		return nil
	}
	c := &wire.Carry{Fact: fact, AsOf: s.next - 1}
	if fact == ConfigFact {
		c.Body = &wire.Carry_Config{Config: s.config.fact()}
		return c
	}
	id := fact[2:]
	switch fact[0] {
	case 'j':
		c.Body = &wire.Carry_Job{Job: s.jobs[id].fact()}
	case 'f':
		c.Body = &wire.Carry_Fence{Fence: s.fences[id].fact()}
	case 'm':
		c.Body = &wire.Carry_Member{Member: s.members[id].fact()}
	case 'o':
		c.Body = &wire.Carry_Once{Once: s.onces[id].fact()}
	}
	return c
}
