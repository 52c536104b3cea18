package fold

import "github.com/berylspar/spar"

// Outcome is the result of folding a record. The zero value stands for a valid
// record.
type Outcome struct {
	reason spar.Reason
}

// IsValid reports whether the record took effect.
func (o Outcome) IsValid() bool { return o.reason == spar.ReasonNone }

// Reason returns why the record is void, or ReasonNone for a valid record.
func (o Outcome) Reason() spar.Reason { return o.reason }

func void(r spar.Reason) Outcome { return Outcome{reason: r} }

func valid() Outcome { return Outcome{} }
