package shard

import "time"

// ShortenRestoredLeases is called when it is known that all leases of earlier owners
// have expired at a time. It applies to the workers that have not had a session since
// the state was restored: their runs count as present until then at the latest.
func (sc *Scheduler) ShortenRestoredLeases(expire time.Time) {
	for _, w := range sc.workers {
		if w.restored && expire.Before(w.leasesExpire) {
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
