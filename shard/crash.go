package shard

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

const (
	// startingAge is the age up to which a run that is lost in a crash may have
	// caused it by its start.
	startingAge = 300 * time.Millisecond
	// maxCrashAge is the age from which a run that is lost in a crash is not
	// taken for its cause.
	maxCrashAge = 10 * time.Second
	// trialMargin and survivalMargin are added to twice the age at which a task
	// was lost in crashes. A run that is older by the first does not count as just
	// started in a crash, and one that is older by the second clears the task.
	trialMargin    = 50 * time.Millisecond
	survivalMargin = time.Second
	// maxCrashesAlone is the number of nodes on which a task may crash a worker as
	// the only one that had just been started, before its job is given up.
	maxCrashesAlone = 2
	// ageTolerance is how much the ages at which a task was lost in two crashes may
	// differ for both to be taken for the same fault of the task.
	ageTolerance = 10 * time.Millisecond
	// maxCrashes is the number of crashes that a task may share with others
	// before its job is given up.
	maxCrashes = 5
)

// crash is a crash of a worker that a run of a task was lost in.
type crash struct {
	run  int64
	node string
	// age is the time from the run's start to the crash.
	age time.Duration
	// alone reports whether no other task on the worker had just been started.
	alone bool
}

// crashHistory holds the crashes that a task may have caused. The one of a gang is
// kept by its first task.
type crashHistory struct {
	crashes []crash
	// clearedRun is the last run that has shown that the task was not the cause of
	// the crashes up to then.
	clearedRun int64
	// suspectedAt is when this owner learnt of the last crash.
	suspectedAt time.Time
}

// isSuspect reports whether the task must be kept apart when it starts next.
func (h *crashHistory) isSuspect() bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool { return c.age <= startingAge })
}

// trialTime is how long a run of a suspect must last before another task may start
// beside it: longer than the time in which the task may have crashed workers.
func (h *crashHistory) trialTime() time.Duration {
	return min(2*h.longestAge()+trialMargin, startingAge)
}

// longestAge is the highest age at which a run of the task was lost in a crash.
func (h *crashHistory) longestAge() time.Duration {
	var longest time.Duration
	for _, c := range h.crashes {
		longest = max(longest, c.age)
	}
	return longest
}

// countAlone counts the crashes with the task as the only one that had just been
// started, once for each node.
func (h *crashHistory) countAlone() int {
	nodes := map[string]bool{}
	for _, c := range h.crashes {
		if c.alone {
			nodes[c.node] = true
		}
	}
	return len(nodes)
}

// mustGiveUp reports whether the task is taken for the cause of its crashes. Both
// rules for few crashes demand two nodes, since one may crash by itself.
func (h *crashHistory) mustGiveUp() bool {
	return h.countAlone() >= maxCrashesAlone || h.hasRepeatedAlone() || len(h.crashes) >= maxCrashes
}

// hasRepeatedAlone reports whether a crash with the task alone came at the same age
// as an earlier one on another node.
func (h *crashHistory) hasRepeatedAlone() bool {
	for i, c := range h.crashes {
		for _, o := range h.crashes[:i] {
			if c.alone && c.node != o.node && (c.age-o.age).Abs() <= ageTolerance {
				return true
			}
		}
	}
	return false
}

// hasCrashedOn reports whether one of the crashes was on a node.
func (h *crashHistory) hasCrashedOn(node string) bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool { return c.node == node })
}

// hasCrashedAloneOn reports whether the task has crashed the worker of a node as
// the only one that had just been started.
func (h *crashHistory) hasCrashedAloneOn(node string) bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool { return c.alone && c.node == node })
}

// survivalAge is the age of a run that clears the task of its crashes: a task that
// crashes workers does so within a like time after each start.
func (h *crashHistory) survivalAge() time.Duration { return 2*h.longestAge() + survivalMargin }

// mayHaveCaused reports whether a crash may be due to the start of a run of the
// task, by the run's age.
func (h *crashHistory) mayHaveCaused(age time.Duration) bool {
	return age <= startingAge && (!h.isSuspect() || age <= h.trialTime())
}

// add records a crash. It reports whether the history has changed: a crash may be
// reported again, by every connection of the agent.
func (h *crashHistory) add(c crash) bool {
	if c.run <= h.clearedRun || slices.ContainsFunc(h.crashes, func(o crash) bool { return o.run == c.run }) {
		return false
	}
	if c.age > maxCrashAge || len(h.crashes) > 0 && c.age > h.survivalAge() {
		h.clear(c.run - 1)
	}
	if c.age <= maxCrashAge {
		h.crashes = append(h.crashes, c)
	}
	return true
}

func (h *crashHistory) clear(run int64) {
	h.crashes, h.clearedRun = nil, max(h.clearedRun, run)
}

// String describes the crashes for logs and callers.
func (h *crashHistory) String() string {
	var parts []string
	for _, c := range h.crashes {
		parts = append(parts, fmt.Sprintf("run %d on %s after %s", c.run, c.node, c.age.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}

// history returns the crash history that counts for a task.
func (t *task) history() *crashHistory {
	if t.step.Gang {
		return &t.step.tasks[0].crashHistory
	}
	return &t.crashHistory
}

// RecordLifeEnds processes the unannounced ends of a worker's lives that its agent
// reports when it connects. The tasks lost in a crash are suspected of it, and a job
// with a task that has crashed several workers is given up. An end that is not a
// crash, such as a loss of power, is only logged.
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
		}
	}
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

// recordCrash adds a crash to the histories of the tasks that were lost in it.
func (sc *Scheduler) recordCrash(node string, runs []link.LostRun, now time.Time) {
	starting := map[*crashHistory]bool{}
	unknown := 0
	for _, lost := range runs {
		switch t := sc.findTask(lost.Task); {
		case t == nil && lost.Age <= startingAge:
			unknown++
		case t != nil && t.history().mayHaveCaused(lost.Age):
			starting[t.history()] = true
		}
	}
	alone := len(starting)+unknown == 1
	for _, lost := range runs {
		t := sc.findTask(lost.Task)
		if t == nil || t.done || t.step.job.hasEnded() || lost.Run > t.lastRun {
			continue
		}
		h := t.history()
		if h.isSuspect() && lost.Age <= startingAge && !starting[h] {
			// The trial of the task was over when another one crashed the worker.
			continue
		}
		if !h.add(crash{run: lost.Run, node: node, age: lost.Age, alone: alone && starting[h]}) {
			continue
		}
		sc.markChanged(t.step.job)
		if len(h.crashes) == 0 {
			continue
		}
		sc.suspects[t], h.suspectedAt = true, now
		sc.clearIfSurvived(t)
		if h.isSuspect() {
			sc.onEvent(Event{Name: "task suspected", Task: t.ref().String(), Run: lost.Run, Node: node, Reason: fmt.Sprintf("%d crashes, %d alone: %s", len(h.crashes), h.countAlone(), h)})
		}
		if h.mustGiveUp() {
			sc.giveUp(t, now)
		}
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
		sc.markChanged(t.step.job)
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
