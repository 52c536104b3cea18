package guard

import "bytes"

// Kind is who connects to a listener.
type Kind uint8

// The kinds of listeners.
const (
	// Callers send requests of customers.
	Callers Kind = iota
	// Agents keep sessions with the owner.
	Agents
	// Operators read metrics, and peers query each other, at one address.
	Operators
	// Checks are the balancer's health checks.
	Checks
)

// Memory that clients take, in bytes.
const (
	// openBytes is what an open connection takes: the stack of its goroutine and the
	// descriptor's state.
	openBytes = 10 << 10
	// requestBytes is what the first request of a connection adds: the buffers of the
	// header and of the answer, and the request's context.
	requestBytes = 24 << 10
	// bodyCost is the memory that a byte of a body takes, with the copies that are made
	// of its texts.
	bodyCost = 4
	// rpcBodyCost is the same for a call between entry and agent, whose messages of 2
	// bytes become structs.
	rpcBodyCost = 40
	// objectBytes and elementBytes are what an object or array and an element of JSON may
	// add when they are decoded.
	objectBytes  = 512
	elementBytes = 48
	// answerBytes is reserved for an answer to an operator, before its size is known,
	// with what it is made from.
	answerBytes = 512 << 10
	// answerCost is the memory that a byte of an answer takes, whose buffer grows by
	// doubling.
	answerCost = 2
)

// descriptorShare returns n for a listener that may hold the n-th part of the
// descriptors. The four kinds leave a sixth for the connections that the program opens.
func (k Kind) descriptorShare() int {
	switch k {
	case Callers:
		return 3
	case Agents:
		return 4
	default:
		return 8
	}
}

// largeAnswers are the paths, of all programs, at which operators get answers that may be
// large. Peers, which ask at the same listeners, get small ones.
var largeAnswers = []string{"/metrics", "/v1/", "/where", "/load"}

// answerReserve returns the bytes that are reserved for the answer to a request.
func (k Kind) answerReserve(path []byte) int {
	if k != Operators {
		return 0
	}
	for _, p := range largeAnswers {
		if bytes.HasPrefix(path, []byte(p)) {
			return answerBytes
		}
	}
	return 0
}
