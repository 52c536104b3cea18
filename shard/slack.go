package shard

import "github.com/berylspar/spar/interf"

// serving is what a step that serves is known by to the model.
func (s *step) serving() interf.Serving { return interf.Serving{Job: s.job.ID, Image: s.Image} }

// milli is what a fill of the step asks for at a pace, in thousandths of a
// processor.
func (s *step) milli(pace int) int64 { return s.Size.CPUMilli * int64(pace) / 100 }

// slack is what a serving task has beside no fill.
func (c *Core) slack(r *run) float64 {
	now, _ := c.interference.Slack(r.task.step.serving())
	return now
}

// slackOf is the slack that a serving task should have beside some fills.
func (c *Core) slackOf(r *run, fills []interf.Share) float64 {
	return c.slack(r) - c.interference.Costs(r.task.step.Image, fills)
}

// cost is the slack that a fill takes from a serving task beside it.
func (c *Core) cost(r, f *run) float64 {
	asked := f.task.step.milli(f.pace)
	return c.interference.Cost(r.task.step.Image, interf.Share{Image: f.task.step.Image, Part: f.worker.part(max(f.figure, asked/2))})
}

// part is what some processors are of a worker's.
func (w *worker) part(milli int64) float64 {
	return float64(milli) / float64(max(w.info.Size.CPUMilli, 1))
}

// room is the slack that fills may take from a serving job's tasks: between what
// there is now and what is left at the highest load.
func (c *Core) room(s interf.Serving) float64 {
	now, low := c.interference.Slack(s)
	return max((now+low)/2-goalSlack, leastRoom)
}

// taken is the slack that the fills booked on a worker take from an image.
func (c *Core) taken(w *candidate, image string) float64 {
	var sum float64
	for f, milli := range w.fills {
		sum += c.interference.Cost(image, interf.Share{Image: f, Part: w.part(milli)})
	}
	return sum
}

// paceWith is the pace, in percent, at which a fill of a step can work beside
// what is booked on a worker and leave the serving tasks their slack.
func (c *Core) paceWith(w *candidate, s *step) int {
	pace := 1.0
	for serving := range w.servings {
		own := c.interference.Cost(serving.Image, interf.Share{Image: s.Image, Part: w.part(s.Size.CPUMilli)})
		if own > 0 {
			pace = min(pace, (c.room(serving)-c.taken(w, serving.Image))/own)
		}
	}
	return max(int(pace*10), 0) * 10
}

// pressureWith is the highest pressure on a serving task of a worker, as the
// part of its room that is taken, if a fill of a step comes to those that are
// booked there at a pace.
func (c *Core) pressureWith(w *candidate, s *step, pace int) float64 {
	var most float64
	for serving := range w.servings {
		own := c.interference.Cost(serving.Image, interf.Share{Image: s.Image, Part: w.part(s.milli(pace))})
		most = max(most, (own+c.taken(w, serving.Image))/c.room(serving))
	}
	return most
}
