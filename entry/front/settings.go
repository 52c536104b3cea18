package front

import "github.com/berylspar/spar/route"

// Settings are the parameters of serving callers' requests.
type Settings struct {
	// Policy is the algorithm that picks a backend.
	Policy route.Policy `json:"policy" jsonschema:"enum=choices,enum=random,enum=round-robin,enum=least-in-flight,description=how a backend is picked"`
	// FarUS is the extra round-trip time to another failure domain.
	FarUS int64 `json:"far_us" jsonschema:"minimum=0,maximum=1000000,description=extra time to another failure domain and back in µs"`
	// DeadlineMS is the deadline of a request that does not set one.
	DeadlineMS int64 `json:"deadline_ms" jsonschema:"minimum=1,maximum=60000,description=deadline of a request that names none in ms"`
	// Tries bounds the attempts for a request, each at another backend. Hedges
	// are not counted.
	Tries int `json:"tries" jsonschema:"minimum=1,maximum=10,description=most backends that one request is sent to"`
	// Hedge enables sending a slow repeatable request to a second backend.
	Hedge bool `json:"hedge" jsonschema:"description=send a repeatable request that is slow to a second backend"`
}

// DefaultSettings returns settings for failure domains half a millisecond apart.
func DefaultSettings() Settings {
	return Settings{Policy: route.PowerOfChoices, FarUS: 1000, DeadlineMS: 1000, Tries: 3, Hedge: true}
}
