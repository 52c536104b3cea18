package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// ended takes an end. It may come again, and of a run that was given up.
func (c *Core) ended(w *worker, e spar.Ended, now time.Time) {
	c.acks[w] = max(c.acks[w], e.Number)
	j := c.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.find(e.Task)
	if t == nil {
		return
	}
	r := c.lookup(w, e.Task, e.Run)
	stopping := r != nil && r.stopping
	if r != nil {
		c.confirm(r, now)
		c.free(r)
	}
	c.dirty(j)
	c.events(Event{What: "run ended", Task: e.Task.String(), Run: e.Run, Node: w.node, Reason: string(e.Ending)})
	if t.done {
		return
	}
	if e.Checkpoint != "" {
		t.saved = e.Checkpoint
	}
	switch e.Ending {
	case spar.EndDone:
		c.done(t, now)
	case spar.EndFailed:
		c.failed(t, w, e.Run, now)
	case spar.EndStopped:
		if !stopping {
			t.notBefore = now
		}
	}
	if t.step.Gang && e.Ending != spar.EndDone {
		c.breakGang(t.step)
	}
}

// done takes the end of a task; one end of a gang is the end of all of it.
func (c *Core) done(t *task, now time.Time) {
	if t.step.Standing {
		return
	}
	all := []*task{t}
	if t.step.Gang {
		all = t.step.tasks
	}
	for _, t := range all {
		if t.done {
			continue
		}
		t.done = true
		t.step.open--
		for _, r := range t.runs {
			c.stop(r)
		}
	}
	j := t.step.job
	if !j.ended() && j.complete() {
		c.close(j, Completed, now)
	}
}

// complete tells whether every task of every occurrence is done.
func (j *job) complete() bool {
	if len(j.occurs) < max(j.Times, 1) {
		return false
	}
	for _, o := range j.occurs {
		for _, s := range o.steps {
			if s.open > 0 {
				return false
			}
		}
	}
	return true
}

// failed counts a failure; a gang's counts once for all its members.
func (c *Core) failed(t *task, w *worker, number int64, now time.Time) {
	if t.shy != w.node {
		w.blame(now, 1)
	}
	t.shy = w.node
	s := t.step
	counted := s.tasks[:1]
	if !s.Gang {
		counted = []*task{t}
	}
	for _, t := range counted {
		if !slices.Contains(t.failed, number) {
			t.failed = append(t.failed, number)
		}
	}
	j := s.job
	if !s.Standing && len(counted[0].failed) >= max(j.policy.MaxAttempts, 1) && !j.ended() {
		c.close(j, Failed, now)
	}
}

// breakGang stops what is left of a gang whose run has ended.
func (c *Core) breakGang(s *step) {
	for _, t := range s.tasks {
		for _, r := range t.runs {
			c.stop(r)
		}
	}
}
