package front

import "github.com/berylspar/spar/route"

// Settings of the way that requests take.
type Settings struct {
	// Policy is how a backend is picked.
	Policy route.Policy `json:"policy" jsonschema:"enum=choices,enum=random,enum=round-robin,enum=least-in-flight,description=how a backend is picked"`
	// FarUS is the extra time to another domain and back.
	FarUS int64 `json:"far_us" jsonschema:"minimum=0,maximum=1000000,description=extra time to another failure domain and back in µs"`
	// DeadlineMS is the deadline of a request that names none.
	DeadlineMS int64 `json:"deadline_ms" jsonschema:"minimum=1,maximum=60000,description=deadline of a request that names none in ms"`
	// Tries bounds the backends that a request is sent to.
	Tries int `json:"tries" jsonschema:"minimum=1,maximum=10,description=most backends that one request is sent to"`
	// Hedge sends a slow repeatable request to a second backend.
	Hedge bool `json:"hedge" jsonschema:"description=send a repeatable request that is slow to a second backend"`
}

// DefaultSettings suit domains half a millisecond apart.
func DefaultSettings() Settings {
	return Settings{Policy: route.PowerOfChoices, FarUS: 1000, DeadlineMS: 1000, Tries: 3, Hedge: true}
}
