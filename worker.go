package spar

import (
	"context"
	"time"
)

// Worker is the worker on the agent's own machine. Errors are ErrRefused,
// ErrUnknown and ErrOtherLife. Clock values are milliseconds on the worker's
// monotonic clock, which restarts with each life.
type Worker interface {
	// Start starts a run. It has no effect on a run that the worker already has.
	Start(ctx context.Context, w Target, o StartOrder) (StartResult, error)
	// Stop ends a run. If the worker does not have the run, it refuses to start
	// it from then on.
	Stop(ctx context.Context, w Target, task TaskRef, run int64) error
	// Pace limits the speed of a run to a percentage of its full speed.
	Pace(ctx context.Context, w Target, task TaskRef, run int64, percent int) error
	// Hold extends the leases of all runs on the worker to until and removes
	// the ended runs with numbers up to acked from its list. It waits up to wait
	// for another run to end and returns the lists.
	Hold(ctx context.Context, w Target, acked, until int64, wait time.Duration) (RunLists, error)
}

// ClockDriftMargin is how much longer than its length a lease may last, since a worker's
// clock may run up to 2 % slow, with rounding.
func ClockDriftMargin(lease time.Duration) time.Duration { return lease/50 + 50*time.Millisecond }

// Adviser decides which workers may run a step of a queue that needs advice.
// Errors are ErrRefused and ErrUnknown.
type Adviser interface {
	// Advise returns a ticket for each of the workers that may run the step,
	// keyed by the ID of the worker's life, and how long the tickets are valid
	// from the time of the call.
	Advise(ctx context.Context, s StepRef, workers []string) (map[string]string, time.Duration, error)
}

// Target identifies the worker that a call is addressed to, and holds the
// fencing token of the call.
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
	// Checkpoint is the checkpoint to resume from, if any.
	Checkpoint string `msgpack:"s,omitempty"`
	// Ticket is the adviser's permission to run the task on this worker, for
	// queues that need advice.
	Ticket string `msgpack:"k,omitempty"`
	// Room is the size of all runs that the owner has assigned to the worker, this
	// one included. The agent refuses the order if the worker has become smaller.
	Room Size `msgpack:"m"`
	// Until is the end of the lease on the worker's clock. The agent sets it.
	Until int64 `msgpack:"-"`
}

// StartResult is the result of a start order.
type StartResult string

// Values of StartResult.
const (
	StartDone      StartResult = "started"
	StartFenced    StartResult = "fenced"
	StartOld       StartResult = "older-run"
	StartLate      StartResult = "after-deadline"
	StartNoRoom    StartResult = "no-room"
	StartNoTicket  StartResult = "no-ticket"
	StartUnhealthy StartResult = "unhealthy"
	StartInvalid   StartResult = "invalid"
	// StartDraining is set by the agent when the worker is draining.
	StartDraining StartResult = "worker-draining"
	// StartNever is set by the agent when the worker does not have the run and
	// will not start it any more.
	StartNever StartResult = "never-started"
)

// RunLists holds a worker's lists of running and ended runs.
type RunLists struct {
	Clock   int64
	Born    int64
	Running []Running
	Ended   []Ended
	// MoreEnds reports that the worker may have ended runs that Ended lacks. It
	// lists them after those in Ended have been acknowledged.
	MoreEnds bool
}
