package fold

import (
	"bytes"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
)

// Limits of a record. A record that exceeds them is void for every reader.
const (
	// MaxTasks is the largest number of tasks in a job.
	MaxTasks = 1000
	// MaxNameBytes is the length limit of a name or key.
	MaxNameBytes = 128
	// MaxCrashes is the number of crashes after which a task is set aside.
	MaxCrashes = 3
)

// Apply folds the records of the log entry at an offset, which must not be below
// Next. It returns the outcome of each record, in order.
func (s *State) Apply(offset int64, records []*wire.Record) []Outcome {
	if offset < s.next {
		panic(errors.AssertionFailedf("log entry at offset %d applied, want %d or later", offset, s.next))
	}
	out := make([]Outcome, 0, len(records))
	for _, r := range records {
		o := s.applyRecord(offset, r)
		if !o.IsValid() {
			s.voids++
		}
		out = append(out, o)
	}
	s.next = offset + 1
	return out
}

// applyRecord folds one record. A part of a snapshot is valid but changes nothing.
func (s *State) applyRecord(offset int64, r *wire.Record) Outcome {
	if r.GetPart() != nil {
		return valid()
	}
	fact := FactOf(r)
	if fact == "" {
		return void(spar.ReasonInvalid)
	}
	o := s.applyBody(offset, r)
	if o.IsValid() && s.hasFact(fact) {
		s.lastNamed[fact] = offset
	}
	return o
}

// FactOf returns the key of the fact that a record names, or "" if the record
// names none or the name is empty or too long.
func FactOf(r *wire.Record) string {
	fact := ""
	switch b := r.GetBody().(type) {
	case *wire.Record_Submit:
		fact = JobFact(b.Submit.GetJob())
	case *wire.Record_Claim:
		fact = JobFact(b.Claim.GetTask().GetJob())
	case *wire.Record_End:
		fact = JobFact(b.End.GetTask().GetJob())
	case *wire.Record_Evict:
		fact = JobFact(b.Evict.GetTask().GetJob())
	case *wire.Record_Cancel:
		fact = JobFact(b.Cancel.GetJob())
	case *wire.Record_Fence:
		fact = FenceFact(b.Fence.GetSession())
	case *wire.Record_Lapse:
		fact = FenceFact(b.Lapse.GetSession())
	case *wire.Record_Register:
		fact = MemberFact(b.Register.GetEntry())
	case *wire.Record_Depart:
		fact = MemberFact(b.Depart.GetEntry())
	case *wire.Record_Expel:
		fact = MemberFact(b.Expel.GetEntry())
	case *wire.Record_Configure:
		return ConfigFact
	case *wire.Record_Once:
		fact = OnceFact(b.Once.GetKey())
	case *wire.Record_Settle:
		fact = OnceFact(b.Settle.GetKey())
	case *wire.Record_Forget:
		fact = b.Forget.GetFact()
	}
	// A key is a name after a prefix of two bytes.
	if len(fact) < 3 || len(fact) > MaxNameBytes+2 {
		return ""
	}
	return fact
}

func (s *State) applyBody(offset int64, r *wire.Record) Outcome {
	if m := s.members[r.GetBy()]; m != nil && m.expelled {
		return void(spar.ReasonMemberFenced)
	}
	switch b := r.GetBody().(type) {
	case *wire.Record_Submit:
		return s.submit(offset, r.GetId(), b.Submit)
	case *wire.Record_Claim:
		return s.claim(b.Claim)
	case *wire.Record_End:
		return s.end(b.End)
	case *wire.Record_Evict:
		return s.evict(b.Evict)
	case *wire.Record_Cancel:
		return s.cancel(b.Cancel)
	case *wire.Record_Fence:
		return s.fence(b.Fence)
	case *wire.Record_Lapse:
		return s.lapse(b.Lapse)
	case *wire.Record_Register:
		return s.register(offset, b.Register)
	case *wire.Record_Depart:
		return s.depart(b.Depart)
	case *wire.Record_Expel:
		return s.expel(b.Expel)
	case *wire.Record_Configure:
		return s.configure(r.GetId(), b.Configure)
	case *wire.Record_Once:
		return s.once(r.GetId(), b.Once)
	case *wire.Record_Settle:
		return s.settle(b.Settle)
	case *wire.Record_Forget:
		return s.forget(b.Forget)
	}
	return void(spar.ReasonInvalid)
}

func (s *State) configure(id []byte, c *wire.Configure) Outcome {
	if bytes.Equal(id, s.config.id) && len(id) > 0 {
		return void(spar.ReasonDuplicate)
	}
	if c.GetBase() != s.config.revision {
		return void(spar.ReasonStaleBase)
	}
	if s.check != nil && s.check(c.GetBody()) != nil {
		return void(spar.ReasonInvalid)
	}
	s.config = Config{revision: c.GetBase() + 1, body: c.GetBody(), author: c.GetAuthor(), id: id}
	return valid()
}

func (s *State) once(id []byte, request *wire.Once) Outcome {
	if s.onces[request.GetKey()] != nil {
		return void(spar.ReasonKeyTaken)
	}
	s.onces[request.GetKey()] = &Once{key: request.GetKey(), id: id}
	return valid()
}

func (s *State) settle(settlement *wire.Settle) Outcome {
	request := s.onces[settlement.GetKey()]
	if request == nil {
		return void(spar.ReasonUnknownFact)
	}
	if request.settled {
		return void(spar.ReasonDuplicate)
	}
	if !bytes.Equal(request.id, settlement.GetHolder()) {
		return void(spar.ReasonKeyTaken)
	}
	if settlement.GetNotRun() {
		s.removeFact(OnceFact(settlement.GetKey()))
		return valid()
	}
	request.settled = true
	request.status = settlement.GetStatus()
	request.body = settlement.GetBody()
	request.truncated = settlement.GetTruncated()
	return valid()
}

// forget removes a fact for which IsForgettable holds, and no other.
func (s *State) forget(f *wire.Forget) Outcome {
	fact := f.GetFact()
	if fact == ConfigFact || !s.hasFact(fact) {
		return void(spar.ReasonUnknownFact)
	}
	if !s.IsForgettable(fact) {
		return void(spar.ReasonWrongPhase)
	}
	s.removeFact(fact)
	return valid()
}
