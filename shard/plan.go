package shard

import (
	"slices"
	"time"
)

// Plan claims places for tasks that may run. The claims take effect once they
// are stored.
func (c *Core) Plan(now time.Time) {
	var turns []turn
	for j := range c.active {
		for _, o := range j.occurs {
			for _, s := range o.steps {
				if s.open > 0 && s.ready() {
					turns = append(turns, turn{step: s, late: s.late(now), left: s.left()})
				}
			}
		}
	}
	slices.SortFunc(turns, compare)
	pool := c.pool(now)
	c.unadvised = nil
	for _, t := range turns {
		if !c.planStep(t.step, pool, now) && t.job.policy.Advised {
			c.unadvised = append(c.unadvised, t.step)
		}
	}
}

// turn is a step that may run, with what decides when its turn is.
type turn struct {
	*step
	late bool
	left time.Duration
}

// compare orders steps: standing ones first, then by priority, those that can
// still meet their objective before those that cannot, and shorter jobs first.
func compare(a, b turn) int {
	if a.Standing != b.Standing {
		return order(a.Standing, b.Standing)
	}
	if d := a.job.policy.Priority - b.job.policy.Priority; d != 0 {
		return d
	}
	if a.late != b.late {
		return order(b.late, a.late)
	}
	if d := a.left - b.left; d != 0 {
		return sign(int64(d))
	}
	if d := a.job.arrived.Compare(b.job.arrived); d != 0 {
		return d
	}
	if a.job != b.job {
		if a.job.ID < b.job.ID {
			return -1
		}
		return 1
	}
	return a.index - b.index
}

// left estimates the work left in the step's occurrence.
func (s *step) left() time.Duration {
	var sum time.Duration
	for _, o := range s.occur.steps {
		sum += o.remaining()
	}
	return sum
}

// late tells whether the occurrence is past its objective.
func (s *step) late(now time.Time) bool {
	return now.After(s.occur.due.Add(s.objective()))
}

// objective is the time that an occurrence should take.
func (s *step) objective() time.Duration {
	p := s.job.policy
	return time.Duration(p.Stretch*float64(s.occur.longest)) + p.Slack
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func sign(n int64) int {
	switch {
	case n < 0:
		return -1
	case n > 0:
		return 1
	}
	return 0
}

// planStep places the waiting tasks of a step until one finds no place; the
// others are like it. It tells whether all have a place.
func (c *Core) planStep(s *step, pool []*candidate, now time.Time) bool {
	if s.Gang {
		return c.planGang(s, pool, now)
	}
	for _, t := range s.tasks {
		if t.done || len(t.runs) > 0 || now.Before(t.notBefore) {
			continue
		}
		w, ok := c.pick(t, pool, now)
		if !ok {
			return false
		}
		c.claim(t, w, t.last+1, now)
	}
	return true
}

// planGang places all tasks of a gang, or none. It tells false when there is no
// place.
func (c *Core) planGang(s *step, pool []*candidate, now time.Time) bool {
	var last int64
	for _, t := range s.tasks {
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return true
		}
		last = max(last, t.last)
	}
	saved := s.tasks[0].saved
	var claimed []place
	for _, t := range s.tasks {
		w, ok := c.pick(t, pool, now)
		if !ok {
			for i, w := range claimed {
				w.release(s)
				c.unclaim(s.tasks[i])
			}
			return false
		}
		t.saved = saved
		c.claim(t, w, last+1, now)
		claimed = append(claimed, w)
	}
	return true
}

// claim puts a run of a task on a worker.
func (c *Core) claim(t *task, w place, number int64, now time.Time) {
	r := &run{task: t, worker: w.worker, number: number, token: w.token, pace: w.pace, started: now, moved: now}
	t.last = number
	t.runs = append(t.runs, r)
	w.runs[r] = true
	w.take(t.step)
	c.orders = append(c.orders, r)
	c.dirty(t.step.job)
	c.events(Event{What: "run claimed", Task: t.ref().String(), Run: number, Node: w.node, Reason: t.step.Image})
}

// unclaim takes back a claim of this pass.
func (c *Core) unclaim(t *task) {
	r := t.runs[len(t.runs)-1]
	c.free(r)
	c.orders = slices.DeleteFunc(c.orders, func(o *run) bool { return o == r })
}
