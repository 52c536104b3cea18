package shard

import "github.com/berylspar/spar/interf"

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
// based on the mean of the current slack and of the one at the highest recent
// load.
func (sc *Scheduler) slackBudget(s interf.ServingGroup) float64 {
	current, lowest := sc.interference.Slack(s)
	return max((current+lowest)/2-targetSlack, minSlackBudget)
}

// allocatedFillCost returns the slack that the fills allocated on a worker take
// from tasks of a serving image.
func (sc *Scheduler) allocatedFillCost(w *candidate, image string) float64 {
	var sum float64
	for fill, milli := range w.cpuByFillImage {
		sum += sc.interference.Cost(image, interf.FillUsage{Image: fill, CPUFraction: w.cpuFraction(milli)})
	}
	return sum
}

// sustainablePace returns the pace, in percent and in steps of 10, at which a
// fill of a step can run beside the tasks allocated on a worker without
// exceeding the slack budget of any serving task.
func (sc *Scheduler) sustainablePace(w *candidate, s *step) int {
	pace := 1.0
	for group := range w.cpuByServingGroup {
		cost := sc.interference.Cost(group.Image, interf.FillUsage{Image: s.Image, CPUFraction: w.cpuFraction(s.Size.CPUMilli)})
		if cost > 0 {
			pace = min(pace, (sc.slackBudget(group)-sc.allocatedFillCost(w, group.Image))/cost)
		}
	}
	return max(int(pace*10), 0) * 10
}

// pressure returns the highest used share of a slack budget among the serving
// tasks of a worker, if a fill of a step is added at the given pace.
func (sc *Scheduler) pressure(w *candidate, s *step, pace int) float64 {
	var highest float64
	for group := range w.cpuByServingGroup {
		cost := sc.interference.Cost(group.Image, interf.FillUsage{Image: s.Image, CPUFraction: w.cpuFraction(s.fillCPU(pace))})
		highest = max(highest, (cost+sc.allocatedFillCost(w, group.Image))/sc.slackBudget(group))
	}
	return highest
}
