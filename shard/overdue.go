package shard

import "time"

// maxStandingWait is how long a standing task waits for a worker that suits it. It leaves
// time to start the task before it counts as lost.
const maxStandingWait = 2 * time.Second

// isOverdue reports whether a standing task has been without a run for so long that it
// starts where others do not start yet.
func (t *task) isOverdue(now time.Time) bool {
	return t.step.Standing && now.Sub(t.idleSince) >= maxStandingWait
}
