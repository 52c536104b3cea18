package fold

import "github.com/berylspar/spar"

// Outcome tells what a record did. The zero value is a valid record.
type Outcome struct {
	reason spar.Reason
}

// IsValid tells whether the record took effect.
func (o Outcome) IsValid() bool { return o.reason == spar.ReasonNone }

// Reason tells why the record is void.
func (o Outcome) Reason() spar.Reason { return o.reason }

func void(r spar.Reason) Outcome { return Outcome{reason: r} }

func valid() Outcome { return Outcome{} }
