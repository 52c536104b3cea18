package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

const (
	// fillSummaryInterval is the time between two summaries, and maxSummaryGroups
	// the number of serving groups in one.
	fillSummaryInterval = 10 * time.Second
	maxSummaryGroups    = 5
)

// FillSummary tells what fills cost the serving tasks beside them.
type FillSummary struct {
	// OverTarget is the time, summed over serving tasks, for which tail latencies
	// were over their targets beside fills since the last summary.
	OverTarget time.Duration
	// Groups are the serving groups from which fills take most slack, on the worker
	// where they take most of it.
	Groups []GroupSlack
}

// GroupSlack is the estimated slack of a serving group without fills, and the part
// that fills on a node take.
type GroupSlack struct {
	interf.ServingGroup
	Node         string
	Slack, Given float64
}

// FillSummary returns a summary if harm is limited and the last one is
// fillSummaryInterval old.
func (sc *Scheduler) FillSummary(now time.Time) (FillSummary, bool) {
	if !sc.limitsHarm() || now.Sub(sc.fillsSummarizedAt) < fillSummaryInterval {
		return FillSummary{}, false
	}
	out := FillSummary{OverTarget: sc.overTarget, Groups: sc.slackGiven(now)}
	sc.fillsSummarizedAt, sc.overTarget = now, 0
	return out, true
}

// slackGiven returns the maxSummaryGroups serving groups from which fills take most
// slack.
func (sc *Scheduler) slackGiven(now time.Time) []GroupSlack {
	highest := map[interf.ServingGroup]GroupSlack{}
	for _, w := range sc.workers {
		c := &candidate{worker: w, allocation: w.allocation(now)}
		if len(c.fills) == 0 {
			continue
		}
		for _, g := range c.serving {
			if given := sc.allocatedFillCost(c, g.group.Image); given > highest[g.group].Given {
				slack, _ := sc.interference.Slack(g.group)
				highest[g.group] = GroupSlack{g.group, w.node, slack, given}
			}
		}
	}
	var out []GroupSlack
	for _, g := range highest {
		out = append(out, g)
	}
	slices.SortFunc(out, func(a, b GroupSlack) int {
		return cmp.Or(cmp.Compare(b.Given, a.Given), compareGroups(a.ServingGroup, b.ServingGroup))
	})
	return out[:min(len(out), maxSummaryGroups)]
}

// countOverTarget adds the time since the last check of a worker's tail latencies
// for the tasks that were over their targets beside fills.
func (sc *Scheduler) countOverTarget(w *worker, since time.Duration) {
	over, fills := 0, false
	for r := range w.runs {
		fills = fills || r.task.step.Fills
		if r.task.step.TailTarget > 0 && r.percent == 100 && r.tailRatio() > 1 {
			over++
		}
	}
	if fills {
		sc.overTarget += time.Duration(over) * min(since, time.Second)
	}
}
