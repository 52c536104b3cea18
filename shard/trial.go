package shard

import (
	"cmp"
	"slices"
	"time"
)

// A task that was lost in a crash shortly after its start is suspected of having
// caused it. Its next run is a trial: nothing else starts on the worker until the
// run has lasted for longer than it did in the crash. If the worker crashes
// meanwhile, the cause is known, and if not, the run goes on as any other.

const (
	// workersPerTrial is the number of workers for which one may be on trial, or
	// down after one, at a time. minTrials may always run.
	workersPerTrial = 3
	minTrials       = 3
	// workersPerLikelyTrial is the same for tasks that have already crashed a
	// worker alone. They are the least likely to be innocent, and the others are
	// not held up by them.
	workersPerLikelyTrial = 12
	// reservationTime is how long a worker is kept free for the next trial. It
	// exceeds startingAge, so that a worker on which tasks have just been started
	// can be used then.
	reservationTime = 400 * time.Millisecond
	// emptyWorkerWait is how long a task that has crashed a worker alone waits for
	// a worker without runs, so that its next crash takes nothing along.
	emptyWorkerWait = 3 * time.Second
)

// isOnTrial reports whether a run may still show that its task crashes workers.
func (r *run) isOnTrial(now time.Time) bool {
	h := r.task.history()
	return h.isSuspect() && (!r.confirmed || now.Sub(r.started) < h.trialTime())
}

// hasTrial reports whether a run on the worker is on trial.
func (w *worker) hasTrial(now time.Time) bool {
	for r := range w.runs {
		if r.isOnTrial(now) {
			return true
		}
	}
	return false
}

// hasTrialBeside reports whether a run of another task on the worker is on trial. The
// members of a gang are one cause, so they start beside one another.
func (w *worker) hasTrialBeside(t *task, now time.Time) bool {
	for r := range w.runs {
		if r.task.historyTask() != t.historyTask() && r.isOnTrial(now) {
			return true
		}
	}
	return false
}

// onTrialBeside is hasTrialBeside within a pass of Plan, which asks for many tasks.
func (w *candidate) onTrialBeside(t *task, now time.Time) bool {
	if w.trials == nil {
		w.trials = []*task{}
		for r := range w.runs {
			w.recordTrial(r, now)
		}
	}
	for _, o := range w.trials {
		if o != t.historyTask() {
			return true
		}
	}
	return false
}

// recordTrial adds a run to the trials of the candidate, if those are known.
func (w *candidate) recordTrial(r *run, now time.Time) {
	if h := r.task.historyTask(); w.trials != nil && r.isOnTrial(now) && !slices.Contains(w.trials, h) {
		w.trials = append(w.trials, h)
	}
}

// isQuiet reports whether no run on the worker has just been started, so that a
// crash would be due to the next one.
func (w *worker) isQuiet(now time.Time) bool {
	for r := range w.runs {
		if h := r.task.history(); !r.confirmed || h.mayHaveCaused(now.Sub(r.started)) {
			return false
		}
	}
	return true
}

// isReserved reports whether a worker is kept free for a trial to come.
func (sc *Scheduler) isReserved(w *worker, now time.Time) bool {
	return len(sc.suspects) > 0 && now.Before(w.reservedUntil)
}

// trialSlots counts the trials that may still begin: of any suspect, and of tasks
// that have already crashed a worker alone.
type trialSlots struct{ any, likely int }

// freeTrialSlots counts the slots that the running trials leave. A trial also takes
// one while its worker is out of touch, since it may have crashed.
func (sc *Scheduler) freeTrialSlots(now time.Time) trialSlots {
	if len(sc.suspects) == 0 {
		return trialSlots{}
	}
	out := trialSlots{any: max(len(sc.workers)/workersPerTrial, minTrials), likely: max(len(sc.workers)/workersPerLikelyTrial, 1)}
	for _, w := range sc.workers {
		for r := range w.runs {
			if !r.task.history().isSuspect() || !r.isOnTrial(now) && w.token != 0 {
				continue
			}
			out.any--
			if r.task.history().countAlone() > 0 {
				out.likely--
			}
			break
		}
	}
	return out
}

// placeSuspects places the suspects among the waiting tasks of a step, which run the
// same program, one after another: those with the most crashes first. So a step of
// which every task crashes workers has one down at a time. It reports whether all
// were placed.
func (sc *Scheduler) placeSuspects(s *step, pool []*candidate, now time.Time) bool {
	var waiting []*task
	probing := s.needsProbe(now)
	for _, t := range s.tasks {
		if t.isWaiting(now) && (t.history().isSuspect() || probing && t.isOverdue(now)) {
			waiting = append(waiting, t)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(b.countAlone(), a.countAlone()), cmp.Compare(len(b.crashes), len(a.crashes)))
	})
	if len(waiting) == 0 {
		return true
	}
	if s.hasTrial(waiting[0].isOverdue(now), now) {
		return false
	}
	return sc.placeTrial(waiting[0], pool, now) && len(waiting) == 1
}

