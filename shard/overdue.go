package shard

import (
	"slices"
	"time"
)

// maxStandingWait is how long a standing task waits for a worker that suits it. It leaves
// time to start the task before it counts as lost.
const maxStandingWait = 2 * time.Second

// isOverdue reports whether a standing task has been without a run for so long that it
// starts where others do not start yet.
func (t *task) isOverdue(now time.Time) bool {
	return t.step.Standing && now.Sub(t.idleSince) >= maxStandingWait
}

// isLongSilent reports whether a worker has been out of touch for so long that standing
// tasks no longer wait for what has become of its runs.
func (w *worker) isLongSilent(now time.Time) bool {
	return w.token == 0 && now.Sub(w.silentSince) >= maxStandingWait
}

// likelyCauses reports whether all tasks of the step that have crashed a worker alone
// have outlived their trials, or else are at least on workers that have long been silent.
func (s *step) likelyCauses(now time.Time) (outlived, silent bool) {
	outlived, silent = true, true
	for _, t := range s.tasks {
		if t.done || t.countAlone() == 0 || t.hasRun(func(r *run) bool { return r.worker.token != 0 && r.age() >= t.trialTime() }) {
			continue
		}
		outlived = false
		silent = silent && t.hasRun(func(r *run) bool { return r.worker.isLongSilent(now) })
	}
	return outlived, silent
}

func (t *task) hasRun(f func(*run) bool) bool { return slices.ContainsFunc(t.runs, f) }

// mayStartBesideCauses reports whether tasks of the step that are overdue may start
// although others have crashed a worker alone. If one of these is on a silent worker,
// another task of the step, which runs the same program, must have outlived its start.
func (s *step) mayStartBesideCauses(now time.Time) bool {
	outlived, silent := s.likelyCauses(now)
	return outlived || silent && s.hasOutlivedStart()
}

// needsProbe reports whether a task of the step must outlive its start before the others
// that are overdue may start, since what has become of a likely cause is not known.
func (s *step) needsProbe(now time.Time) bool {
	if !s.Standing || !s.hasLikelyCause() {
		return false
	}
	outlived, silent := s.likelyCauses(now)
	return !outlived && silent && !s.hasOutlivedStart()
}

// hasOutlivedStart reports whether a task of the step has outlived its start on a worker
// in touch.
func (s *step) hasOutlivedStart() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool {
		return t.hasRun(func(r *run) bool { return r.worker.token != 0 && r.age() >= startingAge })
	})
}
