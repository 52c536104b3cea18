package fold

import (
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

func (s *State) register(offset int64, r *wire.Register) Outcome {
	if s.members[r.GetEntry()] != nil {
		return void(spar.ReasonDuplicate)
	}
	s.members[r.GetEntry()] = &Member{entry: r.GetEntry(), address: r.GetAddress(), registered: offset}
	return valid()
}

func (s *State) depart(d *wire.Depart) Outcome {
	m := s.members[d.GetEntry()]
	if m == nil {
		return void(spar.ReasonUnknownFact)
	}
	if !m.IsLive() {
		return void(spar.ReasonDuplicate)
	}
	m.departed = true
	return valid()
}

func (s *State) expel(e *wire.Expel) Outcome {
	m := s.members[e.GetEntry()]
	if m == nil {
		return void(spar.ReasonUnknownFact)
	}
	if !m.IsLive() {
		return void(spar.ReasonDuplicate)
	}
	m.expelled = true
	return valid()
}
