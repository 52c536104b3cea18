package shard

import "time"

const (
	// stallTimeout is how long a run may show no progress before it counts as
	// hanging. A task that runs for some seconds advances by one percent within
	// a few hundredths of a second.
	stallTimeout = 1500 * time.Millisecond
	// stallMaxPercent is the percentage from which rounding may hide progress,
	// so that a run is no longer checked.
	stallMaxPercent = 99
)

// stopStalledRuns stops runs without progress, so that their tasks restart on
// another worker, and counts them as failures of this worker.
func (sc *Scheduler) stopStalledRuns(w *worker, now time.Time) {
	for r := range w.runs {
		if !r.isStalled(now) {
			continue
		}
		sc.onEvent(Event{Name: "run stands still", Task: r.task.ref().String(), Run: r.number, Node: w.node})
		if r.task.lastFailedNode != w.node {
			w.addFailure(now, 1)
		}
		r.task.lastFailedNode = w.node
		sc.stopRun(r)
	}
}

// isStalled reports whether a run that should progress does not.
func (r *run) isStalled(now time.Time) bool {
	if !r.confirmed || r.stopping || r.task.step.Standing || r.task.step.Gang || r.pace == 0 || r.percent >= stallMaxPercent {
		return false
	}
	return now.Sub(r.progressedAt) > stallTimeout
}
