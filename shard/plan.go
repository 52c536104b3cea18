package shard

import (
	"slices"
	"time"
)

// Plan claims places for tasks that may run. The claims take effect once they
// are stored.
func (sc *Scheduler) Plan(now time.Time) {
	var turns []queuedStep
	for j := range sc.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unfinished > 0 && s.isReady() {
					turns = append(turns, queuedStep{step: s, late: s.isLate(now), workLeft: s.occurrenceWorkLeft()})
				}
			}
		}
	}
	slices.SortFunc(turns, compareSteps)
	pool := sc.candidates(now)
	sc.stepsAwaitingAdvice = nil
	for _, t := range turns {
		if !sc.placeStep(t.step, pool, now) && t.job.policy.Advised {
			sc.stepsAwaitingAdvice = append(sc.stepsAwaitingAdvice, t.step)
		}
	}
}

// turn is a step that may run, with what decides when its turn is.
type queuedStep struct {
	*step
	late     bool
	workLeft time.Duration
}

// compare orders steps: standing ones first, then by priority, those that can
// still meet their objective before those that cannot, and shorter jobs first.
func compareSteps(a, b queuedStep) int {
	if a.Standing != b.Standing {
		return trueFirst(a.Standing, b.Standing)
	}
	if d := a.job.policy.Priority - b.job.policy.Priority; d != 0 {
		return d
	}
	if a.late != b.late {
		return trueFirst(b.late, a.late)
	}
	if d := a.workLeft - b.workLeft; d != 0 {
		return sign(int64(d))
	}
	if d := a.job.firstSeen.Compare(b.job.firstSeen); d != 0 {
		return d
	}
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.index - b.index
}

// left estimates the work left in the step's occurrence.
func (s *step) occurrenceWorkLeft() time.Duration {
	var sum time.Duration
	for _, o := range s.occurrence.steps {
		sum += o.remainingWork()
	}
	return sum
}

// late tells whether the occurrence is past its objective.
func (s *step) isLate(now time.Time) bool {
	return now.After(s.occurrence.due.Add(s.objective()))
}

// objective is the time that an occurrence should take.
func (s *step) objective() time.Duration {
	p := s.job.policy
	return time.Duration(p.Stretch*float64(s.occurrence.criticalPath)) + p.Slack
}

func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// planStep places the waiting tasks of a step until one finds no place; the
// others are like it. It tells whether all have a place.
func (sc *Scheduler) placeStep(s *step, pool []*candidate, now time.Time) bool {
	if s.Gang {
		return sc.placeGang(s, pool, now)
	}
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		w, ok := sc.bestPlacement(t, pool, now)
		if !ok {
			return false
		}
		sc.claimRun(t, w, t.lastRun+1, now)
	}
	return true
}

// planGang places all tasks of a gang, or none. It tells false when there is no
// place.
func (sc *Scheduler) placeGang(s *step, pool []*candidate, now time.Time) bool {
	var last int64
	for _, t := range s.tasks {
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return true
		}
		last = max(last, t.lastRun)
	}
	saved := s.tasks[0].checkpoint
	var claimed []placement
	for _, t := range s.tasks {
		w, ok := sc.bestPlacement(t, pool, now)
		if !ok {
			for i, w := range claimed {
				w.unbook(s)
				sc.unclaimRun(s.tasks[i])
			}
			return false
		}
		t.checkpoint = saved
		sc.claimRun(t, w, last+1, now)
		claimed = append(claimed, w)
	}
	return true
}

// claim puts a run of a task on a worker.
func (sc *Scheduler) claimRun(t *task, w placement, number int64, now time.Time) {
	r := &run{task: t, worker: w.worker, number: number, token: w.token, pace: w.pace, started: now, progressedAt: now}
	t.lastRun = number
	t.runs = append(t.runs, r)
	w.runs[r] = true
	w.book(t.step)
	sc.claimedRuns = append(sc.claimedRuns, r)
	sc.markChanged(t.step.job)
	sc.onEvent(Event{Name: "run claimed", Task: t.ref().String(), Run: number, Node: w.node, Reason: t.step.Image})
}

// unclaim takes back a claim of this pass.
func (sc *Scheduler) unclaimRun(t *task) {
	r := t.runs[len(t.runs)-1]
	sc.removeRun(r)
	sc.claimedRuns = slices.DeleteFunc(sc.claimedRuns, func(o *run) bool { return o == r })
}
