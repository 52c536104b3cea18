package shard

import (
	"cmp"
	"slices"
	"time"
)

// relieveServingTasks evicts or slows down fills beside the serving tasks over
// their targets.
func (sc *Scheduler) relieveServingTasks(w *worker, now time.Time) {
	pool := sc.recentCandidates(now)
	for r := range w.runs {
		if r.overTargetSince.IsZero() {
			continue
		}
		sc.restoreSlack(r, pool, now)
	}
	w.reliefPausedUntil = now.Add(tailSettleTime)
}

// maxPoolAge is the age up to which the candidates of the last Plan serve to
// find out whether a fill could run elsewhere. Listing them again for each
// worker over its targets would cost the owner more than planning.
const maxPoolAge = 150 * time.Millisecond

// recentCandidates returns the candidates of the last Plan, or current ones if
// it is too long ago.
func (sc *Scheduler) recentCandidates(now time.Time) []*candidate {
	if now.Sub(sc.poolAt) > maxPoolAge {
		sc.pool, sc.poolAt = sc.candidates(now), now
	}
	return sc.pool
}

// fillsByCost returns the fills beside a serving task, ordered by the slack
// that they take from it, highest first, and their total. Those whose jobs gain
// least from completion go before the others.
func (sc *Scheduler) fillsByCost(r *run) ([]*run, float64) {
	var fills []*run
	var total float64
	for f := range r.worker.runs {
		if f.task.step.Fills && !f.stopping {
			fills = append(fills, f)
			total += sc.slackCost(r, f)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		if d := sc.compareGain(a, b); d != 0 {
			return d
		}
		if d := cmp.Compare(sc.slackCost(r, b), sc.slackCost(r, a)); d != 0 {
			return d
		}
		return cmp.Compare(a.task.ref().String(), b.task.ref().String())
	})
	return fills, total
}

// fitsElsewhere reports whether another worker would accept a fill at full
// pace.
func (sc *Scheduler) fitsElsewhere(f *run, pool []*candidate, now time.Time) bool {
	for _, w := range pool {
		if w.worker != f.worker && w.token != 0 && sc.canAccept(w, f.task, now) && sc.sustainablePace(w, f.task.step) >= 100 {
			return true
		}
	}
	return false
}

// evictAllFills stops all fills on a worker and bars new ones for a while.
func (sc *Scheduler) evictAllFills(w *worker, now time.Time) {
	for r := range w.runs {
		if r.task.step.Fills {
			sc.evictFill(r, "tail over its target for long", now)
			w.noFillsUntil = now.Add(noFillsTime)
		}
	}
}

// evictFill stops a fill, so that it restarts on another worker.
func (sc *Scheduler) evictFill(r *run, reason string, now time.Time) {
	if r.stopping {
		return
	}
	sc.onEvent(Event{Name: "fill taken away", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node, Reason: reason})
	r.task.notBefore = now
	// A change of pace takes effect much sooner than a stop.
	sc.setPace(r, 0)
	sc.stopRun(r)
}
