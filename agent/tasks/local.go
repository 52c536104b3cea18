package tasks

import (
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
type local struct {
	id         spar.TaskID
	spec       *wire.Spec
	stage      stage
	status     spar.TaskStatus
	evictFor   spar.Reason
	end        *wire.End
	evict      *wire.Evict
	cpu        int64
	startedAt  int64
	repeatable bool
}
