package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

const (
	// lookEvery is the least time between two looks at a worker's tails; its
	// figures cover half a second.
	tailCheckInterval = 400 * time.Millisecond
	// afterglow is how long a fill that has ended still shows in the tails.
	endedFillWindow = 600 * time.Millisecond
	// patience is how long a tail may be over its target before fills are
	// taken away that the model does not expect to disturb: two figures in a
	// row. Those that it does expect to are taken away at the first.
	overTargetTolerance = 350 * time.Millisecond
	// settleTime is how long after that the tails are given to settle.
	tailSettleTime = 1200 * time.Millisecond
	// harmLimit is how long a tail may be over its target before all fills are
	// taken away.
	maxTimeOverTarget = 1900 * time.Millisecond
	// banTime is how long a worker gets no fills after that.
	noFillsTime = 2 * time.Second
	// slowTime is how long a tail may be over its target without any fill until
	// the worker is taken to be slow by itself; a load's peak is shorter.
	slowWorkerTime = 4 * time.Second
	// goalSlack is the slack that fills leave to serving tasks when they are
	// placed; figures that are rough and loads that rise take the rest.
	targetSlack = 1.1
	// tightSlack is the slack below which fills are slowed down before the
	// target is missed.
	throttleSlack = 1.1
	// leastRoom keeps pressures finite where a load leaves no slack.
	minSlackBudget = 0.1
	// leastPace and latePace are the slowest paces, in percent, at which fills
	// are placed: those past their objective must not wait for ever.
	minStartPace, minLatePace = 100, 10
	// lateWait is how long after its objective a fill still waits for a worker
	// that has slack.
	maxWaitPastObjective = 5 * time.Second
	// paceStep is the least change of a pace, in percent.
	minPaceIncrease = 20
	// nearlyDone is the percentage from which a fill is left to finish.
	nearlyDonePercent = 85
)

// echo is a fill that ended a moment ago.
type endedFill struct {
	usage interf.FillUsage
	at    time.Time
}

// look learns from a worker's tails, and takes away what disturbs them.
func (sc *Scheduler) checkTails(w *worker, now time.Time) {
	if now.Sub(w.tailsCheckedAt) < tailCheckInterval {
		return
	}
	w.tailsCheckedAt = now
	fills := w.fillUsage(now)
	worst, expected := time.Duration(-1), false
	var tight []*run
	for r := range w.runs {
		s := r.task.step
		if s.TailTarget == 0 || r.percent < 100 || !r.confirmed {
			r.overTargetSince = time.Time{}
			continue
		}
		level := float64(r.measured) / float64(s.TailTarget.Milliseconds())
		expected = expected || level > 1 && sc.slackWithFills(r, fills) < 1
		sc.interference.Observe(s.servingGroup(), fills, level, now)
		if sc.slackWithFills(r, fills) < throttleSlack {
			tight = append(tight, r)
		}
		if level <= 1 {
			r.overTargetSince = time.Time{}
			continue
		}
		if r.overTargetSince.IsZero() {
			r.overTargetSince = now
		}
		worst = max(worst, now.Sub(r.overTargetSince))
	}
	sc.stopStalledRuns(w, now)
	sc.speedUpFills(w, now)
	switch {
	case worst >= maxTimeOverTarget:
		sc.evictAllFills(w, now)
	case (worst >= overTargetTolerance || worst >= 0 && expected) && now.After(w.reliefPausedUntil):
		sc.relieveServingTasks(w, now)
	default:
		sc.throttleFills(tight, now)
	}
}

// ease slows the fills beside serving tasks that are close to their targets.
func (sc *Scheduler) throttleFills(tight []*run, now time.Time) {
	for _, r := range tight {
		sc.restoreSlack(r, nil, now)
	}
}

// lighten gives a serving task its slack back: the fills that cost it most go to
// a worker of the pool that will have them, and are slowed down otherwise.
func (sc *Scheduler) restoreSlack(r *run, pool []*candidate, now time.Time) {
	slack := sc.slackWithoutFills(r)
	fills, sum := sc.fillsByCost(r)
	for _, f := range fills {
		if slack-sum >= targetSlack {
			break
		}
		if f.percent < nearlyDonePercent && sc.fitsElsewhere(f, pool, now) {
			sum -= sc.slackCost(r, f)
			sc.evictFill(f, "disturbs "+r.task.step.Image, now)
			continue
		}
		sum -= sc.slowFill(r, f, targetSlack-(slack-sum))
	}
}

