package worker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// A task must not be started maxStartsAfterCrashes times after maxCrashes workers
// have crashed under it.
const (
	maxCrashes            = 3
	maxStartsAfterCrashes = 3
)

// InvariantChecker records the starts and ends of tasks on all workers and each
// violation of an invariant of the scheduler.
type InvariantChecker struct {
	mu sync.Mutex
	// running holds the run number of each running task by node.
	running map[spar.TaskRef]map[string]int64
	// doneAcked is when a task's first successful end was acknowledged.
	doneAcked map[spar.TaskRef]time.Time
	// failedAcked is when the acknowledged failures of a task occurred.
	failedAcked map[spar.TaskRef][]time.Time
	lastStart   map[spar.TaskRef]time.Time
	// crashes counts the workers that a task has crashed, and startsAfterCrashes
	// its starts after maxCrashes of them.
	crashes            map[spar.TaskRef]int
	failures           map[spar.TaskRef]int
	losses             map[spar.TaskRef]int
	startsAfterCrashes map[spar.TaskRef]int
	// succeeded holds tasks with a successful end, acknowledged or not.
	succeeded map[spar.TaskRef]bool
	// lastEnd is when a run of a task last ended or was lost, and lastCrash when a
	// run last crashed its worker.
	lastEnd    map[spar.TaskRef]time.Time
	lastCrash  time.Time
	startCount int
	violations []string
	// StartForbidden returns why a task must not be started on a node now, or "".
	StartForbidden func(t spar.TaskRef, node string) string
	// IsStanding, if set, reports whether a task is started again after each end.
	IsStanding func(spar.TaskRef) bool
	// MaxAttempts is how often a task may fail.
	MaxAttempts int
}

// NewInvariantChecker returns a checker without a limit on attempts.
func NewInvariantChecker() *InvariantChecker {
	return &InvariantChecker{running: map[spar.TaskRef]map[string]int64{}, doneAcked: map[spar.TaskRef]time.Time{}, failedAcked: map[spar.TaskRef][]time.Time{}, lastStart: map[spar.TaskRef]time.Time{}, crashes: map[spar.TaskRef]int{}, failures: map[spar.TaskRef]int{}, losses: map[spar.TaskRef]int{}, startsAfterCrashes: map[spar.TaskRef]int{}, succeeded: map[spar.TaskRef]bool{}, lastEnd: map[spar.TaskRef]time.Time{}, MaxAttempts: 1 << 30}
}

func (c *InvariantChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// start records a start. A start that was ordered for an earlier life of the
// worker and arrives late in a new one is no violation when the task was
// acknowledged as done in the meantime: nothing can prevent it, since the new
// life knows neither the end nor a token and has the ID that the order names.
func (c *InvariantChecker) start(t spar.TaskRef, number int64, node string, forEarlierLife bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startCount++
	for other, n := range c.running[t] {
		c.addViolation("task %s run %d starts on %s while run %d is on %s; ordered for an earlier life: %v", t, number, node, n, other, forEarlierLife)
	}
	if ackedAt, ok := c.doneAcked[t]; ok && !forEarlierLife {
		c.addViolation("task %s run %d starts on %s, but it was acknowledged as done %s ago", t, number, node, time.Since(ackedAt))
	}
	if n := len(c.failedAcked[t]); n >= c.MaxAttempts && !forEarlierLife {
		c.addViolation("task %s run %d starts on %s after %d acknowledged failures", t, number, node, n)
	}
	if c.crashes[t] >= maxCrashes {
		if c.startsAfterCrashes[t]++; c.startsAfterCrashes[t] >= maxStartsAfterCrashes {
			c.addViolation("task %s run %d starts on %s: start %d after it has crashed %d workers", t, number, node, c.startsAfterCrashes[t], c.crashes[t])
		}
	}
	c.lastStart[t] = time.Now()
	if c.StartForbidden != nil {
		if reason := c.StartForbidden(t, node); reason != "" {
			c.addViolation("task %s run %d starts on %s: %s", t, number, node, reason)
		}
	}
	if c.running[t] == nil {
		c.running[t] = map[string]int64{}
	}
	c.running[t][node] = number
}

func (c *InvariantChecker) end(t spar.TaskRef, _ int64, node string, ending spar.Ending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.running[t], node)
	c.lastEnd[t] = time.Now()
	switch ending {
	case spar.EndDone:
		c.succeeded[t] = true
	case spar.EndFailed:
		c.failures[t]++
	}
}

