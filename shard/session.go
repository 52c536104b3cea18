package shard

import (
	"time"

	"github.com/berylspar/spar"
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
