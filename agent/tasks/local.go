package tasks

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// stage is the lifecycle stage of a task on this worker.
type stage int

const (
	// starting: the start request is about to be sent, or its outcome is not
	// known yet.
	starting stage = iota
	running
	// ended: the end is reported until an entry confirms that it was folded.
	ended
)

// localTask is an attempt at a task on this worker.
type localTask struct {
	id          spar.TaskID
	spec        *wire.Spec
	stage       stage
	status      spar.TaskStatus
	evictReason spar.Reason
	endReport   *wire.End
	evictReport *wire.Evict
	// startBy is the latest time, on the platform's clock, at which the start
	// can take effect. It is 0 until the start request is about to be sent.
	startBy time.Duration
	// capMilli is the CPU limit set by throttling, in thousandths of a
	// processor.
	capMilli  int64
	startedAt time.Time
}
