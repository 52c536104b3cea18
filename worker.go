package spar

import (
	"context"
	"time"
)

// Worker is the worker on the agent's own machine. Errors are ErrRefused,
// ErrUnknown and ErrOtherLife. Clock values are on the worker's steady clock,
// in milliseconds, which begins anew with each life.
type Worker interface {
	// Start runs a task. A repeat for a run that is there changes nothing.
	Start(ctx context.Context, w Target, o StartOrder) (StartResult, error)
	// Stop ends a run; a run that is not there is refused from then on.
	Stop(ctx context.Context, w Target, task TaskRef, run int64) error
	// Pace lets a task work at a share of its speed, in percent.
	Pace(ctx context.Context, w Target, task TaskRef, run int64, percent int) error
	// Hold extends the leases of everything on the worker to until, forgets
	// the ends up to acked, and waits up to wait for another end.
	Hold(ctx context.Context, w Target, acked, until int64, wait time.Duration) (RunLists, error)
}

// Adviser knows which workers may run a step of a queue that needs advice.
// Errors are ErrRefused and ErrUnknown.
type Adviser interface {
	// Advise returns a ticket for each of the workers, by the names of their
	// lives, that may run the step, and how long the tickets are good from the
	// call on.
	Advise(ctx context.Context, s StepRef, workers []string) (map[string]string, time.Duration, error)
}

// Target names the worker and carries the fencing token of a call.
type Target struct {
	Address string
	Life    Life
	Token   int64
}

// StartOrder is an order to run a task.
type StartOrder struct {
	Task TaskRef `msgpack:"t"`
	Run  int64   `msgpack:"r"`
	Spec string  `msgpack:"p"`
	// Checkpoint resumes from a checkpoint.
	Checkpoint string `msgpack:"s,omitempty"`
	// Ticket is the leave of the placement adviser, where one is needed.
	Ticket string `msgpack:"k,omitempty"`
	// Until ends the lease, on the worker's clock; filled in by the agent.
	Until int64 `msgpack:"-"`
}

// StartResult is the answer to a start.
type StartResult string

// The answers to a start.
const (
	StartDone      StartResult = "started"
	StartFenced    StartResult = "fenced"
	StartOld       StartResult = "older-run"
	StartLate      StartResult = "after-deadline"
	StartNoRoom    StartResult = "no-room"
	StartNoTicket  StartResult = "no-ticket"
	StartUnhealthy StartResult = "unhealthy"
	StartInvalid   StartResult = "invalid"
	// StartDraining is said by the agent of a worker that leaves.
	StartDraining StartResult = "worker-draining"
	// StartNever is said by the agent: the run is not there and never will be.
	StartNever StartResult = "never-started"
)

// RunLists is what a worker tells of its runs.
type RunLists struct {
	Clock   int64
	Born    int64
	Running []Running
	Ended   []Ended
}
