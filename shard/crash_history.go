package shard

import (
	"fmt"
	"slices"
	"strings"
	"time"
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
	// silent reports that it is not known whether the worker crashed, since it was
	// out of touch before. Such an end only counts to maxCrashes.
	silent bool
}

// crashHistory holds the crashes that a task may have caused. The one of a gang is
// kept by its first task.
type crashHistory struct {
	crashes []crash
	// clearedRun is the last run before those that count: a later one has shown
	// that the task was not the cause. dismissed are later runs that were lost in
	// crashes with another cause. Agents report crashes again, also to the next
	// owner, and not in their order.
	clearedRun int64
	dismissed  []int64
	// suspectedAt is when this owner learnt of the last crash.
	suspectedAt time.Time
}

// isSuspect reports whether the task must be kept apart when it starts next.
func (h *crashHistory) isSuspect() bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool { return !c.silent && c.age <= startingAge })
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

// isSettled reports whether a crash was counted or dismissed for a run.
func (h *crashHistory) isSettled(run int64) bool {
	return run <= h.clearedRun || slices.Contains(h.dismissed, run) || slices.ContainsFunc(h.crashes, func(c crash) bool { return c.run == run })
}

// mustGiveUp reports whether the task is taken for the cause of its crashes. Two
// crashes suffice only on two nodes, since one may crash by itself.
func (h *crashHistory) mustGiveUp() bool {
	return h.countAlone() >= maxCrashesAlone || h.hasRepeatedAlone() || len(h.crashes) >= maxCrashes
}

// hasRepeatedAlone reports whether crashes came at the same age, one of them with the
// task alone: two on two nodes with the later one alone, or three.
func (h *crashHistory) hasRepeatedAlone() bool {
	for i, c := range h.crashes {
		alike, alone := 1, c.alone
		for _, o := range h.crashes[:i] {
			if o.silent || c.silent || (c.age-o.age).Abs() > ageTolerance {
				continue
			}
			alone = alone || o.alone
			if alike++; alike >= 3 && alone || c.alone && c.node != o.node {
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

// add counts a crash. A run that is older than those lost before clears the task of
// their crashes.
func (h *crashHistory) add(c crash) {
	if c.age > maxCrashAge || len(h.crashes) > 0 && c.age > h.survivalAge() {
		h.clear(c.run - 1)
	}
	if c.age > maxCrashAge {
		h.dismiss(c.run)
		return
	}
	h.crashes = append(h.crashes, c)
}

// dismiss has a crash that is reported for a run not count.
func (h *crashHistory) dismiss(run int64) {
	if !h.isSettled(run) {
		h.dismissed = append(h.dismissed, run)
	}
}

// clear clears the task of the crashes of its runs up to one.
func (h *crashHistory) clear(run int64) {
	h.clearedRun = max(h.clearedRun, run)
	h.crashes = slices.DeleteFunc(h.crashes, func(c crash) bool { return c.run <= run })
	h.dismissed = slices.DeleteFunc(h.dismissed, func(d int64) bool { return d <= run })
}

// hasCrashedAtAge reports whether a run before the given one was lost at about the
// same age.
func (h *crashHistory) hasCrashedAtAge(run int64, age time.Duration) bool {
	return slices.ContainsFunc(h.crashes, func(c crash) bool { return !c.silent && c.run < run && (c.age-age).Abs() <= ageTolerance })
}

// String describes the crashes for logs and callers.
func (h *crashHistory) String() string {
	var parts []string
	for _, c := range h.crashes {
		parts = append(parts, fmt.Sprintf("run %d on %s after %s", c.run, c.node, c.age.Round(time.Millisecond)))
	}
	return strings.Join(parts, ", ")
}
