package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

const (
	// tailCheckInterval is the shortest time between two checks of a worker's
	// tail latencies. A reported figure covers half a second.
	tailCheckInterval = 400 * time.Millisecond
	// endedFillWindow is how long a fill still affects reported tail latencies
	// after its end.
	endedFillWindow = 600 * time.Millisecond
	// overTargetTolerance is how long a tail latency may exceed its target
	// before fills are evicted or slowed down. Two reports in a row reach it.
	// If the model predicts that the target is exceeded, one report suffices.
	overTargetTolerance = 350 * time.Millisecond
	// tailSettleTime is how long tail latencies are given to settle after fills
	// were evicted, slowed down or have ended.
	tailSettleTime = 1200 * time.Millisecond
	// maxTimeOverTarget is how long a tail latency may exceed its target before
	// all fills on the worker are evicted.
	maxTimeOverTarget = 1900 * time.Millisecond
	// noFillsTime is how long a worker gets no fills after all were evicted.
	noFillsTime = 2 * time.Second
	// slowWorkerTime is how long a tail latency must exceed its target without
	// any fill before the worker itself counts as slow. Load peaks are shorter.
	slowWorkerTime = 4 * time.Second
	// targetSlack is the slack that placing and throttling fills leave to
	// serving tasks. The margin above 1 covers rough figures and rising loads.
	targetSlack = 1.1
	// throttleSlack is the slack below which fills are slowed down before the
	// target is missed.
	throttleSlack = 1.1
	// minSlackBudget keeps the pressure finite if the load of a serving group
	// leaves no slack.
	minSlackBudget = 0.1
	// minStartPace is the lowest pace, in percent, at which fills start, and
	// minLatePace the one for fills past their objective. At a lower one they
	// would take room and slack for long without getting done.
	minStartPace, minLatePace = 100, 50
	// forcedPace is the pace of fills that start in spite of a predicted
	// interference, since their job must not wait forever.
	forcedPace = 10
	// maxWaitPastObjective is how long past its objective a job of which nothing
	// runs still waits for a worker with enough slack.
	maxWaitPastObjective = 5 * time.Second
	// minPaceIncrease is the smallest increase of a pace, in percentage points,
	// unless it reaches full pace.
	minPaceIncrease = 20
	// nearlyDonePercent is the progress from which a fill is left to finish.
	nearlyDonePercent = 85
)

// endedFill is a fill that ended recently and may still affect tail latencies.
type endedFill struct {
	usage   interf.FillUsage
	endedAt time.Time
}

// checkTails updates the interference model from the tail latencies on a
// worker, and evicts or slows down fills that disturb serving tasks. It also
// stops stalled runs and speeds up slowed fills where the slack allows.
func (sc *Scheduler) checkTails(w *worker, now time.Time) {
	if now.Sub(w.tailsCheckedAt) < tailCheckInterval {
		return
	}
	since := now.Sub(w.tailsCheckedAt)
	w.tailsCheckedAt = now
	fills := sc.fillUsage(w, now)
	if sc.limitsHarm() {
		sc.countOverTarget(w, since)
		sc.observeGroups(w.groupTails(), fills, now)
	}
	longestOver, excessPredicted := time.Duration(-1), false
	var tight []*run
	for r := range w.runs {
		s := r.task.step
		if s.TailTarget == 0 || r.percent < 100 || !r.confirmed {
			r.overTargetSince = time.Time{}
			continue
		}
		tailRatio := r.tailRatio()
		excessPredicted = excessPredicted || tailRatio > 1 && sc.slackWithFills(r, fills) < 1
		if !sc.limitsHarm() {
			sc.interference.Observe(s.servingGroup(), fills, tailRatio, now)
		}
		if sc.slackWithFills(r, fills) < throttleSlack {
			tight = append(tight, r)
		}
		if tailRatio <= 1 {
			r.overTargetSince, r.roughlyOver = time.Time{}, false
			continue
		}
		if sc.limitsHarm() && r.overTargetSince.IsZero() && !r.roughlyOver && sc.slackWithFills(r, fills) > doubtfulSlack {
			// A single figure that the model contradicts may be wrong.
			r.roughlyOver = true
			continue
		}
		if r.overTargetSince.IsZero() {
			r.overTargetSince = now
		}
		longestOver = max(longestOver, now.Sub(r.overTargetSince))
	}
	sc.stopStalledRuns(w, now)
	if sc.limitsHarm() {
		sc.adjustFills(w, now)
		tight = nil
	} else {
		sc.speedUpFills(w, now)
	}
	switch {
	case longestOver >= maxTimeOverTarget:
		sc.evictAllFills(w, now)
	case (longestOver >= overTargetTolerance || longestOver >= 0 && excessPredicted) && now.After(w.reliefPausedUntil):
		sc.relieveServingTasks(w, now)
	default:
		sc.throttleFills(tight, now)
	}
}

