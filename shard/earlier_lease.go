package shard

import "time"

// maxClockDifference bounds the difference between the times of day of two machines.
const maxClockDifference = 5 * time.Second

// ShortenRestoredLeases is called when it is known that all leases that earlier owners
// granted have expired at a time. It applies to the workers that have not had a session
// since the state was restored: their runs count as present until then at the latest.
//
// Orders to an earlier life of the same name may have given a young life a longer lease;
// see Connect. The wait is for those, too, or as it was if it is not known when they
// expire. now is a monotonic time and wall the time of day.
func (sc *Scheduler) ShortenRestoredLeases(expire, now, wall time.Time) {
	for _, w := range sc.workers {
		if !w.restored {
			continue
		}
		stray, known := sc.strayLeasesExpire(w, now, wall)
		end := expire
		if stray.After(end) {
			end = stray
		}
		if known && end.Before(w.leasesExpire) {
			w.leasesExpire = end
		}
	}
}

// RestoredRuns counts the runs on workers that have not had a session since the state
// was restored, and these workers.
func (sc *Scheduler) RestoredRuns() (runs, workers int) {
	for _, w := range sc.workers {
		if w.restored {
			runs += len(w.runs)
			workers++
		}
	}
	return runs, workers
}
