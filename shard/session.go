package shard

import (
	"time"

	"github.com/berylspar/spar"
)

// maxOrderDelay is the longest time in which the platform may still carry out
// an order that it has not answered.
const maxOrderDelay = 12 * time.Second

// Connect opens a session with a worker's agent. Nothing is placed on the
// worker and no lease is granted until the session has listed the runs on it.
//
// Runs of an earlier life of the worker do not continue in a new one. But that a life is
// named does not prove that the one before is over: the first heartbeat that a restarted
// agent receives may be a late one of an earlier life. Only the worker's answer proves it,
// and the agent lists the runs of no life but the one that answers. So the life before is
// kept, with the leases on it, until the named one has listed its runs.
//
// If both lives have the same name, an order to the earlier life may still arrive
// late and be carried out in the new one, under a lease of up to MaxLease. The
// earlier runs therefore stay assigned to the worker until the new life has
// listed its runs under the token of the session.
//
// A worker has one agent at a time, and no one else extends its leases. So
// maxLeaseLeft, if the agent reports it, bounds the remaining time of the leases
// on the worker; otherwise they last no longer than one granted now.
func (sc *Scheduler) Connect(node string, info spar.WorkerInfo, token int64, maxLeaseLeft *time.Duration, now time.Time) {
	sc.recordName(info.Life)
	old := sc.workers[node]
	if old != nil && old.previous != nil && old.info.Life != info.Life {
		// The worker has not answered in the life that was named last.
		sc.endLife(old, "life not confirmed")
		old = sc.workers[node]
	}
	if old != nil && old.info.Life == info.Life {
		old.info, old.token, old.listed, old.restored, old.lifeEnded = info, token, false, false, false
		remaining := sc.limits.Lease
		if maxLeaseLeft != nil {
			remaining = min(*maxLeaseLeft, remaining)
		}
		if end := now.Add(remaining + spar.ClockDriftMargin(sc.limits.Lease)); !old.nameReused && end.Before(old.leasesExpire) {
			old.leasesExpire = end
		}
		return
	}
	w := &worker{node: node, info: info, token: token, runs: map[*run]bool{}, failureScoreAt: now}
	if old != nil {
		sc.onEvent(Event{Name: "worker in a new life", Node: node, Reason: info.Life.ID})
		sc.supersede(w, old, now)
	}
	sc.workers[node] = w
}

// RemoveWorker ends the life of a worker that has announced its departure and whose runs
// are over. It returns the life, and false if the session is over or the life cannot be
// ended.
func (sc *Scheduler) RemoveWorker(node string, token int64) (spar.Life, bool) {
	w := sc.workerInSession(node, token)
	if w == nil {
		return spar.Life{}, false
	}
	return w.info.Life, sc.endReportedLife(w, "")
}

// Disconnect ends a session. The runs on the worker count as running until its
// leases have expired.
func (sc *Scheduler) Disconnect(node string, token int64) {
	if w := sc.workers[node]; w != nil && w.token == token {
		w.token, w.listed, w.silentSince = 0, false, sc.now
	}
}

// UpdateWorker applies what a worker reports about itself.
func (sc *Scheduler) UpdateWorker(node string, token int64, info spar.WorkerInfo) {
	if w := sc.workerInSession(node, token); w != nil && w.info.Life == info.Life {
		if info.Draining && !w.info.Draining {
			sc.onEvent(Event{Name: "worker leaves", Node: node})
		}
		w.info = info
		if info.Draining {
			sc.stopMovableRuns(w)
		}
	}
}

// stopMovableRuns stops the runs on a draining worker that can continue on
// another one: standing tasks and tasks with checkpoints. The others may finish
// in time.
func (sc *Scheduler) stopMovableRuns(w *worker) {
	for r := range w.runs {
		if s := r.task.step; s.Standing || s.Checkpoints {
			sc.stopRun(r)
		}
	}
}

// GrantLease extends the leases of a worker, counted from now. It returns false
// if the session is over or was replaced.
func (sc *Scheduler) GrantLease(node string, token int64, now time.Time) bool {
	w := sc.workerInSession(node, token)
	if w == nil {
		return false
	}
	if end := now.Add(sc.limits.Lease + spar.ClockDriftMargin(sc.limits.Lease)); end.After(w.leasesExpire) {
		w.leasesExpire = end
	}
	return true
}

// workerInSession returns the worker of a node if token is that of its open
// session, else nil.
func (sc *Scheduler) workerInSession(node string, token int64) *worker {
	w := sc.workers[node]
	if w == nil || w.token != token || token == 0 {
		return nil
	}
	return w
}
