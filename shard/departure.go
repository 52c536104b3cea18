package shard

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/link"
)

// ApplyDeparture applies what an agent has told all entries of a worker that leaves. It
// reports whether the worker's life ended by that.
//
// A departure may arrive several times, after the agent has reported the same in its
// session, or after an earlier owner has stored it. So it has an effect only on the life
// that it names, and its ends only on runs that still count as present there. The agent
// reports the ends in its next session too, which acknowledges them.
func (sc *Scheduler) ApplyDeparture(d link.Departure, now time.Time) bool {
	w := sc.workers[d.Node]
	if w == nil || w.info.Life != d.Life {
		return false
	}
	sc.now = now
	ends := 0
	for _, e := range d.Ended {
		if sc.findRun(w, e.Task, e.Run) != nil {
			sc.applyRunEnd(w, e, now)
			ends++
		}
	}
	if ends == 0 && !d.Left {
		return false
	}
	sc.onEvent(Event{Name: "departure applied", Node: w.node, Reason: fmt.Sprintf("%s born %d, %d ends, left %v", d.Life.ID, d.Life.Born, ends, d.Left)})
	if d.Left {
		sc.endLife(w, "worker has left")
	}
	return d.Left
}
