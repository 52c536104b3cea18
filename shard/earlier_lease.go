package shard

import "time"

// maxClockDifference bounds the difference between the times of day of two machines.
const maxClockDifference = 5 * time.Second

// ShortenRestoredLeases is called when it is known that all leases that earlier owners
// granted have expired at a time. It applies to the workers that have not had a session
// since the state was restored: their runs count as present until then at the latest.
//
// It does not apply to a life that began a short time before. Orders to an earlier life
// of the same name may have given it a longer lease; see Connect.
func (sc *Scheduler) ShortenRestoredLeases(expire, wall time.Time) {
	bornBefore := wall.Add(-maxOrderDelay - sc.limits.MaxLease - ClockDriftMargin(sc.limits.MaxLease) - maxClockDifference).UnixMilli()
	for _, w := range sc.workers {
		if w.restored && w.info.Life.Born < bornBefore && expire.Before(w.leasesExpire) {
			w.leasesExpire = expire
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
