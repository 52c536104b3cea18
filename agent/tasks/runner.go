// Package tasks runs batch tasks on one worker. It reserves resources in the
// ledger, starts tasks through the worker API under the agent's lease, evicts
// tasks, and reports how attempts ended. Placement is decided by the entries.
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

// Intervals and time limits of the runner.
const (
	pollInterval = 100 * time.Millisecond
	// reservationTTL bounds how long an unused reservation holds resources.
	reservationTTL = 10 * time.Second
	// callTimeout bounds one call of the worker API.
	callTimeout = 2 * time.Second
)

// Identity identifies the agent: its worker, failure domain and session.
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
	// newestAttempt is the highest attempt of each task that this session
	// accepted or refused. Attempts at or below it are not started.
	newestAttempt map[string]uint32
	avoidsKind    func(kind string) bool
	initialCap    func(kind string, full int64) int64
}

// NewRunner returns a runner that accepts no tasks until StopEarlierTasks has
// succeeded.
func NewRunner(c common.Common, p Identity, t lease.Terms, platform spar.Platform, l *ledger.Ledger, h *lease.Holder) *Runner {
	r := &Runner{
		Common: c, identity: p, terms: t, platform: platform, ledger: l, lease: h,
		tasks: map[string]*localTask{}, newestAttempt: map[string]uint32{}, avoidsKind: func(string) bool { return false }, initialCap: func(_ string, full int64) int64 { return full },
	}
	r.clock.terms = t
	return r
}

// Session returns the name of the agent's session.
func (r *Runner) Session() string { return r.identity.Session }

// SetAvoidsKind sets the function that reports whether a kind of task hurts the
// service. It must be called before the runner serves calls.
func (r *Runner) SetAvoidsKind(f func(kind string) bool) { r.avoidsKind = f }

// SetInitialCap sets the function that returns the CPU limit of a new task, in
// thousandths of a processor. It must be called before the runner serves calls.
func (r *Runner) SetInitialCap(f func(kind string, full int64) int64) { r.initialCap = f }

// Config returns the newest known configuration.
func (r *Runner) Config() *fleet.Revision { return r.config.Load() }

// UpdateConfig applies a configuration if its revision is newer than the current
// one, and evicts all tasks if the agent's domain is closed.
func (r *Runner) UpdateConfig(ctx context.Context, c *fleet.Revision) {
	if !r.config.StoreIfNewer(c) {
		return
	}
	r.Info("configuration in force", "revision", c.Number)
	if !c.IsOpen(r.identity.Domain) {
		r.EvictAll(ctx, spar.ReasonDomainClosed)
	}
}

// SetLeaving marks the agent as leaving. No task is started afterwards.
func (r *Runner) SetLeaving() { r.leaving.Store(true) }

// ActiveAttempts returns the attempts that are running, starting, or ended with
// an unconfirmed report.
func (r *Runner) ActiveAttempts() []*wire.TaskRef {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]*wire.TaskRef, 0, len(r.tasks))
	for _, t := range r.tasks {
		out = append(out, wire.RefOf(t.id))
	}
	return out
}

// startRefusal returns why no task may start now, or ReasonNone.
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

// Reserve reserves resources for a task for a limited time. For an urgent task
// it evicts other tasks if that frees enough.
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

// Run starts an attempt that was claimed for this session. It is idempotent. A
// refusal is final, so the claim can be closed as never started.
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

// admit decides whether an attempt starts, and the decision is final. It returns
// nil and ReasonNone if the attempt is already on this worker.
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
	// Recorded before the checks, so that a refused attempt is not started by
	// a repeated call.
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

// start starts an admitted attempt on the platform. The deadlines are on the
// platform's clock, so a delayed call cannot start a task after the lease has
// ended or after a domain was closed.
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
		// The start may have taken effect. The task stays committed until a
		// listing shows the outcome.
		r.Warn("no answer to the start of a task", "task", t.id, "err", err)
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

// dropUnstarted removes a task that did not start and releases its resources.
func (r *Runner) dropUnstarted(t *localTask, reason spar.Reason) {
	r.AddDecision(t.id.Task(), "run refused", reason, r.identity.Worker)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tasks[t.id.Task()] == t {
		delete(r.tasks, t.id.Task())
	}
	r.ledger.Release(t.id)
}

// IsLeaving reports whether the agent is shutting down.
func (r *Runner) IsLeaving() bool { return r.leaving.Load() }

// IsReady reports whether the agent has a configuration and knows which tasks run
// on its worker.
func (r *Runner) IsReady() bool {
	return r.ready.Load() && r.config.Load().Number > 0
}

// RequestRefusal returns why requests of callers are refused now, or ReasonNone.
// During an outage of the log, requests are served with the newest known
// configuration, since refusing them would be worse than serving with an old one.
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
