package shard

import (
	"time"

	"github.com/berylspar/spar"
)

// lateOrder is the longest that the platform may take to carry out an order
// that it did not answer.
const maxOrderDelay = 12 * time.Second

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
func (sc *Scheduler) Connect(node string, info spar.WorkerInfo, token int64, lease *time.Duration, now time.Time) {
	old := sc.workers[node]
	if old != nil && old.info.Life == info.Life {
		old.info, old.token, old.listed = info, token, false
		left := sc.limits.Lease
		if lease != nil {
			left = min(*lease, left)
		}
		if end := now.Add(left + ClockDriftMargin(sc.limits.Lease)); !old.nameReused && end.Before(old.leasesExpire) {
			old.leasesExpire = end
		}
		return
	}
	w := &worker{node: node, info: info, token: token, runs: map[*run]bool{}, failureScoreAt: now}
	if old != nil {
		sc.onEvent(Event{Name: "worker in a new life", Node: node, Reason: info.Life.ID})
		if old.info.Life.ID == info.Life.ID {
			w.nameReused = true
			w.leasesExpire = now.Add(maxOrderDelay + sc.limits.MaxLease + ClockDriftMargin(sc.limits.MaxLease))
			sc.transferRuns(w, old)
		}
		sc.endLife(old)
	}
	sc.workers[node] = w
}

// inherit moves the runs of a worker's last life to its new one.
func (sc *Scheduler) transferRuns(w, old *worker) {
	for r := range old.runs {
		r.worker = w
		w.runs[r] = true
		sc.markChanged(r.task.step.job)
	}
	old.runs = map[*run]bool{}
}

// Left ends the life of a worker that has said goodbye and answers no more.
func (sc *Scheduler) RemoveWorker(node string, token int64) {
	if w := sc.workerInSession(node, token); w != nil {
		sc.onEvent(Event{Name: "worker has left", Node: node})
		sc.endLife(w)
	}
}

// Disconnect ends a session. What runs on the worker counts as running until
// its leases have ended.
func (sc *Scheduler) Disconnect(node string, token int64) {
	if w := sc.workers[node]; w != nil && w.token == token {
		w.token, w.listed = 0, false
	}
}

// Update takes what a worker says of itself.
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

// vacate stops what can go on elsewhere on a worker that leaves: standing tasks
// and those that keep their progress. The others may finish in time.
func (sc *Scheduler) stopMovableRuns(w *worker) {
	for r := range w.runs {
		if s := r.task.step; s.Standing || s.Checkpoints {
			sc.stopRun(r)
		}
	}
}

// Grant extends the lease of a worker from now on. It tells false when the
// session is over.
func (sc *Scheduler) GrantLease(node string, token int64, now time.Time) bool {
	w := sc.workerInSession(node, token)
	if w == nil {
		return false
	}
	if end := now.Add(sc.limits.Lease + ClockDriftMargin(sc.limits.Lease)); end.After(w.leasesExpire) {
		w.leasesExpire = end
	}
	return true
}

// ClockSlack covers a worker's clock that runs 2 % slow, as the platform
// allows, and the rounding of times.
func ClockDriftMargin(lease time.Duration) time.Duration { return lease/50 + 50*time.Millisecond }

func (sc *Scheduler) workerInSession(node string, token int64) *worker {
	w := sc.workers[node]
	if w == nil || w.token != token || token == 0 {
		return nil
	}
	return w
}
