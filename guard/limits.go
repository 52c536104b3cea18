// Package guard bounds the memory and the connections that clients of a program's
// listeners can take: it admits bytes before buffers are taken, and closes the
// connections that make the least progress when room is short. It knows nothing of
// what requests mean.
package guard

// Limits are the settings that bound clients. The zero value is derived from an
// instance with defaultMemoryMB and defaultDescriptors.
type Limits struct {
	// MemoryMB and Descriptors are what the process may use.
	MemoryMB    int `json:"memory_mb" jsonschema:"minimum=0,description=memory that the process may use in MB (0: 152)"`
	Descriptors int `json:"descriptors" jsonschema:"minimum=0,description=file descriptors that the process may use (0: 4096)"`
	// BodyBytes limits a body in bytes, on listeners that do not limit it more.
	BodyBytes int `json:"body_bytes" jsonschema:"minimum=0,description=largest body of a request in bytes where the listener has no lower limit (0: the listener's)"`
	// FlightMB bounds the requests being read or handled on all listeners together.
	FlightMB int `json:"flight_mb" jsonschema:"minimum=0,description=memory for the requests being read or handled on all listeners in MB (0: derived from memory_mb)"`
	// Connections bounds the open connections of a listener.
	Connections int `json:"connections" jsonschema:"minimum=0,description=open connections of a listener (0: derived from descriptors and memory_mb)"`
	// HeaderMS, BodyMS and AnswerMS bound how long a client takes to send a header,
	// to send a body, and to take an answer; IdleMS bounds the time between requests.
	HeaderMS int `json:"header_ms" jsonschema:"minimum=0,description=time from the first byte of a header to its end in ms (0: 10000)"`
	BodyMS   int `json:"body_ms" jsonschema:"minimum=0,description=time from the first byte of a request to the end of its body in ms (0: 10000)"`
	AnswerMS int `json:"answer_ms" jsonschema:"minimum=0,description=time that a client may take for an answer in ms (0: 10000)"`
	IdleMS   int `json:"idle_ms" jsonschema:"minimum=0,description=time that a connection may stay open without a request in ms (0: 60000)"`
}
