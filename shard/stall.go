package shard

import "time"

const (
	// stallTimeout is how long a run at full pace may show no progress before it
	// counts as hanging. A task that runs for some seconds advances by one percent within
	// a few hundredths of a second.
	stallTimeout = 1500 * time.Millisecond
	// stallMaxPercent is the percentage from which rounding may hide progress,
	// so that a run is no longer checked.
	stallMaxPercent = 99
	// maxListInterval is how much of the time between two lists counts as time
	// without progress. An agent sends them at about half of it; after a longer
	// silence of the agent or of the owner, it is not known when a run was at
	// work.
	maxListInterval = time.Second
)

// countIdleTime adds the time since the worker's last list to the time that its
// runs have shown no progress, by their paces.
func (w *worker) countIdleTime(now time.Time) {
	elapsed := min(now.Sub(w.listedAt), maxListInterval)
	for r := range w.runs {
		r.idle += elapsed * time.Duration(r.pace) / 100
		r.worked += r.workedSinceList(now)
	}
	w.listedAt = now
}

// stopStalledRuns stops runs without progress, so that their tasks restart on
// another worker, and counts them as failures of this worker.
func (sc *Scheduler) stopStalledRuns(w *worker, now time.Time) {
	for r := range w.runs {
		if !r.isStalled() {
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
func (r *run) isStalled() bool {
	if !r.confirmed || r.stopping || r.task.step.Standing || r.task.step.Gang || r.pace == 0 || r.percent >= stallMaxPercent {
		return false
	}
	return r.idle > stallTimeout
}
