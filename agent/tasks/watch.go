package tasks

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/wire"
)

// evictDivisor sets when tasks are evicted as the lease runs out: once less than
// 1/evictDivisor of its length is left, which is kept for taking checkpoints.
const evictDivisor = 4

// StopEarlierTasks stops the tasks that an earlier session of this worker left
// running and queues reports of how they ended. No task is accepted before it
// succeeds.
func (r *Runner) StopEarlierTasks(ctx context.Context) error {
	l, err := r.list(ctx)
	if err != nil {
		return err
	}
	for _, s := range l.Tasks {
		if s.State == spar.TaskRunning {
			if s, err = r.platform.Stop(ctx, s.ID, true); err != nil {
				return err
			}
		}
		r.adopt(s)
	}
	r.ready.Store(true)
	return nil
}

// adopt tracks an attempt of an earlier session so that its end is reported.
func (r *Runner) adopt(s spar.TaskStatus) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &localTask{id: s.ID, stage: running, evictReason: spar.ReasonRestart}
	r.tasks[s.ID.Task()] = t
	r.newestAttempt[s.ID.Task()] = s.ID.Attempt
	r.updateStatus(t, s)
}

// WatchTasks polls the platform for the state of its tasks and renews their
// leases until the context ends.
func (r *Runner) WatchTasks(ctx context.Context) <-chan error {
	return common.Every(ctx, pollInterval, func(time.Time) { r.poll(ctx) })
}

func (r *Runner) poll(ctx context.Context) {
	if !r.ready.Load() {
		if err := r.StopEarlierTasks(ctx); err != nil {
			r.Warn("could not stop the tasks of earlier sessions", "err", err)
		}
		return
	}
	l, err := r.list(ctx)
	if err != nil {
		r.Warn("could not list tasks", "err", err)
		return
	}
	for _, id := range r.reconcile(l) {
		r.clearTask(ctx, id)
	}
	if left := r.lease.Left(time.Now()); left < r.terms.Lease()/evictDivisor {
		r.EvictAll(ctx, spar.ReasonNoLease)
	}
	r.stopMarked(ctx)
	r.renewLeases(ctx)
}

func (r *Runner) list(ctx context.Context) (spar.Listing, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l, err := r.platform.List(ctx)
	if err == nil {
		r.clock.setReading(l.Now, time.Now())
	}
	return l, err
}

// reconcile updates local tasks from a listing of the platform. It returns ended
// tasks that are no longer tracked here but not yet cleared on the platform.
func (r *Runner) reconcile(l spar.Listing) []spar.TaskID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var uncleared []spar.TaskID
	listed := map[spar.TaskID]bool{}
	for _, s := range l.Tasks {
		listed[s.ID] = true
		t := r.tasks[s.ID.Task()]
		if t == nil || t.id != s.ID {
			if s.State != spar.TaskRunning {
				uncleared = append(uncleared, s.ID)
			}
			continue
		}
		if t.stage != ended {
			t.stage = running
			r.updateStatus(t, s)
		}
	}
	for _, t := range r.tasks {
		if t.stage == starting && t.startBy > 0 && l.Now > t.startBy && !listed[t.id] {
			// The start was not answered, its deadline has passed, and the
			// platform does not list the task: it never started.
			r.updateStatus(t, spar.TaskStatus{ID: t.id, State: spar.TaskRefused, Checkpoint: ""})
		}
	}
	return uncleared
}

// updateStatus records the platform's status of a task, and prepares the report
// if the task has ended. r.mu must be held.
func (r *Runner) updateStatus(t *localTask, s spar.TaskStatus) {
	t.status = s
	if s.State == spar.TaskRunning {
		return
	}
	t.stage = ended
	r.ledger.Release(t.id)
	ref := wire.RefOf(t.id)
	switch s.State {
	case spar.TaskDone:
		t.endReport = &wire.End{Task: ref, Ok: true}
	case spar.TaskFailed:
		t.endReport = &wire.End{Task: ref, Reason: s.Reason}
	default:
		t.evictReport = &wire.Evict{Task: ref, Checkpoint: s.Checkpoint, ProgressMs: s.Saved.Milliseconds(), LostUs: (s.Progress - s.Saved).Microseconds(), Reason: string(t.reportedReason(s))}
	}
	r.AddDecision(t.id.Task(), "ended as "+string(s.State), t.evictReason, r.identity.Worker)
}

func (t *localTask) reportedReason(s spar.TaskStatus) spar.Reason {
	if t.evictReason != spar.ReasonNone {
		return t.evictReason
	}
	if s.State == spar.TaskLapsed {
		return spar.ReasonNoLease
	}
	return spar.ReasonNeverStarted
}

// EvictAll checkpoints and stops all tasks.
func (r *Runner) EvictAll(ctx context.Context, reason spar.Reason) {
	r.markForEviction(reason, func(*localTask) bool { return true })
	r.stopMarked(ctx)
}

// EvictJobs marks the tasks of jobs for eviction. The next poll checkpoints and
// stops them.
func (r *Runner) EvictJobs(jobs []string, reason spar.Reason) {
	for _, j := range jobs {
		r.markForEviction(reason, func(t *localTask) bool { return t.id.Job == j })
	}
}

// markForEviction marks matching tasks to be stopped by the next stopMarked. A
// task that is already marked keeps its reason.
func (r *Runner) markForEviction(reason spar.Reason, matches func(*localTask) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.tasks {
		if t.stage != ended && t.evictReason == spar.ReasonNone && matches(t) {
			t.evictReason = reason
		}
	}
}

// stopMarked stops the tasks that are marked for eviction. A stop that fails is
// repeated by the next poll.
func (r *Runner) stopMarked(ctx context.Context) {
	r.mu.Lock()
	var marked []*localTask
	for _, t := range r.tasks {
		if t.stage != ended && t.evictReason != spar.ReasonNone {
			marked = append(marked, t)
		}
	}
	r.mu.Unlock()
	for _, t := range marked {
		r.stopTask(ctx, t)
	}
}

func (r *Runner) stopTask(ctx context.Context, t *localTask) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	s, err := r.platform.Stop(ctx, t.id, true)
	if err != nil {
		r.Warn("could not stop a task", "task", t.id, "err", err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.stage == ended || s.State == spar.TaskRefused {
		return
	}
	r.updateStatus(t, s)
}

// renewLeases extends the leases of tasks to the end of the agent's own lease.
func (r *Runner) renewLeases(ctx context.Context) {
	until, known := r.clock.toPlatformTime(r.lease.Deadline())
	if !known || r.lease.Left(time.Now()) <= 0 {
		return
	}
	var ids []spar.TaskID
	r.mu.Lock()
	for _, t := range r.tasks {
		if t.stage != ended {
			ids = append(ids, t.id)
		}
	}
	r.mu.Unlock()
	if len(ids) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.platform.Renew(ctx, until, ids); err != nil {
		r.Warn("could not renew the leases of tasks", "err", err)
	}
}

// makeRoom evicts tasks that are not urgent, in the order of the progress that
// they lose, until a size is free. It evicts nothing if that would not free
// enough. It reports whether any task was chosen.
func (r *Runner) makeRoom(ctx context.Context, size spar.Size) bool {
	victims := r.victims(size)
	for _, t := range victims {
		r.markForEviction(spar.ReasonPreempted, func(o *localTask) bool { return o == t })
	}
	r.stopMarked(ctx)
	return len(victims) > 0
}
