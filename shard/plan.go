package shard

import (
	"iter"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar/triage"
)

// Plan places tasks that are ready to run and claims their runs. The claims
// take effect once they are stored. A pass over very many steps is cut short; see IsPassCut.
func (sc *Scheduler) Plan(now time.Time) {
	queue := sc.queueSteps(now)
	pool := sc.candidates(now)
	sc.pool, sc.poolAt, sc.plannedAt = pool, now, now
	sc.stepsAwaitingAdvice, sc.shortages = nil, nil
	sc.clearSurvivors()
	sc.trials = sc.freeTrialSlots(now)
	sc.startLimit = sc.countStarts(now)
	short := map[triage.Pool]triage.Prospect{}
	sc.planInTurn(queue, func(q queuedStep) {
		if sc.placeStep(q.step, pool, now) {
			return
		}
		if q.job.policy.Advised {
			sc.stepsAwaitingAdvice = append(sc.stepsAwaitingAdvice, q.step)
		}
		if !q.Standing && !sc.startLimit.full() {
			if best, known := short[q.pool()]; !known || q.occurrence.prospect < best {
				short[q.pool()] = q.occurrence.prospect
			}
		}
	})
	if sc.limits.Order.LearnsRunTimes() {
		sc.observeRoom(short, now)
	}
}

// queueSteps returns the steps that are ready to run, in the order in which they
// get room.
func (sc *Scheduler) queueSteps(now time.Time) []queuedStep {
	if sc.limits.Order.LearnsRunTimes() {
		return sc.rankSteps(now)
	}
	var queue []queuedStep
	var last occurrenceWork
	for s := range sc.readySteps() {
		queue = append(queue, queuedStep{step: s, late: s.isLate(now), workLeft: last.left(s.occurrence)})
	}
	slices.SortFunc(queue, compareSteps)
	return queue
}

// readySteps iterates over the steps whose tasks may run.
func (sc *Scheduler) readySteps() iter.Seq[*step] {
	return func(yield func(*step) bool) {
		for j := range sc.activeJobs {
			for _, o := range j.occurrences {
				for _, s := range o.steps {
					if s.unfinished > 0 && s.isReady() && !yield(s) {
						return
					}
				}
			}
		}
	}
}

// queuedStep is a step that is ready to run, with the values that decide its
// position in the queue.
type queuedStep struct {
	*step
	late     bool
	workLeft time.Duration
}

// compareSteps orders steps: standing steps first, then by priority, steps that
// can still meet their objective before late ones, and jobs with less work left
// first. Ties are broken by the time of arrival.
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

// occurrenceWork is the work left of the occurrence that it was last asked for. Its steps
// follow one another, so that each is summed up once. The zero value has none.
type occurrenceWork struct {
	occurrence *occurrence
	work       time.Duration
}

// left estimates the CPU time left in an occurrence.
func (w *occurrenceWork) left(o *occurrence) time.Duration {
	if w.occurrence == o {
		return w.work
	}
	w.occurrence, w.work = o, 0
	for _, s := range o.steps {
		w.work += s.remainingWork()
	}
	return w.work
}

// isLate reports whether the step's occurrence has passed its objective.
func (s *step) isLate(now time.Time) bool {
	return now.After(s.occurrence.due.Add(s.objective()))
}

// objective is the time in which an occurrence should complete.
func (s *step) objective() time.Duration {
	return s.job.policy.Objective(s.occurrence.criticalPath)
}

// trueFirst compares two booleans and orders true before false.
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

// placeStep places the waiting tasks of a step until one finds no worker; the
// remaining tasks have the same requirements and are not tried. It reports
// whether all waiting tasks were placed.
func (sc *Scheduler) placeStep(s *step, pool []*candidate, now time.Time) bool {
	if s.Gang {
		return sc.placeGang(s, pool, now)
	}
	allPlaced, suspectsPlaced, onlyOverdue := true, true, false
	if len(sc.suspects) > 0 {
		suspectsPlaced = sc.placeSuspects(s, pool, now)
		if s.hasLikelyCause() {
			if !s.Standing || !s.mayStartBesideCauses(now) {
				return suspectsPlaced
			}
			onlyOverdue = true
		}
	}
	for _, t := range s.tasks {
		if !t.isWaiting(now) || t.isSuspect() || onlyOverdue && !t.isOverdue(now) {
			continue
		}
		if sc.startLimit.full() || sc.checks.isUsed() {
			return false
		}
		if node := sc.staysWith(t, now); node != "" {
			if p, ok := sc.bestOf(poolOf(pool, node), t, sc.minPace(s, now), now); ok {
				sc.claimRun(t, p, t.lastRun+1, now)
			} else {
				allPlaced = false
			}
			continue
		}
		p, ok := sc.bestPlacement(t, pool, now)
		if !ok && s.Standing && !t.isOverdue(now) {
			// A task that is overdue may still find one.
			onlyOverdue = true
			continue
		}
		if !ok {
			return false
		}
		sc.claimRun(t, p, t.lastRun+1, now)
	}
	return allPlaced && suspectsPlaced && !onlyOverdue
}

// poolOf returns the candidate of a node, if it is in the pool, which is ordered by node.
func poolOf(pool []*candidate, node string) []*candidate {
	i, found := slices.BinarySearchFunc(pool, node, func(w *candidate, node string) int { return strings.Compare(w.node, node) })
	if !found {
		return nil
	}
	return pool[i : i+1]
}

// claimRun assigns a new run of a task to a worker.
func (sc *Scheduler) claimRun(t *task, p placement, number int64, now time.Time) {
	r := &run{task: t, worker: p.worker, number: number, token: p.token, pace: p.pace, started: now, resumed: t.checkpoint != ""}
	t.lastRun = number
	t.addRun(r)
	p.addRun(r)
	p.recordTrial(r, now)
	p.allocate(sc, t.step)
	sc.claimedRuns = append(sc.claimedRuns, r)
	sc.startLimit.add(r)
	sc.markTaskChanged(t)
	sc.onEvent(Event{Name: "run claimed", Task: t.ref().String(), Run: number, Node: p.node, Reason: t.step.Image})
}
