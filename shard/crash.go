package shard

import (
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// history returns the crash history that counts for a task.
func (t *task) history() *crashHistory { return &t.historyTask().crashHistory }

// historyTask returns the task that keeps the crash history of a task.
func (t *task) historyTask() *task {
	if t.step.Gang {
		return t.step.tasks[0]
	}
	return t
}

// markHistoryChanged has the next commit store the crash history of a task.
func (sc *Scheduler) markHistoryChanged(t *task) { sc.markTaskChanged(t.historyTask()) }

// RecordLifeEnds processes the unannounced ends of a worker's lives that its agent
// reports when it connects. The tasks lost in a crash are suspected of it, and a job
// with a task that has crashed several workers is given up. An end that may not be a
// crash, such as that of a worker that was cut off, makes no suspects.
func (sc *Scheduler) RecordLifeEnds(node string, ends []link.LifeEnd, now time.Time) {
	sc.now = now
	for _, e := range ends {
		name := "worker ended silently"
		if e.Crashed {
			name = "worker crashed"
		}
		if sc.lifeEnds[node] < e.Life.Born {
			sc.lifeEnds[node] = e.Life.Born
			sc.onEvent(Event{Name: name, Node: node, Reason: fmt.Sprintf("life %s, %d runs, youngest %s old", e.Life.ID, len(e.Runs), e.YoungestAge().Round(time.Millisecond))})
		}
		for _, lost := range e.Runs {
			if w := sc.workers[node]; w != nil {
				if r := sc.findRun(w, lost.Task, lost.Run); r != nil {
					r.crash = fmt.Sprintf("%s %s after the start", name, lost.Age.Round(time.Millisecond))
				}
			}
		}
		if e.Crashed {
			sc.recordCrash(node, e.Runs, now)
			continue
		}
		for _, lost := range e.Runs {
			if t := sc.countableTask(lost); t != nil {
				sc.markHistoryChanged(t)
				t.history().add(crash{run: lost.Run, node: node, age: lost.Age, silent: true})
				sc.judge(t, lost.Run, node, now)
			}
		}
	}
}

// countableTask returns the task of a lost run that a crash may still be counted for, or
// nil if the task has ended or the run was counted or dismissed before.
func (sc *Scheduler) countableTask(lost link.LostRun) *task {
	t := sc.findTask(lost.Task)
	if t == nil || t.done || t.step.job.hasEnded() || lost.Run > t.lastRun || t.history().isSettled(lost.Run) {
		return nil
	}
	return t
}

// reserveAfterCrash keeps a worker that is back after a crash free for the trials of
// the tasks that are suspected of it. It is the one on which another crash does the
// least harm.
func (sc *Scheduler) reserveAfterCrash(w *worker, now time.Time) {
	for t := range sc.suspects {
		if t.isSuspect() && len(t.runs) == 0 {
			w.reservedUntil = now.Add(reservationTime)
			return
		}
	}
}

// recordCrash counts a crash for the tasks that were lost in it.
func (sc *Scheduler) recordCrash(node string, runs []link.LostRun, now time.Time) {
	causes, repeated := sc.possibleCauses(runs)
	for _, lost := range runs {
		t := sc.countableTask(lost)
		if t == nil {
			continue
		}
		h := t.history()
		sc.markHistoryChanged(t)
		if (repeated || h.isSuspect() && lost.Age <= startingAge) && !causes[h] {
			// Another task is known to be the cause, or the trial of this one was
			// over when another one crashed the worker.
			h.dismiss(lost.Run)
			continue
		}
		age := lost.Age
		if lost.Unconfirmed {
			age = min(age, startingAge)
		}
		h.add(crash{run: lost.Run, node: node, age: age, alone: causes[h] && len(causes) == 1})
		sc.judge(t, lost.Run, node, now)
	}
}

// possibleCauses returns the histories of the tasks that had just been started when
// they were lost in a crash, by what is known of them, or else by startingAge.
// repeated reports that there is one alone and that it has been lost at the same age
// before, so that it is the cause.
func (sc *Scheduler) possibleCauses(runs []link.LostRun) (causes map[*crashHistory]bool, repeated bool) {
	causes, starting := map[*crashHistory]bool{}, map[*crashHistory]bool{}
	for _, lost := range runs {
		h := &crashHistory{}
		if t := sc.findTask(lost.Task); t != nil {
			h = t.history()
		}
		if lost.Unconfirmed || lost.Age <= startingAge {
			starting[h] = true
		}
		if lost.Unconfirmed || h.mayHaveCaused(lost.Age) {
			causes[h] = true
			repeated = !lost.Unconfirmed && h.hasCrashedAtAge(lost.Run, lost.Age)
		}
	}
	if len(causes) == 0 {
		return starting, false
	}
	return causes, repeated && len(causes) == 1
}

// judge suspects, clears or gives up a task after a crash was counted for it.
func (sc *Scheduler) judge(t *task, run int64, node string, now time.Time) {
	h := t.history()
	if len(h.crashes) == 0 {
		return
	}
	sc.suspects[t], h.suspectedAt = true, now
	sc.clearIfSurvived(t)
	if h.isSuspect() {
		sc.onEvent(Event{Name: "task suspected", Task: t.ref().String(), Run: run, Node: node, Reason: fmt.Sprintf("%d crashes, %d alone: %s", len(h.crashes), h.countAlone(), h)})
	}
	if h.mustGiveUp() {
		sc.giveUp(t, now)
	}
}

// giveUp ends the job of a task that crashes its workers as failed.
func (sc *Scheduler) giveUp(t *task, now time.Time) {
	j := t.step.job
	h := t.history()
	j.failure = fmt.Sprintf("task %s crashed %d workers: %s", t.ref(), len(h.crashes), h)
	sc.onEvent(Event{Name: "task given up", Task: t.ref().String(), Reason: j.failure})
	sc.endJob(j, Failed, now)
}

// findTask returns the named task, or nil if it is unknown.
func (sc *Scheduler) findTask(ref spar.TaskRef) *task {
	j := sc.jobs[ref.Job]
	if j == nil {
		return nil
	}
	return j.findTask(ref)
}

// clearSurvivors clears the tasks whose runs have lasted much longer than those
// that were lost in crashes, and forgets those that have ended.
func (sc *Scheduler) clearSurvivors() {
	for t := range sc.suspects {
		if t.done || t.step.job.hasEnded() {
			delete(sc.suspects, t)
			continue
		}
		sc.clearIfSurvived(t)
	}
}

func (sc *Scheduler) clearIfSurvived(t *task) {
	h := t.history()
	for _, r := range t.runs {
		if len(h.crashes) == 0 || r.age() <= h.survivalAge() {
			continue
		}
		sc.onEvent(Event{Name: "task cleared", Task: t.ref().String(), Run: r.number, Node: r.worker.node, Reason: h.String()})
		h.clear(r.number)
		sc.markHistoryChanged(t)
	}
	if len(h.crashes) == 0 {
		delete(sc.suspects, t)
	}
}

// age returns how long a run is known to have been on its worker.
func (r *run) age() time.Duration {
	if !r.confirmed {
		return 0
	}
	return max(r.worker.listedAt.Sub(r.started), 0)
}
