package admit

import "time"

// Rules are the limits of a decision.
type Rules struct {
	// MaxAge is the age from which a Load is ignored.
	MaxAge time.Duration
	// WorthlessAfter is how many times its objective a job may take until its result
	// is worth nothing to its caller.
	WorthlessAfter float64
	// Margin is the factor by which the expected wait may be too high.
	Margin float64
	// MaxRefusals is how often a job is refused at most.
	MaxRefusals int
	// MaxReturn bounds how long a refused caller is sent away.
	MaxReturn time.Duration
}

// DefaultRules returns rules for results that count up to three times their objective
// and estimates that are off by a factor of two.
func DefaultRules() Rules {
	return Rules{MaxAge: 2 * time.Second, WorthlessAfter: 3, Margin: 2, MaxRefusals: 3, MaxReturn: 8 * time.Second}
}
