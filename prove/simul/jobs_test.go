package simul_test

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

func (s *simulation) taskSize(t spar.TaskRef) spar.Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[t.Job].Steps[t.Step].Size
}

func (s *simulation) isStanding(t spar.TaskRef) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[t.Job].Steps[t.Step].Standing
}

// crashDelay is the time from the start of a crashing task to the crash.
const crashDelay = 10 * time.Millisecond

// standingTime is the duration of a run of a standing task, longer than any test.
const standingTime = time.Hour

// drawWorkload draws the duration and the ending of a run.
func (s *simulation) drawWorkload(t spar.TaskRef, _ int64) (time.Duration, spar.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[t.Job]; j.crashing != nil && j.crashing(t) {
		return crashDelay, worker.EndCrash
	}
	if d := s.jobs[t.Job].runTime; d > 0 {
		return d, spar.EndDone
	}
	if s.jobs[t.Job].Steps[t.Step].Standing {
		if !s.fixedWorkload && s.random.Float64() < 0.1 {
			return time.Duration(500+s.random.IntN(8000)) * time.Millisecond, spar.EndFailed
		}
		return standingTime, spar.EndDone
	}
	if s.fixedWorkload {
		return cmp.Or(s.runTime, 500*time.Millisecond), spar.EndDone
	}
	duration := time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	if s.jobs[t.Job].alwaysFails || s.random.Float64() < 0.03 {
		return duration, spar.EndFailed
	}
	return duration, spar.EndDone
}

// startForbidden returns why a task must not start on a node now, or "".
func (s *simulation) startForbidden(t spar.TaskRef, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[t.Job]
	if j == nil {
		return "its job was not submitted"
	}
	if !j.cancelledAt.IsZero() && time.Since(j.cancelledAt) > 3*time.Second+maxOrderDelay {
		return fmt.Sprintf("it was cancelled %s ago", time.Since(j.cancelledAt))
	}
	for _, step := range j.Steps[t.Step].After {
		for i := range j.Steps[step].Count {
			if !s.checker.SucceededLocked(spar.TaskRef{Job: t.Job, Step: step, Index: i}) {
				return fmt.Sprintf("step %d is not done", step)
			}
		}
	}
	for _, n := range s.nodes {
		if at, ok := s.closedAt[n.domain]; ok && n.name == name && time.Since(at) > 5*time.Second+maxOrderDelay {
			return fmt.Sprintf("its domain was closed %s ago", time.Since(at))
		}
	}
	return ""
}

// submit submits a job through an entry. The job is registered first, since a
// submission without an answer may have been stored.
func (s *simulation) submit(e *entry) {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	steps := make([]spar.Step, 1+s.random.IntN(3))
	for i := range steps {
		steps[i] = spar.Step{Count: 1 + s.random.IntN(4), Size: spar.Size{CPUMilli: int64(300 + 100*s.random.IntN(8)), MemoryMB: 500}, Estimate: time.Second}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	j := &job{Job: spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: s.checker.MaxAttempts}}, alwaysFails: s.random.Float64() < 0.05}
	s.submitJob(e, j)
}

// submitCrashing submits a job with a task that crashes its workers, or with nothing
// but such tasks.
func (s *simulation) submitCrashing(e *entry) {
	all := s.random.IntN(4) == 0
	j := &job{Job: jobOf(fmt.Sprintf("%016x", s.random.Uint64()), 1+s.random.IntN(5))}
	j.crashing = func(t spar.TaskRef) bool { return all || t.Index == 0 }
	s.submitJob(e, j)
}

// maxLosses is the number of workers with which a task may be lost before its job is
// given up, whoever crashed them: a sixth start could break the limit.
const maxLosses = 5

// expectNoneGivenUpWithoutCause checks that each failed job has a task that failed as
// often as it may, one that crashes its workers, or one that was lost maxLosses times.
func (s *simulation) expectNoneGivenUpWithoutCause() {
	for id, j := range s.jobs {
		if s.stateOf(id) != shard.Failed && !j.givenUp || j.crashing != nil {
			continue
		}
		most, lost := 0, 0
		for step, st := range j.Steps {
			for i := range st.Count {
				ref := spar.TaskRef{Job: id, Step: step, Index: i}
				most, lost = max(most, s.checker.Failures(ref)), max(lost, s.checker.Losses(ref))
			}
		}
		switch {
		case most >= s.checker.MaxAttempts && !j.Steps[0].Standing:
		case lost >= maxLosses:
			s.t.Logf("job %s was given up without a fault of its own: a task was lost with %d workers", id, lost)
		default:
			s.t.Errorf("job %s is failed, but no task failed more than %d times or was lost with more than %d workers", id, most, lost)
		}
	}
}

func (s *simulation) submitJob(e *entry, j *job) {
	s.mu.Lock()
	s.jobs[j.ID] = j
	s.submitted = append(s.submitted, j.ID)
	if j.Steps[0].Standing {
		s.standing = append(s.standing, j.ID)
	}
	s.mu.Unlock()
	go s.retryUntilStored(e, func(ctx context.Context) error {
		err := e.asker.Submit(ctx, j.Job)
		if err == nil {
			s.mu.Lock()
			j.acceptedAt = time.Now()
			s.mu.Unlock()
		}
		return err
	})
}

// retryUntilStored repeats a write until it succeeds, as callers do.
func (s *simulation) retryUntilStored(e *entry, write func(context.Context) error) {
	for s.ctx.Err() == nil {
		if e.cancel != nil && write(s.ctx) == nil {
			return
		}
		track.Pause(s.ctx, 200*time.Millisecond)
	}
}

func (s *simulation) cancelOneJob(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.jobs {
		// The cancel of a job that was forgotten stays in the store.
		mayBeForgotten := s.keepMS > 0 && !j.endedAt.IsZero()
		if j.cancelledAt.IsZero() && !mayBeForgotten {
			s.cancelLocked(e, j)
			return
		}
	}
}

// cancelLocked cancels a job. s.mu is held.
func (s *simulation) cancelLocked(e *entry, j *job) {
	j.cancelRequested = true
	go s.retryUntilStored(e, func(ctx context.Context) error {
		err := e.asker.Cancel(ctx, j.ID)
		if err == nil {
			s.mu.Lock()
			j.cancelledAt = time.Now()
			s.mu.Unlock()
		}
		return err
	})
}

// currentOwner returns an entry that serves as the owner, or nil.
func (s *simulation) currentOwner() *entry {
	for _, e := range s.entries {
		if e.cancel == nil {
			continue
		}
		if _, _, err := e.owner.LocalState("none"); err == nil {
			return e
		}
	}
	return nil
}

// unfinishedJobs returns the jobs that have not ended, with their states.
func (s *simulation) unfinishedJobs() []string {
	e := s.currentOwner()
	if e == nil {
		return []string{"no owner"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, j := range s.jobs {
		state, known, err := e.owner.LocalState(id)
		switch {
		case err != nil || !known:
			out = append(out, fmt.Sprintf("%s: known %v, %v", id, known, err))
		case state == shard.Completed || state == shard.Failed:
		case state == shard.Cancelled && !j.cancelledAt.IsZero():
		default:
			out = append(out, id+": "+string(state))
		}
	}
	return out
}
