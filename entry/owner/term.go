package owner

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

// Prefixes of the keys of the jobs topic. A cancel has a key of its own, so that
// a submission that is stored late does not overwrite it. A departure is written by an
// owner whose term ended before it could store that a worker has left.
const (
	JobPrefix       = "j/"
	CancelPrefix    = "c/"
	departurePrefix = "l/"
)

const (
	// tickInterval is the longest time between two planning rounds.
	tickInterval = 100 * time.Millisecond
	// batchDelay is how long the loop waits after a change, so that changes
	// that follow shortly are planned and stored together with it.
	batchDelay = 5 * time.Millisecond
	// jobsReadWait bounds how long a read of the jobs topic waits, and so how
	// old the known submissions and cancels can be on an idle topic.
	jobsReadWait = 800 * time.Millisecond
	// retryPause is the first pause before a store call is repeated; pauses
	// double up to maxRetryPause, so that an outage costs few calls.
	retryPause    = 25 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// tokenBits is the number of low bits of a fencing token, which count the
	// sessions of a term; the bits above them are the term's epoch.
	tokenBits = 20
)

// term is a period during which this entry owns the shard.
type term struct {
	*Candidate
	epoch int64
	// generation is the group's at the last join; only elect's goroutine uses it.
	generation int64
	// expiry is when the term ends, in nanoseconds of the candidate's clock.
	expiry   atomic.Int64
	failed   atomic.Bool
	restored atomic.Bool
	// readyAt is when restored was set, in Unix nanoseconds.
	readyAt atomic.Int64
	// explainedAt is when the last explanation began, in Unix nanoseconds, and passTime
	// how long the last planning pass took, in nanoseconds.
	explainedAt, passTime atomic.Int64
	cancel                context.CancelFunc
	ctx                   context.Context
	jobs                  *track.Follower
	wake                  chan struct{}
	ended                 chan struct{}
	// stale, backlog and planAfter, the time before which the loop does not plan, are used by
	// the loop alone.
	stale     staleness
	backlog   backlogReport
	planAfter time.Time
	// longPassAt is when a long pass was last logged.
	longPassAt time.Time

	scheduler *shard.Scheduler
	// stateMu guards scheduler, sessions, sessionCount and departures.
	stateMu sync.Mutex
	// entries are the records of the owner topic at the takeover.
	entries []spar.Record
	// appendSeq is the sequence number of the last append to the progress topic.
	appendSeq    int64
	sessions     map[string]*session
	sessionCount int64
	// refusals are the jobs that were refused for want of room; stateMu guards it.
	refusals refusals
	// reservations are the jobs that memory was granted for; stateMu guards it.
	reservations reservations
	// departures are the workers that have left in this term, and handledDepartures
	// the keys of earlier ones that are to be dropped.
	departures        departures
	handledDepartures []string
	// predecessors is used by the goroutine of takeOver, and later by that of
	// settlePredecessors.
	predecessors predecessors
	// begunAt is when the term began, which is no earlier than the store elected it.
	begunAt time.Time
	// witnesses confirm the owner after its term. witnessesChanged tells that the owner
	// record is to be written with others.
	witnesses        witnesses
	witnessesChanged chan struct{}
}

func newTerm(c *Candidate, epoch int64, until time.Duration) *term {
	t := &term{Candidate: c, epoch: epoch, begunAt: time.Now(), witnessesChanged: make(chan struct{}, 1), wake: make(chan struct{}, 1), ended: make(chan struct{}), sessions: map[string]*session{}}
	t.scheduler = shard.NewScheduler(shard.Limits{Lease: c.settings.lease(), MaxLease: c.settings.maxLease(), Retention: c.settings.keep(), RecordBytes: c.settings.valueBytes(), HoldBytes: c.settings.jobMemory(), Order: c.settings.Order, FillHarm: c.settings.FillHarm}, t.logEvent)
	t.jobs = &track.Follower{
		Store: c.store, Topic: JobsTopic, Wait: jobsReadWait, OnSnapshot: t.applyJobRecords, OnRecords: t.applyJobRecords,
		OnError: func(err error) { t.Warn("could not read the jobs topic", "err", err) },
	}
	t.extend(until)
	return t
}

