package drive

// Settings are the settings of a run.
type Settings struct {
	// Targets are the addresses that requests are spread over.
	Targets []string `json:"targets" jsonschema:"description=addresses that requests are spread over"`
	// Service is the name of the service that requests are sent to.
	Service string `json:"service" jsonschema:"description=service asked for"`
	// PerSecond is the rate of requests, which does not depend on responses.
	PerSecond int `json:"per_second" jsonschema:"minimum=1,maximum=100000,description=requests a second, whether answers come or not"`
	// DurationMS is the length of the run.
	DurationMS int64 `json:"duration_ms" jsonschema:"minimum=1,description=length of the run in ms"`
	// DeadlineMS is the deadline of each request.
	DeadlineMS int64 `json:"deadline_ms" jsonschema:"minimum=1,maximum=60000,description=deadline of each request in ms"`
	// BodyBytes is the length of each body.
	BodyBytes int `json:"body_bytes" jsonschema:"minimum=16,maximum=1000000,description=length of each body in bytes"`
	// Repeatable marks requests as safe to run more than once.
	Repeatable bool `json:"repeatable" jsonschema:"description=requests may run more than once"`
	// Direct sends requests to backends directly, without entry and agent.
	Direct bool `json:"direct" jsonschema:"description=targets are backend servers"`
	// Keyed gives each request a key of its own.
	Keyed bool `json:"keyed" jsonschema:"description=each request has a key and runs at most once"`
}

// DefaultSettings returns the settings for a local trial deployment.
func DefaultSettings() Settings {
	return Settings{Targets: []string{"127.0.0.1:8000"}, Service: "booking-desk", PerSecond: 100, DurationMS: 5000, DeadlineMS: 1000, BodyBytes: 64, Repeatable: true}
}
