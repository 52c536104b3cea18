package shard

import (
	"iter"
	"time"
)

const (
	// waitCheckInterval is the shortest time between two searches for standing tasks
	// that do not run.
	waitCheckInterval = 500 * time.Millisecond
	// minReportedWait is how long a standing task must not have run to be reported, and
	// waitReportInterval the time between two reports of it.
	minReportedWait    = 2 * time.Second
	waitReportInterval = 5 * time.Second
	// maxWaitReports bounds the tasks that one search reports. The next ones follow with
	// the next search.
	maxWaitReports = 10
)

// wait is the time for which a standing task has not run. reportedAt is zero before the
// first report.
type wait struct{ since, reportedAt time.Time }

// waits holds the standing tasks that did not run at checkedAt.
type waits struct {
	checkedAt time.Time
	tasks     map[*task]wait
}

// reportWaits reports the standing tasks that have not run for a while with what keeps
// them from it, and those that run again after that.
func (sc *Scheduler) reportWaits(now time.Time) {
	if now.Sub(sc.waits.checkedAt) < waitCheckInterval {
		return
	}
	sc.waits.checkedAt = now
	waiting := map[*task]wait{}
	reports := 0
	for t := range sc.standingTasks() {
		w, waited := sc.waits.tasks[t]
		if t.runsInTouch() {
			if !w.reportedAt.IsZero() {
				sc.onEvent(Event{Name: "standing task runs again", Task: t.ref().String(), Run: t.lastRun, Reason: "after " + rounded(now.Sub(w.since))})
			}
			continue
		}
		if !waited {
			w.since = now
		}
		if now.Sub(w.since) >= minReportedWait && now.Sub(w.reportedAt) >= waitReportInterval && reports < maxWaitReports {
			reports++
			w.reportedAt = now
			sc.onEvent(Event{Name: "standing task waits", Task: t.ref().String(), Run: t.lastRun, Reason: "for " + rounded(now.Sub(w.since)) + ": " + sc.waitReason(t, now)})
		}
		waiting[t] = w
	}
	sc.waits.tasks = waiting
}

// standingTasks iterates over the tasks that should run at all times.
func (sc *Scheduler) standingTasks() iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for j := range sc.activeJobs {
			for _, o := range j.occurrences {
				for _, s := range o.steps {
					if !s.Standing || !s.isReady() {
						continue
					}
					for _, t := range s.tasks {
						if !t.done && !yield(t) {
							return
						}
					}
				}
			}
		}
	}
}

// runsInTouch reports whether a run of the task is known to be on a worker with a
// session.
func (t *task) runsInTouch() bool {
	for _, r := range t.runs {
		if r.confirmed && !r.stopping && r.worker.token != 0 {
			return true
		}
	}
	return false
}

func rounded(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
