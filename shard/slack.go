package shard

import (
	"time"

	"github.com/berylspar/spar/interf"
)

// placementHorizon is how far ahead the slack of serving tasks is forecast when
// fills are placed, which run for some seconds.
const placementHorizon = 1500 * time.Millisecond

// servingGroup returns the serving group of a step in the interference model.
func (s *step) servingGroup() interf.ServingGroup {
	return interf.ServingGroup{Job: s.job.ID, Image: s.Image}
}

// fillCPU returns the CPU that a fill of the step requests at a pace, in
// thousandths of a processor.
func (s *step) fillCPU(pace int) int64 { return s.Size.CPUMilli * int64(pace) / 100 }

// slackWithoutFills returns the estimated slack of a serving task with no fill
// beside it.
func (sc *Scheduler) slackWithoutFills(r *run) float64 {
	if lowest, ok := sc.swings.Lowest(r.task.step.servingGroup(), sc.now, paceDelay); ok {
		return lowest
	}
	current, _ := sc.interference.Slack(r.task.step.servingGroup())
	return current
}

// slackWithFills returns the estimated slack of a serving task beside the given
// fills.
func (sc *Scheduler) slackWithFills(r *run, fills []interf.FillUsage) float64 {
	return sc.slackWithoutFills(r) - sc.interference.TotalCost(r.task.step.Image, fills)
}

// slackCost estimates the slack that a fill takes from a serving task beside
// it. The fill counts with at least half of the CPU that it requests.
func (sc *Scheduler) slackCost(r, f *run) float64 {
	requested := f.task.step.fillCPU(f.pace)
	return sc.interference.Cost(r.task.step.Image, interf.FillUsage{Image: f.task.step.Image, CPUFraction: f.worker.cpuFraction(max(f.measured, requested/2))})
}

// cpuFraction returns an amount of CPU as a fraction of the worker's
// processors.
func (w *worker) cpuFraction(milli int64) float64 {
	return float64(milli) / float64(max(w.info.Size.CPUMilli, 1))
}

// slackBudget returns the slack that fills may take from a serving group. It is
// based on the mean of the forecast slack and of the one at the highest recent
// load.
func (sc *Scheduler) slackBudget(s interf.ServingGroup) float64 {
	if lowest, ok := sc.swings.Lowest(s, sc.now, fillHorizon); ok {
		return max(lowest-targetSlack, minSlackBudget)
	}
	_, lowest := sc.interference.Slack(s)
	return max((sc.interference.Forecast(s, placementHorizon)+lowest)/2-targetSlack, minSlackBudget)
}

// allocatedFillCost returns the slack that the fills allocated on a worker take
// from tasks of a serving image.
func (sc *Scheduler) allocatedFillCost(w *candidate, image string) float64 {
	var sum float64
	for _, f := range w.fills {
		sum += sc.interference.Cost(image, interf.FillUsage{Image: f.image, CPUFraction: w.cpuFraction(f.milli)})
	}
	return sum
}
