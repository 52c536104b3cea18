package shard

import (
	"cmp"
	"time"

	"github.com/berylspar/spar"
)

// supersede has a life that an agent names take the place of the one before, which is kept
// until the worker has answered in the named one. Of two lives of one name the runs are
// assigned to the named one at once if that was born later, since orders for them may be
// carried out late in it; see Connect. An earlier one is named by a late heartbeat, unless a
// clock has jumped back.
func (sc *Scheduler) supersede(w, old *worker, now time.Time) {
	w.nameReused = w.info.Life.ID == old.info.Life.ID
	if w.nameReused {
		w.leasesExpire = now.Add(maxOrderDelay + sc.limits.strayLeaseTime())
	}
	if w.nameReused && w.info.Life.Born > old.info.Life.Born {
		sc.transferRuns(w, old)
		sc.endLife(old, "worker in a new life")
		sc.reserveAfterCrash(w, now)
		return
	}
	if w.nameReused && old.successor != w.info.Life {
		old.successor = w.info.Life
		if w.leasesExpire.After(old.leasesExpire) {
			old.leasesExpire = w.leasesExpire
		}
	}
	old.token, old.listed = 0, false
	w.previous = old
}

// confirmLife is called when a worker has answered in the life that is named, which proves
// that the one before is over.
func (sc *Scheduler) confirmLife(w *worker, now time.Time) {
	if w.previous != nil {
		sc.endPrevious(w, "worker in a new life")
		sc.reserveAfterCrash(w, now)
	}
}

// transferRuns moves the runs of a worker's previous life to its new one.
func (sc *Scheduler) transferRuns(w, old *worker) {
	old.forgetStrays()
	for r := range old.runs {
		r.worker = w
		w.addRun(r)
		sc.markTaskChanged(r.task)
	}
	old.runs, old.room, old.stepRuns = map[*run]bool{}, spar.Size{}, nil
}

// EndLife ends a life of a worker that is known to be over, if the worker is still taken
// for running.
func (sc *Scheduler) EndLife(l spar.Life) {
	for _, w := range sc.workers {
		if w.info.Life == l {
			sc.endReportedLife(w, "reported in an earlier term")
			return
		}
	}
}

// endReportedLife ends a life that is reported to be over, and reports whether no run of it
// is left. It does not while runs of a life before, of the same name, are assigned to the
// worker: the report says nothing about those. The leases on them run on.
func (sc *Scheduler) endReportedLife(w *worker, reason string) bool {
	if w.nameReused && len(w.runs) > 0 {
		return false
	}
	sc.onEvent(Event{Name: "worker has left", Node: w.node, Reason: reason})
	sc.endLife(w, "worker has left")
	return len(w.runs) == 0
}

// endLife removes a worker, with all its runs, whose life is over or whose
// leases have expired. reason says which, unless a crash of the worker is known.
// Runs that may start in its next life are kept, and the worker with them; see
// keepStray.
func (sc *Scheduler) endLife(w *worker, reason string) {
	for r := range w.runs {
		if r.isStray(sc.now) {
			continue
		}
		sc.onEvent(Event{Name: "run lost", Task: r.task.ref().String(), Run: r.number, Node: w.node, Reason: cmp.Or(r.crash, reason)})
		if w.token != 0 {
			// Of an agent out of touch it is not known whether it has sent the call.
			sc.keepWithWorker(r, sc.now)
		}
		sc.removeRun(r)
	}
	w.lifeEnded = true
	if len(w.runs) > 0 {
		w.token, w.listed, w.leasesExpire = 0, false, w.lastStray()
		return
	}
	switch {
	case sc.workers[w.node] != w:
	case w.previous != nil:
		sc.workers[w.node] = w.previous
	default:
		delete(sc.workers, w.node)
	}
}

// endPrevious ends the life before the current one of a worker.
func (sc *Scheduler) endPrevious(w *worker, reason string) {
	p := w.previous
	w.previous = nil
	p.forgetStrays()
	sc.endLife(p, reason)
}
