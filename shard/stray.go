package shard

import (
	"time"

	"github.com/berylspar/spar"
)

// keepStray is called when a worker does not start a run any more, although a start call for
// it was not answered. It reports whether the run is kept.
//
// That the worker rejects the call holds for its present life. A worker that drains ends
// soon, and its next life of the same name has seen neither a stop of the run nor a fencing
// token: the call may be carried out there before the agent has listed that life, beside the
// next run of the task. So the run stays assigned for as long as the platform may still carry
// the call out, or until the next life has listed its runs.
//
// A worker that does not drain may crash. As that is rare, the run is not kept, but the task
// starts on no other worker meanwhile: in the next life its new run is lost as well.
//
// A standing task is not kept waiting for that, nor are the runs of an earlier term, of which
// it is not known whether they were ordered, nor a gang, which is placed as a whole.
func (sc *Scheduler) keepStray(r *run, now time.Time) bool {
	switch {
	case !r.isUnanswered():
		return false
	case !r.worker.info.Draining:
		sc.keepWithWorker(r, now)
		return false
	case r.strayUntil.IsZero():
		r.strayUntil, r.worker.hasStrays = now.Add(maxOrderDelay), true
		sc.onEvent(Event{Name: "start may be carried out late", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node})
	}
	return true
}

// isUnanswered reports whether a start call for the run may have been sent in this term and has
// had no answer, and whether its task may wait for that.
func (r *run) isUnanswered() bool {
	return r.ordered && r.token != 0 && !r.confirmed && !r.task.step.Standing
}

// keepWithWorker keeps the task of a run with its worker, as long as a start call for the run
// may still be carried out in the worker's next life.
func (sc *Scheduler) keepWithWorker(r *run, now time.Time) {
	if r.isUnanswered() && !r.task.step.Gang {
		r.task.stray = &strayStart{node: r.worker.node, life: r.worker.info.Life, until: now.Add(maxOrderDelay)}
		sc.onEvent(Event{Name: "task stays with its worker", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node})
	}
}

// strayStart is a start call without an answer that a worker does not carry out any more,
// but may in its next life, until a time.
type strayStart struct {
	node  string
	life  spar.Life
	until time.Time
}

// staysWith returns the node of the only worker on which a task may start, as a start call may
// be carried out in the worker's next life, or "" if any may take it. It is over when the
// next life has listed its runs.
func (sc *Scheduler) staysWith(t *task, now time.Time) string {
	if t.stray == nil {
		return ""
	}
	w := sc.workers[t.stray.node]
	if now.Before(t.stray.until) && (w == nil || !w.listed || w.info.Life == t.stray.life) {
		return t.stray.node
	}
	t.stray = nil
	return ""
}

// isStray reports whether a start call for the run may still be carried out in the worker's
// next life.
func (r *run) isStray(now time.Time) bool { return now.Before(r.strayUntil) }

// expireStrays removes the runs of a worker whose start calls are not carried out any more.
func (sc *Scheduler) expireStrays(w *worker, now time.Time) {
	if !w.hasStrays {
		return
	}
	w.hasStrays = false
	for r := range w.runs {
		switch {
		case r.isStray(now):
			w.hasStrays = true
		case !r.strayUntil.IsZero():
			sc.removeRun(r)
		}
	}
}

// forgetStrays is called when the worker has answered in its next life: it rejects the calls
// of the one before, or they do not name it.
func (w *worker) forgetStrays() {
	for r := range w.runs {
		r.strayUntil = time.Time{}
	}
}

// lastStray returns the latest time until which a start call for a run of the worker may be
// carried out in its next life, or zero.
func (w *worker) lastStray() (last time.Time) {
	for r := range w.runs {
		if r.strayUntil.After(last) {
			last = r.strayUntil
		}
	}
	return last
}
