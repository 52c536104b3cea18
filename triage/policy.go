package triage

// Policy names an order. The zero value is LeastWork.
type Policy string

const (
	// LeastWork puts jobs past their objective last and those with the least
	// estimated work left first. It believes the callers' estimates.
	LeastWork Policy = "least-work"
	// Value orders by prospect and by worth for the work that is left, with run
	// times learnt from what has ended.
	Value Policy = "value"
)

// LearnsRunTimes reports whether the policy corrects estimates.
func (p Policy) LearnsRunTimes() bool { return p == Value }
