package owner

import (
	"context"
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
)

const (
	// expiryInterval is the time between two looks for jobs whose retention is over.
	expiryInterval = time.Second
	// maxExpiredJobs bounds the jobs that are dropped together, and maxEndedSubmissions
	// the ended ones whose submissions are.
	maxExpiredJobs, maxEndedSubmissions = 500, 500
)

// dropExpired drops the submissions of the jobs that have ended, and of those whose
// retention is over, which are then forgotten. It also drops departures that were handled
// and cancels whose job has not arrived. It works beside the loop, so that a partition that
// is down does not hold up commits.
func (t *term) dropExpired(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for full := false; ctx.Err() == nil; {
			if !full {
				track.Pause(ctx, expiryInterval)
			}
			full = false
			t.stateMu.Lock()
			now := time.Now()
			expired, ended := t.scheduler.ExpiredJobs(maxExpiredJobs, now), t.scheduler.EndedSubmissions(maxEndedSubmissions, now)
			var cancels []string
			for _, id := range t.scheduler.ExpiredCancels(maxExpiredJobs) {
				cancels = append(cancels, CancelPrefix+id)
			}
			keys := t.handledDepartures
			t.stateMu.Unlock()
			if len(expired)+len(ended)+len(cancels)+len(keys) == 0 || !t.isValid() {
				continue
			}
			if err := t.dropRecords(ctx, slices.Concat(expired, ended), slices.Concat(keys, cancels)); err != nil {
				continue
			}
			t.stateMu.Lock()
			t.scheduler.SubmissionsDropped(ended)
			t.scheduler.CancelsDropped(len(cancels))
			t.scheduler.ForgetJobs(expired)
			t.handledDepartures = t.handledDepartures[len(keys):]
			full = len(expired) == maxExpiredJobs || len(ended) == maxEndedSubmissions
			t.stateMu.Unlock()
			t.wakeLoop()
		}
		done <- nil
	}()
	return done
}

// dropRecords drops the submissions and the cancels of jobs, and further records of the
// jobs topic. It repeats that until it is answered or the context ends.
func (t *term) dropRecords(ctx context.Context, ids, keys []string) error {
	var records []spar.Record
	for _, id := range ids {
		records = append(records, spar.Record{Key: JobPrefix + id}, spar.Record{Key: CancelPrefix + id})
	}
	for _, k := range keys {
		records = append(records, spar.Record{Key: k})
	}
	return t.retryStoreCall(ctx, 0, func() error { return t.write(ctx, JobsTopic, nil, records) })
}
