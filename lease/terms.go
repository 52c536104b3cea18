package lease

import "time"

// Terms are the times that leases and fences are made of. All daemons of one
// deployment must hold the same ones.
type Terms struct {
	// LeaseMS is how long a renewal lets an agent run batch tasks, from the
	// sending of its question, in milliseconds.
	LeaseMS int64 `json:"lease_ms" jsonschema:"minimum=500,maximum=60000,description=length of an agent's lease in ms"`
	// FreshMS is the age of the log's head up to which an entry may renew.
	FreshMS int64 `json:"fresh_ms" jsonschema:"minimum=100,maximum=10000,description=age of the last read of the log up to which an entry may renew leases in ms"`
	// StartMS is the age of the configuration up to which an agent may start.
	StartMS int64 `json:"start_ms" jsonschema:"minimum=200,maximum=2500,description=age of the known configuration up to which a task may start in ms"`
	// DriftPermille bounds the difference in the rate of two clocks.
	DriftPermille int64 `json:"drift_permille" jsonschema:"minimum=0,maximum=100,description=bound on the drift between two monotonic clocks in thousandths"`
	// HearsayMS bounds how long an entry lives on its peers' word alone (H).
	HearsayMS int64 `json:"hearsay_ms" jsonschema:"minimum=0,maximum=86400000,description=longest time that an entry renews on the word of its peers since it last read the log in ms (0: log only)"`
}

// DefaultTerms returns the terms that keep a closed domain's promise of 3 s.
func DefaultTerms() Terms {
	return Terms{LeaseMS: 3000, FreshMS: 1000, StartMS: 2000, DriftPermille: 10, HearsayMS: 3_600_000}
}

// Lease is the length of a lease.
func (t Terms) Lease() time.Duration { return time.Duration(t.LeaseMS) * time.Millisecond }

// Fresh is the age up to which knowledge of the log is fresh.
func (t Terms) Fresh() time.Duration { return time.Duration(t.FreshMS) * time.Millisecond }

// Start is the age of the configuration up to which a task may start.
func (t Terms) Start() time.Duration { return time.Duration(t.StartMS) * time.Millisecond }

// Hearsay is H.
func (t Terms) Hearsay() time.Duration { return time.Duration(t.HearsayMS) * time.Millisecond }

// Drifted returns d as the slower clock may need to be sure that it has passed
// on the faster one.
func (t Terms) Drifted(d time.Duration) time.Duration {
	return d + d*time.Duration(2*t.DriftPermille)/1000
}

// FenceWait is the time after reading a fence until no lease that was renewed
// without knowing it can be alive.
func (t Terms) FenceWait() time.Duration {
	return t.Drifted(t.Fresh() + t.Lease())
}