// crash records that a task has crashed its worker.
func (c *InvariantChecker) crash(t spar.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.crashes[t]++
	c.lastCrash = time.Now()
}

// overfill records a start that brings a worker over its size.
func (c *InvariantChecker) overfill(t spar.TaskRef, number int64, node string, used, size spar.Size, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation("task %s run %d starts on %s, which then has runs of %s and a size of %s since %s", t, number, node, used, size, age)
}

// Failures returns how many runs of a task have failed.
func (c *InvariantChecker) Failures(t spar.TaskRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failures[t]
}

// lose records that a run is lost with its worker.
func (c *InvariantChecker) lose(t spar.TaskRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.losses[t]++
}

// Losses returns how many runs of a task were lost with their workers.
func (c *InvariantChecker) Losses(t spar.TaskRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.losses[t]
}

// Crashes returns how many workers a task has crashed.
func (c *InvariantChecker) Crashes(t spar.TaskRef) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashes[t]
}

// acknowledge records that the agent acknowledged an end. An end before the lease
// last lapsed does not count: the task may have been started elsewhere since.
func (c *InvariantChecker) acknowledge(e spar.Ended, endedAt time.Time, leaseLapsed bool) {
	if leaseLapsed {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.IsStanding != nil && c.IsStanding(e.Task) {
		return
	}
	switch e.Ending {
	case spar.EndDone:
		if _, ok := c.doneAcked[e.Task]; !ok {
			c.doneAcked[e.Task] = time.Now()
		}
		if c.lastStart[e.Task].After(endedAt) {
			c.addViolation("task %s was started at %v, but its successful end at %v is acknowledged now", e.Task, c.lastStart[e.Task], endedAt)
		}
	case spar.EndFailed:
		c.failedAcked[e.Task] = append(c.failedAcked[e.Task], endedAt)
		if c.startedAfterLastAttempt(e.Task) {
			c.addViolation("task %s was started after its last permitted failure; one of its failures is acknowledged now", e.Task)
		}
	}
}

// startedAfterLastAttempt reports whether a task was started after it had failed
// MaxAttempts times.
func (c *InvariantChecker) startedAfterLastAttempt(t spar.TaskRef) bool {
	failures := c.failedAcked[t]
	slices.SortFunc(failures, time.Time.Compare)
	return len(failures) >= c.MaxAttempts && c.lastStart[t].After(failures[c.MaxAttempts-1])
}

// DoneAcknowledged reports whether a successful end of a task was acknowledged.
func (c *InvariantChecker) DoneAcknowledged(t spar.TaskRef) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.doneAcked[t]
	return ok
}

// SucceededLocked reports whether a task has ended successfully, acknowledged or
// not. It is for use in StartForbidden, which is called with the lock held.
func (c *InvariantChecker) SucceededLocked(t spar.TaskRef) bool { return c.succeeded[t] }

// LastEnd returns when a run of a task last ended, or zero.
func (c *InvariantChecker) LastEnd(t spar.TaskRef) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastEnd[t]
}

// LastCrash returns when a run last crashed its worker, or zero.
func (c *InvariantChecker) LastCrash() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastCrash
}

// StartCount returns the number of starts so far.
func (c *InvariantChecker) StartCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startCount
}

// Violations returns the violations recorded so far.
func (c *InvariantChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}
