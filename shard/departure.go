package shard

import (
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// ApplyDeparture applies what an agent has told all entries of a worker that leaves. It
// returns the life that ended by that, and false if none did.
//
// A departure may arrive several times, after the agent has reported the same in its
// session, or after an earlier owner has stored it. So it has an effect only on the life
// that it names and on the one before it, and its ends only on runs that still count as
// present there. The agent reports the ends in its next session too, which acknowledges
// them.
//
// The agent extends no lease after it has told how long the last one runs, so that bounds
// the leases of all owners.
func (sc *Scheduler) ApplyDeparture(d link.Departure, now time.Time) (spar.Life, bool) {
	w := sc.workers[d.Node]
	if w == nil {
		return spar.Life{}, false
	}
	sc.now = now
	if w.info.Life != d.Life {
		return w.info.Life, sc.endEarlierLife(w, d.Life)
	}
	ends := 0
	for _, e := range d.Ended {
		if sc.findRun(w, e.Task, e.Run) != nil {
			sc.applyRunEnd(w, e, now)
			ends++
		}
	}
	shortened := sc.shortenLeases(w, d.LeaseLeft)
	if ends == 0 && !d.Left && !shortened {
		return spar.Life{}, false
	}
	sc.onEvent(Event{Name: "departure applied", Node: w.node, Reason: fmt.Sprintf("%s born %d, %d ends, left %v, leases end in %s", d.Life.ID, d.Life.Born, ends, d.Left, w.leasesExpire.Sub(now).Round(time.Millisecond))})
	return d.Life, d.Left && sc.endReportedLife(w, "reported by the agent")
}

// shortenLeases applies a bound of the leases on a worker, if there is one, and reports
// whether they end earlier by that. After a session in this term they are known anyway, and
// the bound may be of an agent process before that.
func (sc *Scheduler) shortenLeases(w *worker, left *time.Duration) bool {
	if left == nil || !w.restored {
		return false
	}
	end := sc.now.Add(*left + spar.ClockDriftMargin(sc.limits.Lease))
	if !end.Before(w.leasesExpire) {
		return false
	}
	w.leasesExpire = end
	return true
}

// endEarlierLife ends the life of a worker whose node has had a later one, and reports
// whether it did. An order to the earlier life may be carried out late in one of the same
// name, so that does not end it; see Connect. Nor does a life that has had a session in
// this term end, which is the present one, nor one that was born a short time before: times
// of birth follow a clock that may jump.
func (sc *Scheduler) endEarlierLife(w *worker, later spar.Life) bool {
	age := time.Duration(later.Born-w.info.Life.Born) * time.Millisecond
	if !w.restored || age <= maxClockDifference || w.info.Life.ID == later.ID {
		return false
	}
	sc.onEvent(Event{Name: "worker in a new life", Node: w.node, Reason: later.ID})
	sc.endLife(w, "worker in a new life")
	return true
}
