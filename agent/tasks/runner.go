// Package tasks runs batch tasks on one worker: reservations in the ledger,
// starts through the worker API under the agent's lease, evictions, and the
// reports of how attempts ended. It plans nothing.
package tasks

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/colo"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/ledger"
	"github.com/berylspar/spar/wire"
)

// Times of the runner.
const (
	pollInterval   = 100 * time.Millisecond
	reservationTTL = 10 * time.Second
	callTimeout    = 2 * time.Second
)

// Place is where the agent runs.
type Identity struct {
	Worker  string
	Domain  string
	Session string
}

// Runner runs the tasks of one session.
type Runner struct {
	common.Common
	identity Identity
	terms    lease.Terms
	platform spar.Platform
	ledger   *ledger.Ledger
	lease    *lease.Holder
	clock    platformClock
	config   fleet.Holder
	leaving  atomic.Bool
	ready    atomic.Bool

	mu    sync.Mutex
	tasks map[string]*localTask
	// newest is the highest attempt of each task that this session ran or
	// refused for good; none at or below it will start.
	newestAttempt map[string]uint32
	avoidsKind    func(kind string) bool
	initialCap    func(kind string, full int64) int64
}

// NewRunner returns a runner that accepts nothing before it is ready.
func NewRunner(c common.Common, p Identity, t lease.Terms, platform spar.Platform, l *ledger.Ledger, h *lease.Holder) *Runner {
	r := &Runner{
		Common: c, identity: p, terms: t, platform: platform, ledger: l, lease: h,
		tasks: map[string]*localTask{}, newestAttempt: map[string]uint32{}, avoidsKind: func(string) bool { return false }, initialCap: func(_ string, full int64) int64 { return full },
	}
	r.clock.terms = t
	return r
}

// Session is the session of the agent.
func (r *Runner) Session() string { return r.identity.Session }

// SetAvoid sets the function that tells which kinds hurt the service. It must
// be called before Run.
func (r *Runner) SetAvoidsKind(f func(kind string) bool) { r.avoidsKind = f }

// SetCap sets the function that tells the processors that a new task begins
// with, in thousandths. It must be called before Run.
func (r *Runner) SetInitialCap(f func(kind string, full int64) int64) { r.initialCap = f }

// Config returns the newest configuration known.
func (r *Runner) Config() *fleet.Revision { return r.config.Load() }

// Learn takes in a configuration; a lower revision than the known is dropped.
func (r *Runner) UpdateConfig(ctx context.Context, c *fleet.Revision) {
	if !r.config.StoreIfNewer(c) {
		return
	}
	r.Info("configuration in force", "revision", c.Number)
	if !c.IsOpen(r.identity.Domain) {
		r.EvictAll(ctx, spar.ReasonDomainClosed)
	}
}

// Leave stops all starts for good.
func (r *Runner) SetLeaving() { r.leaving.Store(true) }

// Running returns the attempts that run here or wait to be reported.
func (r *Runner) ActiveAttempts() []*wire.TaskRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*wire.TaskRef, 0, len(r.tasks))
	for _, t := range r.tasks {
		out = append(out, wire.RefOf(t.id))
	}
	return out
}

// gate tells why nothing may start now.
func (r *Runner) startRefusal(now time.Time, domains []string) spar.Reason {
	c := r.config.Load()
	switch {
	case !r.ready.Load():
		return spar.ReasonNotReady
	case r.leaving.Load():
		return spar.ReasonLeaving
	case r.lease.Left(now) <= 0:
		return spar.ReasonNoLease
	case now.Sub(r.lease.Known()) >= r.terms.Start():
		return spar.ReasonStaleConfig
	case !c.IsOpen(r.identity.Domain):
		return spar.ReasonDomainClosed
	case !fleet.Allows(domains, r.identity.Domain):
		return spar.ReasonDomainExcluded
	}
	return spar.ReasonNone
}

// Reserve holds room for a task for a while, and makes it where the task is
// urgent and evicting others would do.
func (r *Runner) Reserve(ctx context.Context, q *wire.ReserveRequest) *wire.ReserveAnswer {
	reason := r.reserve(ctx, q)
	r.AddDecision(q.GetTask().ID().Task(), "reserve", reason, r.identity.Worker)
	return &wire.ReserveAnswer{Reserved: reason == spar.ReasonNone, Reason: string(reason)}
}

func (r *Runner) reserve(ctx context.Context, q *wire.ReserveRequest) spar.Reason {
	if q.GetSession() != r.identity.Session {
		return spar.ReasonWrongSession
	}
	now := time.Now()
	if reason := r.startRefusal(now, nil); reason != spar.ReasonNone {
		return reason
	}
	if r.avoidsKind(q.GetKind()) {
		return spar.ReasonHurtsService
	}
	id, size := q.GetTask().ID(), q.GetSize().Spar()
	if !size.Fits(r.ledger.Total()) {
		return spar.ReasonTooLarge
	}
	if r.ledger.Reserve(id, size, now, now.Add(reservationTTL)) {
		return spar.ReasonNone
	}
	if q.GetUrgent() && r.makeRoom(ctx, size) && r.ledger.Reserve(id, size, now, now.Add(reservationTTL)) {
		return spar.ReasonNone
	}
	return spar.ReasonNoRoom
}

