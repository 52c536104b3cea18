package lease

import "time"

// Terms are the durations that leases and fences are computed from. All daemons
// of one deployment must use the same values.
type Terms struct {
	// LeaseMS is how long a renewal lets an agent run batch tasks, counted from
	// when the renewal request was sent, in milliseconds.
	LeaseMS int64 `json:"lease_ms" jsonschema:"minimum=500,maximum=60000,description=length of an agent's lease in ms"`
	// FreshMS is the age of the last read of the log's head up to which an entry
	// may renew leases, in milliseconds.
	FreshMS int64 `json:"fresh_ms" jsonschema:"minimum=100,maximum=10000,description=age of the last read of the log up to which an entry may renew leases in ms"`
	// StartMS is the age of the known configuration up to which an agent may
	// start a task, in milliseconds.
	StartMS int64 `json:"start_ms" jsonschema:"minimum=200,maximum=2500,description=age of the known configuration up to which a task may start in ms"`
	// DriftPermille bounds the rate difference between two monotonic clocks, in
	// thousandths.
	DriftPermille int64 `json:"drift_permille" jsonschema:"minimum=0,maximum=100,description=bound on the drift between two monotonic clocks in thousandths"`
	// HearsayMS bounds how long an entry renews leases on its peers' answers
	// alone, counted from its last read of the log, in milliseconds (H). With 0
	// only reads of the log count.
	HearsayMS int64 `json:"hearsay_ms" jsonschema:"minimum=0,maximum=86400000,description=longest time that an entry renews on the word of its peers since it last read the log in ms (0: log only)"`
}

// DefaultTerms returns terms with which no task starts in a failure domain later
// than 3 s after the domain was closed.
func DefaultTerms() Terms {
	return Terms{LeaseMS: 3000, FreshMS: 1000, StartMS: 2000, DriftPermille: 10, HearsayMS: 3_600_000}
}

// Lease returns the duration of a lease.
func (t Terms) Lease() time.Duration { return time.Duration(t.LeaseMS) * time.Millisecond }

// Fresh returns the age up to which knowledge of the log counts as fresh.
func (t Terms) Fresh() time.Duration { return time.Duration(t.FreshMS) * time.Millisecond }

// Start returns the age of the configuration up to which a task may start.
func (t Terms) Start() time.Duration { return time.Duration(t.StartMS) * time.Millisecond }

// Hearsay returns HearsayMS as a duration.
func (t Terms) Hearsay() time.Duration { return time.Duration(t.HearsayMS) * time.Millisecond }

// Drifted returns how long to wait on one clock to be sure that d has passed on
// another, given the bound on the drift between them.
func (t Terms) Drifted(d time.Duration) time.Duration {
	return d + d*time.Duration(2*t.DriftPermille)/1000
}

// FenceWait returns the time after reading a fence until no lease that was
// renewed without knowledge of the fence can still be valid.
func (t Terms) FenceWait() time.Duration {
	return t.Drifted(t.Fresh() + t.Lease())
}
