package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// lateOrder is the longest that the platform may take to carry out an order
// that it did not answer.
const lateOrder = 12 * time.Second

// Connect opens a session with a worker's agent. Until the session has listed
// what is on the worker, nothing is placed there, and no lease is granted.
//
// In a new life of a worker nothing of the last one runs. But where the name is
// the same, an order to the last life may still come late and be carried out in
// the new one, under a lease as long as there is; so what was on the worker
// stays there until the new life has been listed under the session's token.
//
// A worker has one agent at a time, and nobody else extends its leases. So what
// the agent says of them holds, and without that they last no longer than a
// grant of this moment.
func (c *Core) Connect(node string, info spar.WorkerInfo, token int64, lease *time.Duration, now time.Time) {
	old := c.workers[node]
	if old != nil && old.info.Life == info.Life {
		old.info, old.token, old.listed = info, token, false
		left := c.limits.Lease
		if lease != nil {
			left = min(*lease, left)
		}
		if end := now.Add(left + ClockSlack(c.limits.Lease)); !old.renamed && end.Before(old.expires) {
			old.expires = end
		}
		return
	}
	w := &worker{node: node, info: info, token: token, runs: map[*run]bool{}, troubleAt: now}
	if old != nil {
		c.events(Event{What: "worker in a new life", Node: node, Reason: info.Life.ID})
		if old.info.Life.ID == info.Life.ID {
			w.renamed = true
			w.expires = now.Add(lateOrder + c.limits.MaxLease + ClockSlack(c.limits.MaxLease))
			c.inherit(w, old)
		}
		c.endLife(old)
	}
	c.workers[node] = w
}

// inherit moves the runs of a worker's last life to its new one.
func (c *Core) inherit(w, old *worker) {
	for r := range old.runs {
		r.worker = w
		w.runs[r] = true
		c.dirty(r.task.step.job)
	}
	old.runs = map[*run]bool{}
}

// Left ends the life of a worker that has said goodbye and answers no more.
func (c *Core) Left(node string, token int64) {
	if w := c.session(node, token); w != nil {
		c.events(Event{What: "worker has left", Node: node})
		c.endLife(w)
	}
}

// Disconnect ends a session. What runs on the worker counts as running until
// its leases have ended.
func (c *Core) Disconnect(node string, token int64) {
	if w := c.workers[node]; w != nil && w.token == token {
		w.token, w.listed = 0, false
	}
}

// Update takes what a worker says of itself.
func (c *Core) Update(node string, token int64, info spar.WorkerInfo) {
	if w := c.session(node, token); w != nil && w.info.Life == info.Life {
		if info.Draining && !w.info.Draining {
			c.events(Event{What: "worker leaves", Node: node})
		}
		w.info = info
		if info.Draining {
			c.vacate(w)
		}
	}
}

// vacate stops what can go on elsewhere on a worker that leaves: standing tasks
// and those that keep their progress. The others may finish in time.
func (c *Core) vacate(w *worker) {
	for r := range w.runs {
		if s := r.task.step; s.Standing || s.Checkpoints {
			c.stop(r)
		}
	}
}

// Grant extends the lease of a worker from now on. It tells false when the
// session is over.
func (c *Core) Grant(node string, token int64, now time.Time) bool {
	w := c.session(node, token)
	if w == nil {
		return false
	}
	if end := now.Add(c.limits.Lease + ClockSlack(c.limits.Lease)); end.After(w.expires) {
		w.expires = end
	}
	return true
}

// ClockSlack covers a worker's clock that runs 2 % slow, as the platform
// allows, and the rounding of times.
func ClockSlack(lease time.Duration) time.Duration { return lease/50 + 50*time.Millisecond }

func (c *Core) session(node string, token int64) *worker {
	w := c.workers[node]
	if w == nil || w.token != token || token == 0 {
		return nil
	}
	return w
}

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
		r.task.percent = row.Percent
	}
	r.figure = row.Figure
	if row.Saved != "" {
		r.task.saved = row.Saved
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
	c.events(Event{What: "run ended", Task: e.Task.String(), Run: e.Run, Node: w.node, Reason: string(e.How)})
	if t.done {
		return
	}
	if e.Saved != "" {
		t.saved = e.Saved
	}
	switch e.How {
	case spar.EndDone:
		c.done(t, now)
	case spar.EndFailed:
		c.failed(t, w, e.Run, now)
	case spar.EndStopped:
		if !stopping {
			t.notBefore = now
		}
	}
	if t.step.Gang && e.How != spar.EndDone {
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
	case spar.StartUnwell:
		w.blame(now, 1.5)
		t.shy = w.node
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