// logEvent logs and counts a decision of the shard.
func (t *term) logEvent(e shard.Event) {
	name := "decisions_" + strings.ReplaceAll(e.Name, " ", "_")
	t.Counter(name).Inc(1)
	if e.Queue != "" {
		t.Counter(name + "_in_" + e.Queue).Inc(1)
	}
	t.Info(e.Name, "task", e.Task, "run", e.Run, "node", e.Node, "reason", e.Reason, "epoch", t.epoch)
}

func (t *term) extend(until time.Duration) { t.expiry.Store(int64(until)) }

func (t *term) expiresAt() time.Duration { return time.Duration(t.expiry.Load()) }

// isValid reports whether the term has neither failed nor expired. Only then may
// orders be given and queries be answered.
func (t *term) isValid() bool { return !t.failed.Load() && t.clock() < t.expiresAt() }

// mayGrant reports whether leases may be granted, which is the case for a grace
// period beyond the term's expiry while witnesses confirm the owner.
func (t *term) mayGrant() bool {
	if t.failed.Load() || t.ctx.Err() != nil {
		return false
	}
	now := t.clock()
	return now < t.expiresAt() || now < t.expiresAt()+t.settings.grace() && t.witnesses.mayGrant(now)
}

func (t *term) hasFailed() bool { return t.failed.Load() }

// isReady reports whether the stored state has been restored.
func (t *term) isReady() bool { return t.restored.Load() }

func (t *term) start(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	go t.run(t.ctx)
}

func (t *term) stop() {
	t.cancel()
	<-t.ended
}

// fail ends the term after a store call that is not repeated, such as one that
// was fenced because a newer owner has written.
func (t *term) fail(err error) {
	t.failed.Store(true)
	t.Warn("term lost", "epoch", t.epoch, "err", err)
	t.cancel()
}

func (t *term) run(ctx context.Context) {
	defer close(t.ended)
	defer t.closeConnections()
	if !t.takeOver(ctx) {
		return
	}
	following, dropping, settling, collecting := t.jobs.Run(ctx), t.dropExpired(ctx), t.settlePredecessors(ctx), t.collectDepartures(ctx, t.entries)
	witnessing := t.followWitnesses(ctx)
	t.loop(ctx)
	t.clearBacklog()
	if err := <-following; err != nil {
		t.Warn("following the jobs topic failed", "err", err)
	}
	if err := <-dropping; err != nil {
		t.Warn("dropping expired records failed", "err", err)
	}
	if err := <-settling; err != nil {
		t.Warn("list of earlier owners is no longer stored", "epoch", t.epoch, "err", err)
	}
	if err := <-witnessing; err != nil {
		t.Warn("following the witnesses failed", "err", err)
	}
	if err := <-collecting; err != nil {
		t.Warn("collecting departures failed", "err", err)
	}
}

// submitBatch is how many jobs are applied to the shard at a time. Leases and answers wait
// meanwhile.
const submitBatch = 16

// applyJobRecords applies records of the jobs topic to the shard.
func (t *term) applyJobRecords(records []spar.Record) {
	now := time.Now()
	for batch := range slices.Chunk(t.decodeSubmissions(records), submitBatch) {
		t.stateMu.Lock()
		for _, j := range batch {
			t.scheduler.Submit(j, now)
		}
		t.stateMu.Unlock()
	}
	t.stateMu.Lock()
	t.applyCancels(records, now)
	t.applyDepartures(records)
	t.stateMu.Unlock()
	t.wakeLoop()
}

// decodeSubmissions returns the jobs among the records, but for those that a later record
// drops.
func (t *term) decodeSubmissions(records []spar.Record) []spar.Job {
	var out []spar.Job
	last := map[string]int{}
	for i, r := range records {
		last[r.Key] = i
	}
	for i, r := range records {
		if !strings.HasPrefix(r.Key, JobPrefix) || len(r.Value) == 0 || last[r.Key] > i {
			continue
		}
		j, err := shard.DecodeJob(r.Value)
		if err != nil {
			t.Warn("could not decode a submission", "key", r.Key, "err", err)
			continue
		}
		out = append(out, j)
	}
	return out
}

func (t *term) applyCancels(records []spar.Record, now time.Time) {
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, CancelPrefix); ok && len(r.Value) > 0 {
			t.scheduler.Cancel(id, now)
		}
	}
}

func (t *term) applyConfig() {
	v := t.config.Load()
	if v.Rules != nil {
		t.scheduler.SetRules(v.Rules)
	}
	t.scheduler.SetClosedDomains(v.ClosedDomains)
}

// wakeLoop makes the loop run before the next tick.
func (t *term) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