// isWaiting reports whether a task can be placed now.
func (t *task) isWaiting(now time.Time) bool {
	return !t.done && len(t.runs) == 0 && !now.Before(t.notBefore)
}

// hasLikelyCause reports whether a task of the step has crashed a worker alone. The
// others run the same program, so they wait until it is cleared, and those that are
// overdue until its trial is over.
func (s *step) hasLikelyCause() bool {
	return slices.ContainsFunc(s.tasks, func(t *task) bool { return !t.done && t.countAlone() > 0 })
}

// hasTrial reports whether a task of the step is on trial, or was on one when its
// worker was last heard of. After a crash with a task alone, a trial is over only
// when the worker has listed the run after it. For a task that is overdue the runs on
// workers that have long been silent do not count.
func (s *step) hasTrial(overdue bool, now time.Time) bool {
	likely := s.hasLikelyCause()
	for _, t := range s.tasks {
		h := t.history()
		for _, r := range t.runs {
			if overdue && r.worker.isLongSilent(now) {
				continue
			}
			if !h.isSuspect() {
				if overdue && likely && r.age() < startingAge {
					return true
				}
				continue
			}
			if r.isOnTrial(now) || (likely || r.worker.token == 0) && r.age() < h.trialTime() {
				return true
			}
		}
	}
	return false
}

// placeTrial starts a suspect on the worker where a crash would do the least harm
// and could have no other cause. If tasks have just been started on all of them, it
// reserves one.
func (sc *Scheduler) placeTrial(t *task, pool []*candidate, now time.Time) bool {
	likely := t.history().countAlone() > 0
	if !t.isOverdue(now) && (sc.trials.any <= 0 || likely && sc.trials.likely <= 0) {
		return false
	}
	var best placement
	minPace := sc.minPace(t.step, now)
	for _, w := range sc.trialWorkers(t, pool, now) {
		pace := 100
		if t.step.Fills {
			if pace = sc.startPace(w, t.step, minPace); pace == 0 {
				continue
			}
		}
		if best.candidate == nil || w.preferredForTrial(best.candidate, t.history(), now) {
			best = placement{w, pace}
		}
	}
	if best.candidate == nil {
		return false
	}
	sc.trials.any--
	if likely {
		sc.trials.likely--
	}
	// If the trial begins now, the next suspect follows as soon as it is over.
	best.reservedUntil, best.isLastResort = now.Add(reservationTime), true
	if !best.isQuiet(now) {
		return false
	}
	sc.claimRun(t, best, t.lastRun+1, now)
	return true
}

// trialWorkers returns the workers that could take a suspect. Workers that it has
// crashed alone are left out if there are others, or, for a task that is overdue, others
// with room: the cause could be the worker.
func (sc *Scheduler) trialWorkers(t *task, pool []*candidate, now time.Time) []*candidate {
	h := t.history()
	needsEmpty := h.countAlone() > 0 && now.Sub(h.suspectedAt) < emptyWorkerWait && !t.isOverdue(now)
	var out []*candidate
	others := false
	for _, w := range pool {
		if w.info.Service != t.step.job.policy.Service || !w.hasLabel(t.step) {
			continue
		}
		others = others || !h.hasCrashedAloneOn(w.node) && (!t.isOverdue(now) || sc.canRun(w, t, now))
		if (len(w.runs) == 0 || !needsEmpty) && !w.hasTrial(now) && (w.failureScore < 1 || t.isOverdue(now)) && sc.canRun(w, t, now) {
			out = append(out, w)
		}
	}
	if !others {
		return out
	}
	return slices.DeleteFunc(out, func(w *candidate) bool { return h.hasCrashedAloneOn(w.node) })
}

// preferredForTrial reports whether a trial tells more or does less harm on w than
// on o. One without failures comes first, then a quiet worker, an empty one, one of a node
// without a crash of the task, and one that was reserved before.
func (w *candidate) preferredForTrial(o *candidate, h *crashHistory, now time.Time) bool {
	if a, b := w.failureScore < 1, o.failureScore < 1; a != b {
		return a
	}
	if a, b := w.isQuiet(now), o.isQuiet(now); a != b {
		return a
	}
	if a, b := len(w.runs) == 0, len(o.runs) == 0; a != b {
		return a
	}
	if a, b := h.hasCrashedOn(w.node), h.hasCrashedOn(o.node); a != b {
		return b
	}
	if a, b := now.Before(w.reservedUntil), now.Before(o.reservedUntil); a != b {
		return a
	}
	return w.load() < o.load()
}

// load returns the share of the worker's processors that its runs take.
func (w *candidate) load() float64 { return w.cpuFraction(w.reserved.CPUMilli + w.fillCPU) }
