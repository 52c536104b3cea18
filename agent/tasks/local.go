package tasks

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// stage tells how far a task on this worker is.
type stage int

const (
	// starting: the platform was asked, or is about to be.
	starting stage = iota
	running
	// ended: a report waits to be folded.
	ended
)

// local is a task on this worker.
type localTask struct {
	id          spar.TaskID
	spec        *wire.Spec
	stage       stage
	status      spar.TaskStatus
	evictReason spar.Reason
	endReport   *wire.End
	evictReport *wire.Evict
	// startBy is the last moment, on the platform's clock, at which the start
	// can take effect; 0 until the platform was asked.
	startBy time.Duration
	// cpu is the cap set by the throttle, in thousandths.
	capMilli  int64
	startedAt time.Time
}
