package shard

import (
	"fmt"
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// handleRunEnd processes the reported end of a run. The same end may be
// reported again, and also for a run that was already removed as lost.
func (sc *Scheduler) handleRunEnd(w *worker, e spar.Ended, now time.Time) {
	sc.pendingAcks[w] = max(sc.pendingAcks[w], e.Number)
	sc.applyRunEnd(w, e, now)
}

// applyRunEnd applies the end of a run to its task.
func (sc *Scheduler) applyRunEnd(w *worker, e spar.Ended, now time.Time) {
	j := sc.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.findTask(e.Task)
	if t == nil {
		return
	}
	r := sc.findRun(w, e.Task, e.Run)
	stopping := r != nil && r.stopping
	if r != nil {
		sc.confirmRun(r, now)
		if e.Ending == spar.EndDone {
			sc.learnRunTime(r, now)
		}
		sc.removeRun(r)
	}
	sc.markTaskChanged(t)
	sc.onEvent(Event{Name: "run ended", Task: e.Task.String(), Run: e.Run, Node: w.node, Reason: string(e.Ending)})
	if t.done {
		return
	}
	// A later run may have a later checkpoint, and its gang goes on.
	superseded := r == nil && e.Run < t.lastRun
	if e.Checkpoint != "" && !superseded {
		t.checkpoint = e.Checkpoint
	}
	switch e.Ending {
	case spar.EndDone:
		sc.completeTask(t, now)
	case spar.EndFailed:
		sc.recordFailure(t, w, e.Run, now)
	case spar.EndStopped:
		if !stopping {
			t.notBefore = now
		}
	}
	if t.step.Gang && e.Ending != spar.EndDone && !superseded {
		sc.stopGang(t.step, e.Run)
	}
}

// completeTask marks a task as done. In a gang, the completion of one task
// completes all of them. Standing tasks do not complete; they are started
// again.
func (sc *Scheduler) completeTask(t *task, now time.Time) {
	if t.step.Standing {
		return
	}
	completed := []*task{t}
	if t.step.Gang {
		completed = t.step.tasks
	}
	sc.completeTasks(completed)
	j := t.step.job
	if !j.hasEnded() && j.isComplete() {
		sc.endJob(j, Completed, now)
	}
}

// completeTasks marks tasks as done and stops their other runs.
func (sc *Scheduler) completeTasks(tasks []*task) {
	for _, t := range tasks {
		if t.done {
			continue
		}
		t.markDone()
		o := t.step.occurrence
		o.forecast.at = time.Time{}
		if o.unfinished == 0 && o.job.Times > 0 {
			sc.finishedOccurrences = append(sc.finishedOccurrences, o)
		}
		sc.markTaskChanged(t)
		for _, r := range t.runs {
			sc.stopRun(r)
		}
	}
}

// isComplete reports whether every task of every occurrence is done.
func (j *job) isComplete() bool {
	if j.finished.count+len(j.occurrences) < max(j.Times, 1) {
		return false
	}
	return !slices.ContainsFunc(j.occurrences, func(o *occurrence) bool { return o.unfinished > 0 })
}

// recordFailure counts a failed run and ends the job as failed at the limit of
// attempts, which does not apply to standing tasks. A failed run of a gang
// counts once for all its tasks.
func (sc *Scheduler) recordFailure(t *task, w *worker, number int64, now time.Time) {
	if t.lastFailedNode != w.node {
		w.addFailure(now, 1)
	}
	t.lastFailedNode = w.node
	s := t.step
	if s.Standing {
		return
	}
	counted := t
	if s.Gang {
		counted = s.tasks[0]
	}
	if !slices.Contains(counted.failedRuns, number) {
		counted.failedRuns = append(counted.failedRuns, number)
		sc.markTaskChanged(counted)
	}
	if counted.hasFailedTooOften() && !s.job.hasEnded() {
		sc.failJob(counted, now)
	}
}

// hasFailedTooOften reports whether a task has failed as often as its queue allows.
func (t *task) hasFailedTooOften() bool {
	return len(t.failedRuns) >= max(t.step.job.policy.MaxAttempts, 1)
}

// failJob ends the job of a task that has failed too often.
func (sc *Scheduler) failJob(t *task, now time.Time) {
	j := t.step.job
	j.failure = fmt.Sprintf("task %s failed %d times", t.ref(), len(t.failedRuns))
	sc.endJob(j, Failed, now)
}

// stopGang stops the remaining runs of a gang after one with a number has ended. The ends
// of those follow, and find that all have been stopped.
func (sc *Scheduler) stopGang(s *step, number int64) {
	if number <= s.stoppedRun {
		return
	}
	s.stoppedRun = number
	for _, t := range s.tasks {
		for _, r := range t.runs {
			sc.stopRun(r)
		}
	}
}
