// Package guard bounds the memory and the connections that clients of a program's
// listeners can take. It admits bytes before buffers are taken, and closes the
// connections that make the least progress when room is short. It knows nothing of
// what requests mean.
package guard

import (
	"cmp"
	"time"
)

// Limits are the settings that bound clients. The zero value is derived from an
// instance with defaultMemoryMB and defaultDescriptors.
type Limits struct {
	// MemoryMB and Descriptors are what the process may use.
	MemoryMB    int `json:"memory_mb" jsonschema:"minimum=0,description=memory that the process may use in MB (0: 152)"`
	Descriptors int `json:"descriptors" jsonschema:"minimum=0,description=file descriptors that the process may use (0: 4096)"`
	// BodyBytes limits a body in bytes, on listeners that do not limit it more.
	BodyBytes int `json:"body_bytes" jsonschema:"minimum=0,description=largest body of a request in bytes where the listener has no lower limit (0: the listener's)"`
	// FlightMB bounds the connections and requests of all listeners together.
	FlightMB int `json:"flight_mb" jsonschema:"minimum=0,description=memory for the connections and the requests being read or handled on all listeners in MB (0: a third of memory_mb)"`
	// Connections bounds the open connections of a listener.
	Connections int `json:"connections" jsonschema:"minimum=0,description=open connections of a listener (0: derived from descriptors)"`
	// HeaderMS, BodyMS and AnswerMS bound how long a client takes to send a header,
	// to send a body, and to take an answer; IdleMS bounds the time between requests.
	HeaderMS int `json:"header_ms" jsonschema:"minimum=0,description=time from the first byte of a header to its end in ms (0: 10000)"`
	BodyMS   int `json:"body_ms" jsonschema:"minimum=0,description=time from the end of a header to the end of its body in ms (0: 10000)"`
	AnswerMS int `json:"answer_ms" jsonschema:"minimum=0,description=time that a client may take for an answer in ms (0: 10000)"`
	IdleMS   int `json:"idle_ms" jsonschema:"minimum=0,description=time that a connection may stay open without a request in ms (0: 60000)"`
}

const (
	megabyte           = 1 << 20
	defaultMemoryMB    = 152
	defaultDescriptors = 4096
	// reservedDescriptors is left for files.
	reservedDescriptors = 200
	defaultPause        = 10 * time.Second
	defaultIdle         = 60 * time.Second
)

// MemoryLimit returns the soft limit of the Go runtime in bytes: three quarters of
// the memory. The rest holds the program's text, and sockets' buffers.
func (l Limits) MemoryLimit() int64 { return int64(l.memoryMB()) * megabyte * 3 / 4 }

// FlightBytes returns the live bytes that clients can take. A third of the memory
// leaves a third for the process itself and a third for the heap's overhead.
func (l Limits) FlightBytes() int {
	return cmp.Or(l.FlightMB*megabyte, l.memoryMB()*megabyte/3)
}

// MaxConnections returns the bound of a listener, a share of the descriptors by its kind.
func (l Limits) MaxConnections(k Kind) int {
	free := cmp.Or(l.Descriptors, defaultDescriptors) - reservedDescriptors
	return max(1, cmp.Or(l.Connections, free/k.descriptorShare()))
}

// MaxBody returns the largest body in bytes on a listener that allows upTo.
func (l Limits) MaxBody(upTo int) int {
	return max(1, min(upTo, cmp.Or(l.BodyBytes, upTo), (l.FlightBytes()-openBytes-requestBytes)/bodyCost))
}

// MemoryBytes returns the memory that the process may use.
func (l Limits) MemoryBytes() int64 { return int64(l.memoryMB()) * megabyte }

func (l Limits) memoryMB() int { return cmp.Or(l.MemoryMB, defaultMemoryMB) }

// The times of the settings of the same name.
func (l Limits) header() time.Duration { return cmp.Or(ms(l.HeaderMS), defaultPause) }
func (l Limits) body() time.Duration   { return cmp.Or(ms(l.BodyMS), defaultPause) }
func (l Limits) answer() time.Duration { return cmp.Or(ms(l.AnswerMS), defaultPause) }
func (l Limits) idle() time.Duration   { return cmp.Or(ms(l.IdleMS), defaultIdle) }

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
