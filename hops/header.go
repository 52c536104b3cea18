package hops

// The headers that callers set.
const (
	// Service names the latency-critical service.
	Service = "Beryl-Service"
	// Deadline is the time left for the answer, in milliseconds.
	Deadline = "Beryl-Deadline-Ms"
	// Repeatable is "yes" when the request may run more than once.
	Repeatable = "Beryl-Repeatable"
	// Key identifies a request that may run at most once, across the caller's
	// retries.
	Key = "Beryl-Key"
	// Team names the caller's team.
	Team = "Beryl-Team"
)

// The headers that answers carry.
const (
	// Outcome is one of Done, NotRun and Unknown.
	Outcome = "Beryl-Outcome"
	// Reason says why an outcome is not done, or that it is that of a duplicate.
	Reason = "Beryl-Reason"
	// Request is the request ID between entry and agent; the answer repeats it.
	Request = "Beryl-Request"
	// Length is the length of the body in bytes.
	Length = "Beryl-Length"
	// Load is the load of the backend, see FormatLoad.
	Load = "Beryl-Load"
	// BackendRequest is the request ID as the backend server sees it; its answer
	// must repeat it.
	BackendRequest = "X-Request-Id"
	// Budget is the time that the entry allows the agent for the answer, in
	// microseconds.
	Budget = "Beryl-Budget-Us"
)

// The values of the outcome header.
const (
	// Done means that the backend answered the request.
	Done = "done"
	// NotRun means that the request was not run and may be sent again.
	NotRun = "not-run"
	// Unknown means that the request may have run.
	Unknown = "unknown"
)

// MaxBodyBytes bounds the body of a request or an answer.
const MaxBodyBytes = 1 << 20
