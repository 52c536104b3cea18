package link

import (
	"time"

	"github.com/berylspar/spar"
)

// Up is a message of an agent. Fields that are empty say nothing.
type AgentMessage struct {
	// Node names the agent's instance; it is set in the first message.
	Node string `msgpack:"n,omitempty"`
	// Lease is how long leases on the worker's life can still last at most, as
	// far as the agent has extended them itself; nil when an earlier process may
	// have. It is set in the first message.
	MaxLeaseLeft *time.Duration `msgpack:"v,omitempty"`
	// Worker is what the worker last told of itself, when that has changed.
	Worker *spar.WorkerInfo `msgpack:"w,omitempty"`
	// Left says that the worker has said goodbye and answers no more.
	WorkerLeft bool `msgpack:"q,omitempty"`
	// Beat numbers the agent's heartbeats, from 1.
	Heartbeat int64 `msgpack:"b,omitempty"`
	// Listed is set in the first message after the token was used: Running and
	// Ended then hold everything that is on the worker.
	Complete bool           `msgpack:"l,omitempty"`
	Running  []spar.Running `msgpack:"r,omitempty"`
	// Ended are ends that this connection has not carried before.
	Ended    []spar.Ended   `msgpack:"e,omitempty"`
	Outcomes []StartOutcome `msgpack:"o,omitempty"`
}

// Outcome is the answer to an order.
type StartOutcome struct {
	Task   spar.TaskRef     `msgpack:"t"`
	Run    int64            `msgpack:"r"`
	Result spar.StartResult `msgpack:"s"`
}

// Down is a message of the owner.
type OwnerMessage struct {
	// Welcome is set in the first message.
	Welcome *Welcome `msgpack:"w,omitempty"`
	// Grant is the heartbeat up to which the lease is granted, counted from
	// its sending.
	Grant int64 `msgpack:"g,omitempty"`
	// Acked is the number of the last end that is stored.
	Acked  int64             `msgpack:"a,omitempty"`
	Starts []spar.StartOrder `msgpack:"s,omitempty"`
	Stops  []Stop            `msgpack:"x,omitempty"`
	Paces  []Pace            `msgpack:"p,omitempty"`
}

// Welcome opens a session.
type Welcome struct {
	// Epoch is the owner's; an agent follows no lower one.
	Epoch int64 `msgpack:"e"`
	// Token is the fencing token of the session.
	Token int64 `msgpack:"t"`
	// Lease is what a grant is worth.
	Lease time.Duration `msgpack:"l"`
}

// Stop orders a run to end.
type Stop struct {
	Task spar.TaskRef `msgpack:"t"`
	Run  int64        `msgpack:"r"`
}

// Pace orders a run to work at a share of its speed.
type Pace struct {
	Task    spar.TaskRef `msgpack:"t"`
	Run     int64        `msgpack:"r"`
	Percent int          `msgpack:"p"`
}
