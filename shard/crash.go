package shard

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/link"
)

// RecordLifeEnds logs the unannounced ends of a worker's lives that its agent
// reports when it connects. Agents report them to each owner.
func (sc *Scheduler) RecordLifeEnds(node string, ends []link.LifeEnd) {
	for _, e := range ends {
		if sc.lifeEnds[node] >= e.Life.Born {
			continue
		}
		sc.lifeEnds[node] = e.Life.Born
		name := "worker ended silently"
		if e.Crashed {
			name = "worker crashed"
		}
		sc.onEvent(Event{Name: name, Node: node, Reason: fmt.Sprintf("life %s, %d runs, youngest %s old", e.Life.ID, len(e.Runs), e.YoungestAge().Round(time.Millisecond))})
		for _, lost := range e.Runs {
			if w := sc.workers[node]; w != nil {
				if r := sc.findRun(w, lost.Task, lost.Run); r != nil {
					r.crash = fmt.Sprintf("%s %s after the start", name, lost.Age.Round(time.Millisecond))
				}
			}
		}
	}
}
