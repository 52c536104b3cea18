package shard

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

// harmSamples is the number of moments in the time ahead at which the harm of a
// fill is computed.
const harmSamples = 4

// minSlackBesideFills is the slack that fills leave to a serving task however
// little harm they do on the whole. Below it the task would be over its target for
// long.
const minSlackBesideFills = 1

// minSlackCost is the slack below which a fill does no harm to a serving group.
const minSlackCost = 0.03

// limitsHarm reports whether fills are placed and paced by their expected harm.
func (sc *Scheduler) limitsHarm() bool { return sc.limits.FillHarm > 0 }

// harmLimit is the harm, in task-seconds over target a second, that a fill of a
// step may do at a pace.
func (sc *Scheduler) harmLimit(s *step, pace int) float64 {
	return sc.limits.FillHarm * float64(s.fillCPU(pace)) / 1000
}

// slackAhead returns the slack of a serving group without fills at harmSamples
// moments within a span of time.
func (sc *Scheduler) slackAhead(g groupCPU, span time.Duration) (out [harmSamples]float64) {
	for i := range out {
		at := span * time.Duration(i) / (harmSamples - 1)
		slack, _, ok := sc.swings.Slack(g.group, sc.now.Add(at))
		if !ok {
			_, lowest := sc.interference.Slack(g.group)
			slack = (sc.interference.Forecast(g.group, at) + lowest) / 2
		}
		out[i] = slack
	}
	return out
}

// harm returns for how many task-seconds a second serving tasks are expected to be
// over their targets because of further fills with the given CPU use. It is above
// the limit if a serving task would be left less than minSlackBesideFills.
func (h *fillHeadroom) harm(loads []groupLoad, fraction, limit float64) float64 {
	var sum float64
	for i, g := range loads {
		cost := h.costs[i] * fraction
		if cost < minSlackCost {
			continue
		}
		lowest := math.Inf(1)
		for _, slack := range g.ahead {
			slack -= g.filled
			lowest = min(lowest, slack)
			sum += float64(g.tasks) * (interf.OverTarget(slack-cost) - interf.OverTarget(slack)) / harmSamples
		}
		if lowest-cost < minSlackBesideFills && cost > minSlackBudget {
			return limit + 1
		}
	}
	return sum
}

// runningHarmFactor is by how much a fill at work may exceed the limit of harm that
// holds for its start. A fill that is slowed down as soon as it could not start any
// more holds its room for long, and brings its job no nearer to its end.
const runningHarmFactor = 3

// paceWithinHarm returns the highest pace, in percent and in steps of 10, at which
// a fill of a step keeps to its limit of harm times a factor.
func (sc *Scheduler) paceWithinHarm(w *candidate, s *step, factor float64) int {
	h, full := sc.headroom(w, s.Image), w.cpuFraction(s.Size.CPUMilli)
	for pace := 100; pace > 0; pace -= 10 {
		if limit := factor * sc.harmLimit(s, pace); h.harm(w.groupLoads, full*float64(pace)/100, limit) <= limit {
			return pace
		}
	}
	return 0
}

// harmShare returns the harm of a fill of a step at a pace as a share of its limit.
func (sc *Scheduler) harmShare(w *candidate, s *step, pace int) float64 {
	limit := max(sc.harmLimit(s, pace), 1e-9)
	return sc.headroom(w, s.Image).harm(w.groupLoads, w.cpuFraction(s.fillCPU(pace)), limit) / limit
}

// adjustFills sets the paces of the fills on a worker to what their harm allows
// within the time that a change of pace takes, beginning with the least harmful.
func (sc *Scheduler) adjustFills(w *worker, now time.Time) {
	c := &candidate{worker: w, allocation: w.allocation(now), span: paceDelay}
	if len(c.fills) == 0 {
		return
	}
	var fills []*run
	for f := range w.runs {
		if f.task.step.Fills && !f.stopping && f.percent < nearlyDonePercent {
			fills = append(fills, f)
			c.change(sc, f.task.step, f.pace, -1)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		d := cmp.Compare(sc.worstCost(c, a.task.step), sc.worstCost(c, b.task.step))
		return cmp.Or(d, cmp.Compare(b.percent, a.percent), cmp.Compare(a.task.ref().String(), b.task.ref().String()))
	})
	for _, f := range fills {
		s, pace := f.task.step, sc.paceWithinHarm(c, f.task.step, runningHarmFactor)
		if s.isLate(now.Add(-maxWaitPastObjective)) {
			pace = max(pace, forcedPace)
		}
		if pace > f.pace && pace < 100 && pace < f.pace+minPaceIncrease {
			pace = f.pace
		}
		sc.setPace(f, pace)
		c.change(sc, s, pace, 1)
	}
}

// worstCost is the highest cost of an image among the serving groups of a worker.
func (sc *Scheduler) worstCost(c *candidate, s *step) float64 {
	var worst float64
	for _, cost := range sc.headroom(c, s.Image).costs {
		worst = max(worst, cost)
	}
	return worst
}
