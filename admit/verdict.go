package admit

import "time"

// Reason is why a job is accepted or refused.
type Reason string

// Values of Reason. Only Hopeless refuses.
const (
	// InTime is a job that can be done before its result is worthless.
	InTime Reason = "in-time"
	// Repeat is a job of which an earlier try may have been stored.
	Repeat Reason = "may-be-accepted-before"
	// Lasting is a job that waits longer than a backlog lasts.
	Lasting Reason = "standing-or-scheduled"
	// NotKnown is a service whose backlog or rate is not known, or no longer.
	NotKnown Reason = "load-not-known"
	// RefusedOften is a job that was refused as often as allowed.
	RefusedOften Reason = "refused-often-enough"
	// Hopeless is a job that would be done only when its result is worthless.
	Hopeless Reason = "hopeless"
)

// Verdict is the outcome of a decision.
type Verdict struct {
	Reason Reason `json:"reason"`
	// Wait is the expected wait of the job for its first start.
	Wait time.Duration `json:"wait_ns"`
	// Return is when a refused caller should come back, from now.
	Return time.Duration `json:"return_ns,omitempty"`
}

// IsRefused reports whether the job is refused.
func (v Verdict) IsRefused() bool { return v.Reason == Hopeless }
