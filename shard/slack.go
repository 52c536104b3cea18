package shard

import "github.com/berylspar/spar/interf"

// serving is what a step that serves is known by to the model.
func (s *step) servingGroup() interf.ServingGroup {
	return interf.ServingGroup{Job: s.job.ID, Image: s.Image}
}

// milli is what a fill of the step asks for at a pace, in thousandths of a
// processor.
func (s *step) fillCPU(pace int) int64 { return s.Size.CPUMilli * int64(pace) / 100 }

// slack is what a serving task has beside no fill.
func (sc *Scheduler) slackWithoutFills(r *run) float64 {
	now, _ := sc.interference.Slack(r.task.step.servingGroup())
	return now
}

// slackOf is the slack that a serving task should have beside some fills.
func (sc *Scheduler) slackWithFills(r *run, fills []interf.FillUsage) float64 {
	return sc.slackWithoutFills(r) - sc.interference.TotalCost(r.task.step.Image, fills)
}

// cost is the slack that a fill takes from a serving task beside it.
func (sc *Scheduler) slackCost(r, f *run) float64 {
	asked := f.task.step.fillCPU(f.pace)
	return sc.interference.Cost(r.task.step.Image, interf.FillUsage{Image: f.task.step.Image, CPUFraction: f.worker.cpuFraction(max(f.measured, asked/2))})
}

// part is what some processors are of a worker's.
func (w *worker) cpuFraction(milli int64) float64 {
	return float64(milli) / float64(max(w.info.Size.CPUMilli, 1))
}

// room is the slack that fills may take from a serving job's tasks: between what
// there is now and what is left at the highest load.
func (sc *Scheduler) slackBudget(s interf.ServingGroup) float64 {
	now, low := sc.interference.Slack(s)
	return max((now+low)/2-targetSlack, minSlackBudget)
}

// taken is the slack that the fills booked on a worker take from an image.
func (sc *Scheduler) bookedCost(w *candidate, image string) float64 {
	var sum float64
	for f, milli := range w.cpuByFillImage {
		sum += sc.interference.Cost(image, interf.FillUsage{Image: f, CPUFraction: w.cpuFraction(milli)})
	}
	return sum
}

// paceWith is the pace, in percent, at which a fill of a step can work beside
// what is booked on a worker and leave the serving tasks their slack.
func (sc *Scheduler) sustainablePace(w *candidate, s *step) int {
	pace := 1.0
	for serving := range w.cpuByServingGroup {
		own := sc.interference.Cost(serving.Image, interf.FillUsage{Image: s.Image, CPUFraction: w.cpuFraction(s.Size.CPUMilli)})
		if own > 0 {
			pace = min(pace, (sc.slackBudget(serving)-sc.bookedCost(w, serving.Image))/own)
		}
	}
	return max(int(pace*10), 0) * 10
}

// pressureWith is the highest pressure on a serving task of a worker, as the
// part of its room that is taken, if a fill of a step comes to those that are
// booked there at a pace.
func (sc *Scheduler) pressure(w *candidate, s *step, pace int) float64 {
	var most float64
	for serving := range w.cpuByServingGroup {
		own := sc.interference.Cost(serving.Image, interf.FillUsage{Image: s.Image, CPUFraction: w.cpuFraction(s.fillCPU(pace))})
		most = max(most, (own+sc.bookedCost(w, serving.Image))/sc.slackBudget(serving))
	}
	return most
}
