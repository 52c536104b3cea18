package shard

import "time"

const (
	// stallTime is how long a run may show no progress before it is taken to
	// hang: a task of some seconds moves by a percent in a few hundredths of one.
	stallTimeout = 1500 * time.Millisecond
	// almostDone is the percentage from which rounding may hide progress.
	stallMaxPercent = 99
)

// unstick stops runs that stand still, so that their tasks go on elsewhere, and
// holds it against the worker.
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

// isStalled tells whether a run that should move does not.
func (r *run) isStalled(now time.Time) bool {
	if !r.confirmed || r.stopping || r.task.step.Standing || r.task.step.Gang || r.pace == 0 || r.percent >= stallMaxPercent {
		return false
	}
	return now.Sub(r.progressedAt) > stallTimeout
}
