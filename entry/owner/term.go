package owner

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// Keys of the jobs topic: submissions and cancels are apart, so that a
// submission that is carried out late can't undo a cancel.
const (
	JobPrefix    = "j/"
	CancelPrefix = "c/"
)

const (
	// tickEvery is the longest pause between two looks at the shard.
	tickInterval = 100 * time.Millisecond
	// gather is how long the loop waits for more news before it decides.
	batchDelay = 5 * time.Millisecond
	// jobsWait bounds how old the knowledge of submissions and cancels gets.
	jobsReadWait = 800 * time.Millisecond
	// staleAfter is the age of that knowledge at which no task is started: a
	// cancel or a closed domain may have been missed.
	maxInputAge = 1800 * time.Millisecond
	// retryPause is the first pause before a store call is repeated; pauses
	// double up to longPause, so that an outage costs few calls.
	retryPause    = 25 * time.Millisecond
	maxRetryPause = 200 * time.Millisecond
	// tokenBits are the bits of a fencing token that count an owner's sessions.
	tokenBits = 20
)

// term is one time of being the owner.
type term struct {
	*Candidate
	epoch int64
	// generation is the group's at the last join; only the election uses it.
	generation int64
	// expiry is when the term ends, as steady time.
	expiry   atomic.Int64
	failed   atomic.Bool
	restored atomic.Bool
	cancel   context.CancelFunc
	ctx      context.Context
	jobs     *track.Follower
	wake     chan struct{}
	ended    chan struct{}

	core         *shard.Core
	coreMu       sync.Mutex
	appendSeq    int64
	sessions     map[string]*session
	sessionCount int64
}

func newTerm(o *Candidate, epoch int64, until time.Duration) *term {
	t := &term{Candidate: o, epoch: epoch, wake: make(chan struct{}, 1), ended: make(chan struct{}), sessions: map[string]*session{}}
	t.core = shard.NewCore(shard.Limits{Lease: o.settings.lease(), MaxLease: o.settings.maxLease(), Keep: o.settings.keep()}, t.logEvent)
	t.jobs = &track.Follower{
		Store: o.store, Topic: JobsTopic, Wait: jobsReadWait, OnSnapshot: t.applyJobRecords, OnRecords: t.applyJobRecords,
		OnError: func(err error) { t.Warn("jobs not readable", "err", err) },
	}
	t.extend(until)
	return t
}

// note writes a decision to the log.
func (t *term) logEvent(e shard.Event) {
	t.Counter("decisions_" + strings.ReplaceAll(e.What, " ", "_")).Inc(1)
	t.Info(e.What, "task", e.Task, "run", e.Run, "node", e.Node, "reason", e.Reason, "epoch", t.epoch)
}

func (t *term) extend(until time.Duration) { t.expiry.Store(int64(until)) }

func (t *term) expiresAt() time.Duration { return time.Duration(t.expiry.Load()) }

// holds tells whether orders may be given.
func (t *term) isValid() bool { return !t.failed.Load() && t.clock() < t.expiresAt() }

// grants tells whether leases may be granted.
func (t *term) mayGrant() bool {
	return !t.failed.Load() && t.ctx.Err() == nil && t.clock() < t.expiresAt()+t.settings.grace()
}

func (t *term) hasFailed() bool { return t.failed.Load() }

// ready tells whether the stored state has been read.
func (t *term) isReady() bool { return t.restored.Load() }

func (t *term) start(ctx context.Context) {
	t.ctx, t.cancel = context.WithCancel(ctx)
	go t.run(t.ctx)
}

func (t *term) stop() {
	t.cancel()
	<-t.ended
}

// fail gives the term up: a newer owner has written.
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
	following := t.jobs.Run(ctx)
	t.loop(ctx)
	if err := <-following; err != nil {
		t.Warn("jobs not followed", "err", err)
	}
}

// open shuts out older owners, reads the stored state and tells where the
// owner is.
func (t *term) takeOver(ctx context.Context) bool {
	begun := time.Now()
	if !t.appendFenced(ctx, stateTopic, 0, nil) {
		return false
	}
	var jobs, state spar.Batch
	for _, r := range []struct {
		topic string
		batch *spar.Batch
	}{{JobsTopic, &jobs}, {stateTopic, &state}} {
		err := t.retryStoreCall(ctx, func() (err error) {
			*r.batch, err = t.store.Newest(ctx, r.topic)
			return err
		})
		if err != nil {
			t.fail(err)
			return false
		}
	}
	now := time.Now()
	t.coreMu.Lock()
	t.applyConfig()
	t.applySubmissions(jobs.Records, now)
	for _, r := range state.Records {
		if err := t.core.Restore(r.Key, r.Value, now, now.Add(t.settings.maxEarlierLease())); err != nil {
			t.Warn("progress not restored", "err", err)
		}
	}
	t.applyCancels(jobs.Records, now)
	t.coreMu.Unlock()
	self := t.self
	self.Epoch = t.epoch
	if !t.appendFenced(ctx, link.OwnerTopic, 0, []spar.Record{{Key: link.OwnerKey, Value: self.Encode()}}) {
		return false
	}
	t.restored.Store(true)
	t.Info("state taken over", "epoch", t.epoch, "jobs", len(jobs.Records), "progress", len(state.Records), "took", time.Since(begun))
	t.Timer("takeover").Record(time.Since(begun))
	return true
}

// persist repeats a store call until it has an answer that is final.
func (t *term) retryStoreCall(ctx context.Context, call func() error) error {
	pause := retryPause
	for tries := 1; ; tries++ {
		err := call()
		if err == nil || errors.Is(err, spar.ErrFenced) || errors.Is(err, spar.ErrSequence) {
			if tries > 1 {
				t.Info("store call answered", "epoch", t.epoch, "tries", tries, "err", err)
			}
			return err
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		t.Counter("store_repeats").Inc(1)
		if tries == 1 {
			t.Warn("store call repeated", "epoch", t.epoch, "err", err)
		}
		track.Pause(ctx, pause)
		pause = min(2*pause, maxRetryPause)
	}
}

// append writes to a topic with the term's epoch, again until it is answered.
func (t *term) appendFenced(ctx context.Context, topic string, seq int64, records []spar.Record) bool {
	p := &spar.Producer{Name: producer, Epoch: t.epoch, Seq: seq}
	err := t.retryStoreCall(ctx, func() error { return t.write(ctx, topic, p, records) })
	if err != nil {
		t.fail(err)
	}
	return err == nil
}

// read takes records of the jobs topic.
func (t *term) applyJobRecords(records []spar.Record) {
	now := time.Now()
	t.coreMu.Lock()
	t.applySubmissions(records, now)
	t.applyCancels(records, now)
	t.coreMu.Unlock()
	t.wakeLoop()
}

func (t *term) applySubmissions(records []spar.Record, now time.Time) {
	for _, r := range records {
		if !strings.HasPrefix(r.Key, JobPrefix) || len(r.Value) == 0 {
			continue
		}
		j, err := shard.DecodeJob(r.Value)
		if err != nil {
			t.Warn("submission not readable", "key", r.Key, "err", err)
			continue
		}
		t.core.Submit(j, now)
	}
}

func (t *term) applyCancels(records []spar.Record, now time.Time) {
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, CancelPrefix); ok && len(r.Value) > 0 {
			t.core.Cancel(id, now)
		}
	}
}

func (t *term) applyConfig() {
	v := t.config.Load()
	if v.Rules != nil {
		t.core.SetRules(v.Rules)
	}
	t.core.SetDomains(v.ClosedDomains)
}

// poke has the loop look again.
func (t *term) wakeLoop() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}