// Run starts an attempt that was claimed for this session. It is idempotent: a
// refusal is for good, so the claim can be closed as never started.
func (r *Runner) Run(ctx context.Context, q *wire.RunRequest) *wire.RunAnswer {
	id := q.GetTask().ID()
	if q.GetSession() != r.identity.Session {
		return &wire.RunAnswer{Reason: string(spar.ReasonWrongSession)}
	}
	t, reason := r.admit(id, q)
	if reason != spar.ReasonNone {
		r.AddDecision(id.Task(), "run refused", reason, r.identity.Worker)
		return &wire.RunAnswer{Refused: true, Reason: string(reason)}
	}
	if t == nil {
		return &wire.RunAnswer{Running: true}
	}
	return r.start(ctx, t, q)
}

// enter decides on an attempt once and for all. It returns nil and no reason
// when the attempt is here already.
func (r *Runner) admit(id spar.TaskID, q *wire.RunRequest) (*localTask, spar.Reason) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := id.Task()
	if t := r.tasks[key]; t != nil && t.id == id {
		return nil, spar.ReasonNone
	}
	if id.Attempt <= r.newestAttempt[key] {
		return nil, spar.ReasonNeverStarted
	}
	// From here on the attempt either starts or never will.
	r.newestAttempt[key] = id.Attempt
	now := time.Now()
	if reason := r.startRefusal(now, q.GetSpec().GetDomains()); reason != spar.ReasonNone {
		r.ledger.Release(id)
		return nil, reason
	}
	size := q.GetSpec().GetSize().Spar()
	if !r.ledger.Reserve(id, size, now, now.Add(reservationTTL)) || !r.ledger.Commit(id, now) {
		return nil, spar.ReasonNoRoom
	}
	t := &localTask{id: id, spec: q.GetSpec(), capMilli: size.CPUMilli, startedAt: now}
	r.tasks[key] = t
	return t, spar.ReasonNone
}

// start asks the platform. The deadlines are on the platform's clock, so a
// call that is held up can't start a task after the lease or after a domain
// was closed.
func (r *Runner) start(ctx context.Context, t *localTask, q *wire.RunRequest) *wire.RunAnswer {
	until, known := r.clock.toPlatformTime(r.lease.Deadline())
	startBy, _ := r.clock.toPlatformTime(r.lease.Known().Add(r.terms.Start()))
	if !known {
		r.dropUnstarted(t, spar.ReasonNotReady)
		return &wire.RunAnswer{Refused: true, Reason: string(spar.ReasonNotReady)}
	}
	r.mu.Lock()
	t.startBy = startBy
	r.mu.Unlock()
	status, err := r.platform.Start(ctx, spar.Start{
		ID: t.id, Kind: t.spec.GetKind(), Size: t.spec.GetSize().Spar(),
		Run:        time.Duration(t.spec.GetRunMs()) * time.Millisecond,
		Checkpoint: q.GetCheckpoint(), Until: until, StartBy: startBy,
	})
	if err != nil {
		// The start may have taken effect: the next listing tells, and the
		// task stays committed until then.
		r.Warn("start not answered", "task", t.id, "err", err)
		return &wire.RunAnswer{Running: true}
	}
	if status.State == spar.TaskRefused {
		r.dropUnstarted(t, spar.ReasonPlatformRefused)
		return &wire.RunAnswer{Refused: true, Reason: string(spar.ReasonPlatformRefused)}
	}
	r.AddDecision(t.id.Task(), "started", spar.ReasonNone, r.identity.Worker)
	r.mu.Lock()
	if t.stage == starting {
		t.stage = running
		t.status = status
	}
	r.mu.Unlock()
	if capMilli := r.initialCap(t.spec.GetKind(), t.capMilli); capMilli < t.capMilli {
		r.applyAction(ctx, colo.Action{ID: t.id, CapMilli: capMilli, Reason: spar.ReasonHurtsService}, 0)
	}
	return &wire.RunAnswer{Running: true}
}

// never drops a task that did not start.
func (r *Runner) dropUnstarted(t *localTask, reason spar.Reason) {
	r.AddDecision(t.id.Task(), "run refused", reason, r.identity.Worker)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks[t.id.Task()] == t {
		delete(r.tasks, t.id.Task())
	}
	r.ledger.Release(t.id)
}

// IsLeaving tells whether the agent stops by plan.
func (r *Runner) IsLeaving() bool { return r.leaving.Load() }

// IsReady tells whether the agent holds a fresh configuration and knows what
// runs on its worker.
func (r *Runner) IsReady() bool {
	return r.ready.Load() && r.config.Load().Number > 0
}

// RequestGate tells why no request of a caller is taken now. During an outage
// of the log requests go on with the newest configuration known: to refuse
// callers would be worse.
func (r *Runner) RequestRefusal() spar.Reason {
	c := r.config.Load()
	switch {
	case r.leaving.Load():
		return spar.ReasonLeaving
	case c.Number == 0:
		return spar.ReasonNotReady
	case !c.IsOpen(r.identity.Domain):
		return spar.ReasonDomainClosed
	}
	return spar.ReasonNone
}
