package owner

import (
	"cmp"
	"time"

	"github.com/berylspar/spar/admit"
)

// AdmissionSettings tell whether jobs are refused when there is too little room.
type AdmissionSettings struct {
	// Mode is "on" or "off". With "off" every job is accepted that the store takes, and
	// all callers that are refused are told to return after a second.
	Mode string `json:"mode" jsonschema:"enum=off,enum=on,description=whether jobs are refused that would be done only when they are worth nothing; with off every job is accepted that the store takes"`
	// MaxAgeMS is the age from which what is known of the backlog is ignored.
	MaxAgeMS int64 `json:"max_age_ms" jsonschema:"minimum=100,maximum=60000,description=age from which what an entry knows of the backlog is ignored and every job accepted in ms"`
	// WorthlessAfter is how many times its objective a job may take.
	WorthlessAfter float64 `json:"worthless_after" jsonschema:"minimum=1,maximum=100,description=how many times its objective a job may take until its result is worth nothing"`
	// Margin is the factor by which the expected wait may be too high.
	Margin float64 `json:"margin" jsonschema:"minimum=1,maximum=100,description=factor by which the expected wait may be too high"`
	// MaxRefusals is how often a job is refused at most.
	MaxRefusals int `json:"max_refusals" jsonschema:"minimum=1,maximum=100,description=how often a job is refused at most for want of room"`
	// MaxReturnMS bounds how long a refused caller is sent away.
	MaxReturnMS int64 `json:"max_return_ms" jsonschema:"minimum=1000,maximum=600000,description=longest time for which a refused caller is sent away in ms"`
}

const (
	admissionOff = "off"
	admissionOn  = "on"
)

// DefaultAdmissionSettings returns the limits of admit.DefaultRules, switched off.
func DefaultAdmissionSettings() AdmissionSettings {
	r := admit.DefaultRules()
	return AdmissionSettings{
		Mode: admissionOff, MaxAgeMS: r.MaxAge.Milliseconds(), WorthlessAfter: r.WorthlessAfter, Margin: r.Margin,
		MaxRefusals: r.MaxRefusals, MaxReturnMS: r.MaxReturn.Milliseconds(),
	}
}

// isOn reports whether jobs may be refused for want of room.
func (s AdmissionSettings) isOn() bool { return s.Mode == admissionOn }

// rules returns the limits; what is 0 has its default.
func (s AdmissionSettings) rules() admit.Rules {
	d := admit.DefaultRules()
	return admit.Rules{
		MaxAge:         cmp.Or(time.Duration(s.MaxAgeMS)*time.Millisecond, d.MaxAge),
		WorthlessAfter: cmp.Or(s.WorthlessAfter, d.WorthlessAfter),
		Margin:         cmp.Or(s.Margin, d.Margin),
		MaxRefusals:    cmp.Or(s.MaxRefusals, d.MaxRefusals),
		MaxReturn:      cmp.Or(time.Duration(s.MaxReturnMS)*time.Millisecond, d.MaxReturn),
	}
}
