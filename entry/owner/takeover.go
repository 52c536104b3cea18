package owner

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// takeOver fences older owners, restores the stored state and publishes the
// owner's addresses. It reports whether that succeeded.
func (t *term) takeOver(ctx context.Context) bool {
	begun := time.Now()
	if !t.fence(ctx) {
		return false
	}
	var entries, jobs, state spar.Batch
	// One topic after another: pages of several at a time would hold up the answers to
	// the joins on a slow link.
	jobsReadAt := time.Now()
	if !t.readNewest(ctx, JobsTopic, &jobs) || !t.readNewest(ctx, stateTopic, &state) || !t.readNewest(ctx, link.OwnerTopic, &entries) {
		return false
	}
	t.jobs.ContinueFrom(jobs, jobsReadAt)
	t.entries = entries.Records
	t.predecessors.unsettled = t.findPredecessors(t.entries, state.Records)
	isFirst := len(t.predecessors.unsettled) == 0
	t.settleOwn()
	runs, workers := t.restore(jobs.Records, state.Records, isFirst)
	t.predecessors.recordSeq = 1
	if !t.appendFenced(ctx, link.OwnerTopic, t.predecessors.recordSeq, t.ownerRecord()) {
		return false
	}
	t.witnesses.endWriting()
	t.readyAt.Store(time.Now().UnixNano())
	t.restored.Store(true)
	t.Info("state taken over", "epoch", t.epoch, "jobs", len(jobs.Records), "progress", len(state.Records), "bytes", recordsSize(jobs.Records)+recordsSize(state.Records), "took", time.Since(begun),
		"runs", runs, "workers", workers, "wait", time.Until(t.predecessors.waitUntil), "earlier_owners", len(t.predecessors.unsettled))
	t.Timer("takeover").Record(time.Since(begun))
	return true
}

// restore loads the stored state and what agents have told of departures. It returns the
// number of runs that earlier owners left, and of their workers.
func (t *term) restore(jobs, state []spar.Record, isFirst bool) (runs, workers int) {
	now := time.Now()
	submitted := t.decodeSubmissions(jobs)
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	if isFirst {
		t.scheduler.BeginFirstTerm()
	}
	t.applyConfig()
	for _, j := range submitted {
		t.scheduler.SubmitEarlier(j, now, now)
	}
	t.predecessors.waitUntil = now.Add(t.settings.maxEarlierLease())
	for _, err := range t.scheduler.Restore(state, now, t.predecessors.waitUntil) {
		t.Warn("could not restore stored progress", "err", err)
	}
	t.applyCancels(jobs, now)
	// An agent tells of ends of runs, which have no effect once the life is over.
	t.applyKept(now)
	t.applyDepartures(jobs)
	return t.scheduler.RestoredRuns()
}

// fence keeps older owners from appending to the topics of the owner.
func (t *term) fence(ctx context.Context) bool {
	return forEach(ctx, []string{stateTopic, link.OwnerTopic}, func(ctx context.Context, _ int, topic string) bool {
		return t.appendFenced(ctx, topic, 0, nil)
	})
}

// readNewest reads the newest records of a topic and repeats that until it is answered.
// It reports whether that succeeded; if not, the term has failed.
func (t *term) readNewest(ctx context.Context, topic string, into *spar.Batch) bool {
	err := t.retryStoreCall(ctx, 0, func() (err error) {
		*into, err = t.store.Newest(ctx, topic)
		return err
	})
	if err != nil {
		t.fail(err)
	}
	return err == nil
}

// forEach makes a call for each topic, all at the same time, and reports whether all
// succeeded.
func forEach(ctx context.Context, topics []string, call func(ctx context.Context, i int, topic string) bool) bool {
	results := make(chan bool, len(topics))
	for i, topic := range topics {
		go func() { results <- call(ctx, i, topic) }()
	}
	ok := true
	for range topics {
		ok = <-results && ok
	}
	return ok
}
