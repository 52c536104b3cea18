package hops

// The headers that callers set.
const (
	// Service names the latency-critical service.
	Service = "Beryl-Service"
	// Deadline is the time left for the answer, in milliseconds.
	Deadline = "Beryl-Deadline-Ms"
	// Repeatable is "yes" when the request may run more than once.
	Repeatable = "Beryl-Repeatable"
	// Key names a request that may run at most once, across tries.
	Key = "Beryl-Key"
	// Team names the caller's team.
	Team = "Beryl-Team"
)

// The headers that answers carry.
const (
	// Outcome is done, not-run or unknown.
	Outcome = "Beryl-Outcome"
	// Reason tells why an outcome is not done.
	Reason = "Beryl-Reason"
	// Request is the identity of the request; the answer repeats it.
	Request = "Beryl-Request"
	// Length is the length of the body in bytes.
	Length = "Beryl-Length"
	// Load is what the agent says of itself.
	Load = "Beryl-Load"
	// BackendRequest is the identity as the backend server sees it; its answer
	// must repeat it.
	BackendRequest = "X-Request-Id"
	// Budget is the time left at the hop between entry and agent, in
	// microseconds.
	Budget = "Beryl-Budget-Us"
)

// The values of the outcome header.
const (
	Done    = "done"
	NotRun  = "not-run"
	Unknown = "unknown"
)

// MaxBody bounds the body of a request or an answer, in bytes.
const MaxBodyBytes = 1 << 20
