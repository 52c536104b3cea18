package link

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// AgentMessage is a message from an agent to the owner. Empty fields carry no
// information.
type AgentMessage struct {
	// Node is the name of the agent's instance. It is set in the first message.
	Node string `msgpack:"n,omitempty"`
	// MaxLeaseLeft is the longest time that leases on the worker's life can still
	// run, if this agent process is the one that extended them; nil if an earlier
	// process may have. It is set in the first message.
	MaxLeaseLeft *time.Duration `msgpack:"v,omitempty"`
	// LifeEnds are the last lives of the worker that ended without being
	// announced. They are set in the first message.
	LifeEnds []LifeEnd `msgpack:"d,omitempty"`
	// Worker is what the worker last reported about itself, if that has changed.
	Worker *spar.WorkerInfo `msgpack:"w,omitempty"`
	// WorkerLeft reports that the worker has signed off and no longer answers.
	WorkerLeft bool `msgpack:"q,omitempty"`
	// Heartbeat is the number of the agent's heartbeat, from 1.
	Heartbeat int64 `msgpack:"b,omitempty"`
	// Complete reports that Running holds all runs in progress, and that Ended and
	// the earlier messages of the session hold all ends. It is set once, in the
	// message with the last ends that the worker has listed under the session's
	// token.
	Complete bool           `msgpack:"l,omitempty"`
	Running  []spar.Running `msgpack:"r,omitempty"`
	// Ended holds the ends of runs that this connection has not carried before.
	Ended    []spar.Ended   `msgpack:"e,omitempty"`
	Outcomes []StartOutcome `msgpack:"o,omitempty"`
	// Departure is set alone, in each message of a connection that carries nothing
	// else. Such a connection may go to any entry, and opens no session.
	Departure *Departure `msgpack:"x,omitempty"`
}

// LifeEnd reports that a life of the worker is over although the worker had not
// announced that it leaves.
type LifeEnd struct {
	Life spar.Life `msgpack:"l"`
	// Crashed reports that the worker's process ended while its machine and the
	// agent went on: the worker closed or refused a connection before anything
	// else failed. Else it may have been cut off or without power.
	Crashed bool `msgpack:"c,omitempty"`
	// Runs are the runs that were or may have been on the worker at the end.
	Runs []LostRun `msgpack:"r,omitempty"`
}

// LostRun is a run that ended with the worker's life.
type LostRun struct {
	Task spar.TaskRef `msgpack:"t"`
	Run  int64        `msgpack:"r"`
	// Age is the time from the last start call to the end of the life.
	Age time.Duration `msgpack:"a"`
	// Unconfirmed reports that no start call was answered and the run was not
	// listed, so that it may have started at any time, or not at all.
	Unconfirmed bool `msgpack:"u,omitempty"`
}

// YoungestAge returns the age of the run that was started last, or 0 if there was
// none.
func (e LifeEnd) YoungestAge() time.Duration {
	if len(e.Runs) == 0 {
		return 0
	}
	return slices.MinFunc(e.Runs, func(a, b LostRun) int { return cmp.Compare(a.Age, b.Age) }).Age
}

// StartOutcome is the answer to a start order.
type StartOutcome struct {
	Task   spar.TaskRef     `msgpack:"t"`
	Run    int64            `msgpack:"r"`
	Result spar.StartResult `msgpack:"s"`
}

// OwnerMessage is a message from the owner to an agent. Empty fields carry no
// information.
type OwnerMessage struct {
	// Welcome is set in the first message.
	Welcome *Welcome `msgpack:"w,omitempty"`
	// Grant is the number of the heartbeat that the lease is granted for. The
	// lease runs from the time at which the agent sent that heartbeat.
	Grant int64 `msgpack:"g,omitempty"`
	// Acked is the number of the last stored end of a run.
	Acked  int64             `msgpack:"a,omitempty"`
	Starts []spar.StartOrder `msgpack:"s,omitempty"`
	Stops  []Stop            `msgpack:"x,omitempty"`
	Paces  []Pace            `msgpack:"p,omitempty"`
	// DepartureKept is set alone and answers a departure: the entry keeps it for the
	// terms that it may have, and has applied it if it owns the shard.
	DepartureKept bool `msgpack:"k,omitempty"`
}

// Welcome opens a session.
type Welcome struct {
	// Epoch is the owner's epoch. Agents reject an epoch below one that they
	// have served.
	Epoch int64 `msgpack:"e"`
	// Token is the fencing token of the session.
	Token int64 `msgpack:"t"`
	// Lease is the length of the lease that a grant gives.
	Lease time.Duration `msgpack:"l"`
	// MaxLease is the longest lease that the worker accepts, or 0 if the owner does not
	// tell.
	MaxLease time.Duration `msgpack:"m,omitempty"`
}

// Stop orders a run to end.
type Stop struct {
	Task spar.TaskRef `msgpack:"t"`
	Run  int64        `msgpack:"r"`
}

// Pace orders a run to work at a percentage of its full speed.
type Pace struct {
	Task    spar.TaskRef `msgpack:"t"`
	Run     int64        `msgpack:"r"`
	Percent int          `msgpack:"p"`
}