// slow takes a fill's pace down so far that a serving task gains some slack,
// and returns what it gains.
func (sc *Scheduler) slowFill(r, f *run, gain float64) float64 {
	own := sc.slackCost(r, f)
	if own <= 0 || f.percent >= nearlyDonePercent {
		return 0
	}
	old, least := f.pace, 0
	if f.task.step.isLate(sc.now.Add(-maxWaitPastObjective)) {
		least = minLatePace
	}
	sc.setPace(f, max(int(float64(old)*(own-gain)/own)/10*10, min(old, least)))
	return own * float64(old-f.pace) / float64(max(old, 1))
}

// fillShares are the processors in use by each image's fills.
func (w *worker) fillUsage(now time.Time) []interf.FillUsage {
	parts := map[string]float64{}
	for r := range w.runs {
		if r.task.step.Fills && r.confirmed {
			parts[r.task.step.Image] += w.cpuFraction(r.measured)
		}
	}
	w.recentFills = slices.DeleteFunc(w.recentFills, func(e endedFill) bool { return now.Sub(e.at) > endedFillWindow })
	for _, e := range w.recentFills {
		parts[e.usage.Image] += e.usage.CPUFraction
	}
	var out []interf.FillUsage
	for i, p := range parts {
		out = append(out, interf.FillUsage{Image: i, CPUFraction: p})
	}
	slices.SortFunc(out, func(a, b interf.FillUsage) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// isDisturbed tells whether a serving task on the worker is over its target, and
// fills may be the cause: one is there, or was until a moment ago. A worker that
// is slow by itself must not keep fills waiting for ever.
func (w *worker) mayBeDisturbed(now time.Time) bool {
	over, fills := false, now.Sub(w.lastFillEnded) < tailSettleTime
	for r := range w.runs {
		over = over || !r.overTargetSince.IsZero()
		fills = fills || r.task.step.Fills
	}
	return over && fills
}

// isSlow tells whether a serving task misses its target whatever the fills do:
// it has done so for a while, and none was there.
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

// relieve takes weight off the serving tasks over their targets.
func (sc *Scheduler) relieveServingTasks(w *worker, now time.Time) {
	pool := sc.candidates(now)
	for r := range w.runs {
		if r.overTargetSince.IsZero() {
			continue
		}
		sc.restoreSlack(r, pool, now)
	}
	w.reliefPausedUntil = now.Add(tailSettleTime)
}

// pressing returns the fills beside a serving task, those that cost it most
// first, and the slack that they take together.
func (sc *Scheduler) fillsByCost(r *run) ([]*run, float64) {
	var fills []*run
	var sum float64
	for f := range r.worker.runs {
		if f.task.step.Fills && !f.stopping {
			fills = append(fills, f)
			sum += sc.slackCost(r, f)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		if d := cmp.Compare(sc.slackCost(r, b), sc.slackCost(r, a)); d != 0 {
			return d
		}
		return cmp.Compare(a.task.ref().String(), b.task.ref().String())
	})
	return fills, sum
}

// elsewhere tells whether another worker would take a fill at full pace.
func (sc *Scheduler) fitsElsewhere(f *run, pool []*candidate, now time.Time) bool {
	for _, w := range pool {
		if w.worker != f.worker && sc.canAccept(w, f.task, now) && sc.sustainablePace(w, f.task.step) >= 100 {
			return true
		}
	}
	return false
}

// setPace orders a run to work at a share of its speed.
func (sc *Scheduler) setPace(r *run, percent int) {
	percent = min(max(percent, 0), 100)
	if r.pace != percent {
		r.pace = percent
		sc.pendingPaces[r] = true
	}
}

// quicken lets slowed fills work faster as far as the pressure allows.
func (sc *Scheduler) speedUpFills(w *worker, now time.Time) {
	for f := range w.runs {
		if !f.task.step.Fills || f.pace >= 100 || f.stopping {
			continue
		}
		o := &candidate{worker: w, allocation: w.allocation(now)}
		o.cpuByFillImage[f.task.step.Image] -= f.task.step.fillCPU(f.pace)
		if p := sc.sustainablePace(o, f.task.step); p >= f.pace+minPaceIncrease || p >= 100 {
			sc.setPace(f, p)
		}
	}
}

// clear takes away all fills of a worker.
func (sc *Scheduler) evictAllFills(w *worker, now time.Time) {
	for r := range w.runs {
		if r.task.step.Fills {
			sc.evictFill(r, "tail over its target for long", now)
			w.noFillsUntil = now.Add(noFillsTime)
		}
	}
}

func (sc *Scheduler) evictFill(r *run, why string, now time.Time) {
	if r.stopping {
		return
	}
	sc.onEvent(Event{Name: "fill taken away", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node, Reason: why})
	r.task.notBefore = now
	// A pace takes effect much sooner than a stop.
	sc.setPace(r, 0)
	sc.stopRun(r)
}
