package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

const (
	// paceDelay is how long a change of pace takes to show in a tail latency. Slack
	// is looked up that far ahead when fills are slowed down.
	paceDelay = 700 * time.Millisecond
	// fillHorizon is how far ahead serving groups must keep their slack for a fill
	// to start or to speed up beside them.
	fillHorizon = 2500 * time.Millisecond
	// doubtfulSlack is the slack from which on a single tail latency over its target
	// counts as a wrong figure.
	doubtfulSlack = 1.3
	// startupTime is how long a fill takes until its reported CPU use is complete.
	startupTime = 600 * time.Millisecond
)

// groupTail is the state of the tasks of one serving group on a worker.
type groupTail struct {
	group  interf.ServingGroup
	ratios []float64
}

// median returns the lower median of the tail latencies, which a single rough
// figure does not move.
func (g *groupTail) median() float64 {
	slices.Sort(g.ratios)
	return g.ratios[(len(g.ratios)-1)/2]
}

// observeGroups updates the interference model and the swings from the tail
// latencies on a worker, once for each serving group: its tasks there have the
// same load and the same fills beside them.
func (sc *Scheduler) observeGroups(groups []*groupTail, fills []interf.FillUsage, now time.Time) {
	for _, g := range groups {
		ratio := g.median()
		if ratio <= 0 {
			continue
		}
		if slack, variance, ok := sc.swings.Slack(g.group, now); ok {
			sc.interference.AssumeSlack(g.group, slack, variance, now)
		}
		sc.interference.Observe(g.group, fills, ratio, now)
		if slack, variance, ok := sc.interference.Unfilled(g.group, fills, ratio); ok {
			sc.swings.Observe(g.group, slack, variance, now)
		}
	}
}

// groupTails collects the tail latencies on a worker by serving group.
func (w *worker) groupTails() []*groupTail {
	var out []*groupTail
	for r := range w.runs {
		s := r.task.step
		if s.TailTarget == 0 || r.percent < 100 || !r.confirmed {
			continue
		}
		k := s.servingGroup()
		i := slices.IndexFunc(out, func(g *groupTail) bool { return g.group == k })
		if i < 0 {
			i = len(out)
			out = append(out, &groupTail{group: k})
		}
		out[i].ratios = append(out[i].ratios, r.tailRatio())
	}
	slices.SortFunc(out, func(a, b *groupTail) int { return compareGroups(a.group, b.group) })
	return out
}

func compareGroups(a, b interf.ServingGroup) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Image, b.Image))
}

// tailRatio is the reported tail latency as a multiple of its target.
func (r *run) tailRatio() float64 {
	return float64(r.measured) / float64(r.task.step.TailTarget.Milliseconds())
}

// fillCPUInUse returns the CPU that a fill uses, in thousandths of a processor. The
// reported figure covers half a second, of which a fill that has just started has
// not worked all.
func (sc *Scheduler) fillCPUInUse(r *run, now time.Time) int64 {
	age := now.Sub(r.started)
	if !sc.limitsHarm() || age >= startupTime {
		return r.measured
	}
	return max(r.measured, int64(float64(r.task.step.fillCPU(r.pace))*age.Seconds()/startupTime.Seconds()))
}

// reachableSlack is the slack to which the fills beside a serving task are slowed
// down if its tail is over its target and it has the given slack without them.
func (sc *Scheduler) reachableSlack(slack float64) float64 {
	if sc.limitsHarm() {
		return min(targetSlack, slack-minSlackBudget)
	}
	return targetSlack
}
