package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// Report takes a message of a worker's agent.
func (c *Core) Report(node string, token int64, m *link.Up, now time.Time) {
	w := c.session(node, token)
	if w == nil {
		return
	}
	c.now = now
	for _, r := range m.Running {
		c.running(w, r, now)
	}
	for _, e := range m.Ended {
		c.ended(w, e, now)
	}
	for _, o := range m.Outcomes {
		c.outcome(w, o, now)
	}
	if m.Listed {
		c.reconcile(w, m.Running, now)
	}
	c.look(w, now)
}

// running takes a row of what runs. A run that is not wanted any more is
// stopped.
func (c *Core) running(w *worker, row spar.Running, now time.Time) {
	r := c.lookup(w, row.Task, row.Run)
	if r == nil {
		c.adopt(w, row, now)
		return
	}
	c.confirm(r, now)
	if row.Percent != r.percent {
		r.percent, r.moved = row.Percent, now
	}
	r.figure = row.Measurement
	if row.Checkpoint != "" {
		r.task.saved = row.Checkpoint
	}
}

// adopt takes a run that is on a worker and not among the known ones: one that
// was given up for lost comes back, if its task has no other.
func (c *Core) adopt(w *worker, row spar.Running, now time.Time) {
	j := c.jobs[row.Task.Job]
	var t *task
	if j != nil {
		t = j.find(row.Task)
	}
	if t == nil {
		c.events(Event{What: "unknown run found", Task: row.Task.String(), Run: row.Run, Node: w.node})
		c.stops[&run{task: strayTask(row.Task), worker: w, number: row.Run}] = true
		return
	}
	r := &run{task: t, worker: w, number: row.Run, ordered: true, token: w.token, pace: 100, started: now, moved: now}
	keep := !j.ended() && !t.done && len(t.runs) == 0 && row.Run == t.last
	t.runs = append(t.runs, r)
	w.runs[r] = true
	c.dirty(j)
	c.confirm(r, now)
	if !keep {
		c.stop(r)
	}
}

// strayTask stands for a task of a job that is not known.
func strayTask(ref spar.TaskRef) *task {
	j := &job{Job: spar.Job{ID: ref.Job}}
	o := &occur{number: ref.Occur}
	return &task{step: &step{job: j, occur: o, index: ref.Step}, index: ref.Index}
}

func (c *Core) confirm(r *run, now time.Time) {
	if !r.confirmed {
		r.confirmed, r.started, r.moved = true, now, now
		if r.pace != 100 {
			// A run begins at full speed.
			c.paces[r] = true
		}
	}
	r.ordered, r.token = true, r.worker.token
	j := r.task.step.job
	if !j.begun {
		j.begun = true
		c.dirty(j)
	}
}

func (c *Core) lookup(w *worker, ref spar.TaskRef, number int64) *run {
	j := c.jobs[ref.Job]
	if j == nil {
		return nil
	}
	t := j.find(ref)
	if t == nil {
		return nil
	}
	if r := t.run(number); r != nil && r.worker == w {
		return r
	}
	return nil
}

// outcome takes the answer to a start.
func (c *Core) outcome(w *worker, o link.Outcome, now time.Time) {
	r := c.lookup(w, o.Task, o.Run)
	if r == nil {
		return
	}
	if o.Result == spar.StartDone {
		c.confirm(r, now)
		return
	}
	c.events(Event{What: "start refused", Task: o.Task.String(), Run: o.Run, Node: w.node, Reason: string(o.Result)})
	t := r.task
	t.notBefore = now.Add(refusedPause)
	switch o.Result {
	case spar.StartUnhealthy:
		w.blame(now, 1.5)
		t.shy = w.node
	case spar.StartNoTicket:
		t.step.revoke(w)
	case spar.StartNoRoom:
		w.asideUntil = now.Add(fullPause)
	case spar.StartDraining:
		w.info.Draining = true
	}
	c.free(r)
}

const (
	// refusedPause holds a task back after a refusal, so that a worker's state
	// can be heard of first.
	refusedPause = 20 * time.Millisecond
	// fullPause is how long a worker that had no room gets nothing new.
	fullPause = 150 * time.Millisecond
)

// reconcile compares what should be on a worker with what is. A run that is
// missing never came and never will: the session's token shuts out all earlier
// orders.
func (c *Core) reconcile(w *worker, rows []spar.Running, now time.Time) {
	there := map[spar.TaskRef]int64{}
	for _, r := range rows {
		there[r.Task] = max(there[r.Task], r.Run)
	}
	for r := range w.runs {
		if there[r.task.ref()] == r.number {
			if r.stopping {
				c.stops[r] = true
			}
			continue
		}
		if r.token == w.token {
			continue
		}
		c.events(Event{What: "run not found", Task: r.task.ref().String(), Run: r.number, Node: w.node})
		r.task.notBefore = now
		c.free(r)
	}
	w.listed = true
	if w.renamed {
		// No order to the last life can come any more.
		w.renamed = false
		w.expires = now.Add(c.limits.MaxLease + ClockSlack(c.limits.MaxLease))
	}
}