// throttleFills slows down the fills beside serving tasks that are close to
// their targets.
func (sc *Scheduler) throttleFills(tight []*run, now time.Time) {
	for _, r := range tight {
		sc.restoreSlack(r, nil, now)
	}
}

// restoreSlack brings a serving task back to targetSlack. Beginning with the
// fills that cost it most, it evicts those that another worker of the pool
// would accept, and slows down the others.
func (sc *Scheduler) restoreSlack(r *run, pool []*candidate, now time.Time) {
	slack := sc.slackWithoutFills(r)
	fills, cost := sc.fillsByCost(r)
	target := sc.reachableSlack(slack)
	for _, f := range fills {
		if slack-cost >= target {
			break
		}
		if f.percent < nearlyDonePercent && sc.fitsElsewhere(f, pool, now) {
			cost -= sc.slackCost(r, f)
			sc.evictFill(f, "disturbs "+r.task.step.Image, now)
			continue
		}
		cost -= sc.slowFill(r, f, target-(slack-cost))
	}
}

// slowFill reduces the pace of a fill so that a serving task gains the given
// slack, as far as possible, and returns the slack gained. A fill long past its
// objective keeps forcedPace.
func (sc *Scheduler) slowFill(r, f *run, gain float64) float64 {
	cost := sc.slackCost(r, f)
	if cost <= 0 || f.percent >= nearlyDonePercent {
		return 0
	}
	oldPace, minPace := f.pace, 0
	if f.task.step.isLate(sc.now.Add(-maxWaitPastObjective)) {
		minPace = forcedPace
	}
	sc.setPace(f, max(int(float64(oldPace)*(cost-gain)/cost)/10*10, min(oldPace, minPace)))
	return cost * float64(oldPace-f.pace) / float64(max(oldPace, 1))
}

// fillUsage returns the CPU use by image of the current and the recently ended
// fills.
func (sc *Scheduler) fillUsage(w *worker, now time.Time) []interf.FillUsage {
	fractions := map[string]float64{}
	for r := range w.runs {
		if r.task.step.Fills && r.confirmed {
			fractions[r.task.step.Image] += w.cpuFraction(sc.fillCPUInUse(r, now))
		}
	}
	w.recentFills = slices.DeleteFunc(w.recentFills, func(e endedFill) bool { return now.Sub(e.endedAt) > endedFillWindow })
	for _, e := range w.recentFills {
		fractions[e.usage.Image] += e.usage.CPUFraction
	}
	var out []interf.FillUsage
	for image, fraction := range fractions {
		out = append(out, interf.FillUsage{Image: image, CPUFraction: fraction})
	}
	slices.SortFunc(out, func(a, b interf.FillUsage) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// mayBeDisturbed reports whether a serving task on the worker exceeds its
// target and a current or recent fill may be the cause. Without a fill the
// worker itself is slow, and fills must not wait for it forever.
func (w *worker) mayBeDisturbed(now time.Time) bool {
	over, fills := false, now.Sub(w.lastFillEnded) < tailSettleTime
	for r := range w.runs {
		over = over || !r.overTargetSince.IsZero()
		fills = fills || r.task.step.Fills
	}
	return over && fills
}

// isSlowWithoutFills reports whether a serving task has exceeded its target for
// slowWorkerTime without any fill on the worker.
func (w *worker) isSlowWithoutFills(r *run, now time.Time) bool {
	if r.overTargetSince.IsZero() || now.Sub(r.overTargetSince) < slowWorkerTime || now.Sub(w.lastFillEnded) < slowWorkerTime {
		return false
	}
	for f := range w.runs {
		if f.task.step.Fills {
			return false
		}
	}
	return true
}

// setPace orders a run to work at a share of its full speed, in percent.
func (sc *Scheduler) setPace(r *run, percent int) {
	percent = min(max(percent, 0), 100)
	if r.pace != percent {
		r.pace = percent
		sc.pendingPaces[r] = true
	}
}

// speedUpFills raises the pace of slowed fills as far as the slack budgets
// allow.
func (sc *Scheduler) speedUpFills(w *worker, now time.Time) {
	for _, f := range sc.slowedFills(w) {
		others := &candidate{worker: w, allocation: w.allocation(now)}
		others.addFill(f.task.step.Image, -f.task.step.fillCPU(f.pace))
		if pace := sc.sustainablePace(others, f.task.step); pace >= f.pace+minPaceIncrease || pace >= 100 {
			sc.setPace(f, pace)
		}
	}
}
