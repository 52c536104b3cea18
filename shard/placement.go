package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// candidate is a worker on which tasks may be placed, with its allocation
// during the current pass.
type candidate struct {
	*worker
	allocation
	mayBeDisturbed bool
	// isLastResort reports whether the worker is kept free for a trial to come, or
	// several tasks have just failed there or were refused by it. Only a task that is
	// overdue may start there then.
	isLastResort bool
	// groupLoads and headrooms are computed when they are first needed; see
	// headroom.
	groupLoads []groupLoad
	headrooms  []*fillHeadroom
	// trials are the tasks on trial on the worker, or nil until onTrial needs them.
	trials []*task
	// span is the time ahead for which the slack of serving groups is considered;
	// 0 stands for fillHorizon.
	span time.Duration
}

func (w *candidate) horizon() time.Duration { return cmp.Or(w.span, fillHorizon) }

// servingCPUShare is the assumed CPU use of serving tasks, as a share of their
// reservation. Fills may use the rest.
const servingCPUShare = 0.45

// pressureWeight weighs the pressure on serving tasks against free CPU when a
// worker is chosen for a fill. It exceeds 1, so that a difference in pressure
// counts more than an equal difference in the share of free CPU.
const pressureWeight = 2

// slowPaceWeight weighs a reduced pace against free CPU when a worker is chosen
// for a fill. It exceeds pressureWeight, so that a reduced pace counts more than
// an equal difference in pressure.
const slowPaceWeight = 3

// lastResortPenalty exceeds all other terms of a score.
const lastResortPenalty = 1000

// candidates returns the workers on which tasks may be placed, ordered by node:
// those with a listed session that are not draining, not in a closed failure
// domain and not avoided.
func (sc *Scheduler) candidates(now time.Time) []*candidate {
	var out []*candidate
	for _, w := range sc.workers {
		w.decayFailureScore(now)
		if !w.isOpen(sc) || now.Before(w.avoidUntil) {
			continue
		}
		out = append(out, &candidate{worker: w, allocation: w.allocation(now), mayBeDisturbed: w.mayBeDisturbed(now), isLastResort: now.Before(w.failingUntil) || sc.isReserved(w, now)})
	}
	slices.SortFunc(out, func(a, b *candidate) int { return strings.Compare(a.node, b.node) })
	return out
}

// placement is a worker chosen for a task, and the pace in percent at which the
// task starts there.
type placement struct {
	*candidate
	pace int
}

// bestPlacement returns the candidate with the highest score for a task, if any
// accepts the task.
func (sc *Scheduler) bestPlacement(t *task, pool []*candidate, now time.Time) (placement, bool) {
	var best placement
	minPace := sc.minPace(t.step, now)
	requirement := t.step.requirement(minPace)
	requirement.overdue = t.isOverdue(now)
	if sc.hasShortage(requirement) {
		return best, false
	}
	best, ok := sc.bestOf(pool, t, minPace, now)
	if !ok {
		sc.recordShortage(t.step, requirement)
	}
	return best, ok
}

// bestOf returns the candidate with the highest score for a task of those given, if any
// accepts the task.
func (sc *Scheduler) bestOf(pool []*candidate, t *task, minPace int, now time.Time) (placement, bool) {
	var best placement
	var bestScore float64
	sc.checks.used += len(pool)
	for _, w := range pool {
		if !sc.canAccept(w, t, now) {
			continue
		}
		pace, score := 100, 0.0
		if t.step.Fills {
			if pace = sc.startPace(w, t.step, minPace); pace == 0 {
				continue
			}
		}
		score = w.score(t)
		if t.step.Fills {
			score -= pressureWeight*sc.pressure(w, t.step, pace) + slowPaceWeight*float64(100-pace)/100
		}
		if best.candidate == nil || score > bestScore {
			best, bestScore = placement{w, pace}, score
		}
	}
	return best, best.candidate != nil
}

// canAccept reports whether a worker may take a task beside those that run there and is
// not kept free.
func (sc *Scheduler) canAccept(w *candidate, t *task, now time.Time) bool {
	return (!w.isLastResort || t.isOverdue(now)) && sc.canRun(w, t, now) && (len(sc.suspects) == 0 || !w.onTrialBeside(t, now))
}

// canRun reports whether a worker meets the requirements of a task and has room
// for it. Fills are not placed beside serving tasks that fills may be disturbing.
func (sc *Scheduler) canRun(w *candidate, t *task, now time.Time) bool {
	s := t.step
	return w.info.Service == s.job.policy.Service && w.fits(s) && w.allowsStep(s) && s.mayStartOn(w.worker, now) && (!s.Fills || !w.mayBeDisturbed && !now.Before(w.noFillsUntil))
}

// minPace returns the lowest pace, in percent, at which a fill of the step may
// start: full pace, and past its objective minLatePace. 0 means that it starts
// even where the model predicts interference, which holds for a job of which
// nothing runs long past its objective.
func (sc *Scheduler) minPace(s *step, now time.Time) int {
	switch {
	case !s.Fills || !s.isLate(now):
		return minStartPace
	case s.isLate(now.Add(-maxWaitPastObjective)) && !sc.hasRuns(s.job):
		return 0
	case sc.leavesSlack(s):
		return minStartPace
	}
	return minLatePace
}

// startPace returns the pace, in percent, at which a fill of a step starts on a
// worker, or 0 if it has to wait. minPace is that of the step.
func (sc *Scheduler) startPace(w *candidate, s *step, minPace int) int {
	pace := sc.sustainablePace(w, s)
	switch {
	case minPace == 0:
		return max(pace, forcedPace)
	case pace >= minPace:
		return pace
	}
	return 0
}

// fits reports whether the worker has room for a task of a step.
func (w *candidate) fits(s *step) bool {
	free := w.info.Size.Sub(w.reserved)
	if s.Size.MemoryMB > free.MemoryMB || s.Size.Accelerators > free.Accelerators {
		return false
	}
	if s.Fills {
		return s.Size.CPUMilli <= w.freeFillCPU()
	}
	return s.Size.CPUMilli <= free.CPUMilli
}

// freeFillCPU returns the CPU still available to fills, in thousandths of a
// processor.
func (w *candidate) freeFillCPU() int64 {
	busy := w.reserved.CPUMilli - w.servingCPU + int64(servingCPUShare*float64(w.servingCPU))
	return w.info.Size.CPUMilli - busy - w.fillCPU
}

// score rates a worker for a task; higher is better.
func (w *candidate) score(t *task) float64 {
	s := t.step
	totalCPU := float64(max(w.info.Size.CPUMilli, 1))
	score := -w.failureScore
	if w.isLastResort {
		score -= lastResortPenalty
	}
	if t.lastFailedNode == w.node {
		score -= 2
	}
	if s.Rack != "" && !slices.Contains(w.info.Labels, s.Rack) {
		score--
	}
	switch {
	case s.Standing:
		// Serving tasks of one image are packed together, so that a fill that
		// disturbs only some images finds workers without those.
		var same int64
		for _, g := range w.serving {
			if g.group.Image == s.Image {
				same += g.milli
			}
		}
		score += 2*float64(same)/totalCPU - float64(w.servingCPU-same)/totalCPU - 0.5*float64(w.fillCPU)/totalCPU
	case s.Fills:
		score += float64(w.freeFillCPU()) / totalCPU
	default:
		score += float64(w.info.Size.CPUMilli-w.reserved.CPUMilli)/totalCPU - 0.5*float64(w.fillCPU)/totalCPU
	}
	return score
}
