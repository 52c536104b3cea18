package worker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// Record watches what all workers do, and notes each breach of a promise.
type Record struct {
	mu       sync.Mutex
	running  map[spar.TaskRef]map[string]int64
	done     map[spar.TaskRef]time.Time
	failed   map[spar.TaskRef][]time.Time
	started  map[spar.TaskRef]time.Time
	finished map[spar.TaskRef]bool
	starts   int
	Breaches []string
	// Allowed tells whether a task may be started now, with the reason why not.
	Allowed func(t spar.TaskRef, node string) string
	// Attempts is how often a task may fail.
	Attempts int
}

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{running: map[spar.TaskRef]map[string]int64{}, done: map[spar.TaskRef]time.Time{}, failed: map[spar.TaskRef][]time.Time{}, started: map[spar.TaskRef]time.Time{}, finished: map[spar.TaskRef]bool{}, Attempts: 1 << 30}
}

func (r *Record) breach(format string, args ...any) {
	r.Breaches = append(r.Breaches, fmt.Sprintf(format, args...))
}

// start notes a start. One that was ordered to an earlier life of the worker and
// is carried out late in a new one can't be prevented by anybody when the task
// was acknowledged as done in the meantime: the new life knows neither the end
// nor a token, and has the name that the order asks for.
func (r *Record) start(t spar.TaskRef, number int64, node string, stray bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts++
	for other, n := range r.running[t] {
		r.breach("task %s run %d starts on %s while run %d is on %s", t, number, node, n, other)
	}
	if at, ok := r.done[t]; ok && !stray {
		r.breach("task %s run %d starts on %s, but it was acknowledged as done %s ago", t, number, node, time.Since(at))
	}
	if n := len(r.failed[t]); n >= r.Attempts && !stray {
		r.breach("task %s run %d starts on %s after %d failures", t, number, node, n)
	}
	r.started[t] = time.Now()
	if r.Allowed != nil {
		if why := r.Allowed(t, node); why != "" {
			r.breach("task %s run %d starts on %s: %s", t, number, node, why)
		}
	}
	if r.running[t] == nil {
		r.running[t] = map[string]int64{}
	}
	r.running[t][node] = number
}

func (r *Record) end(t spar.TaskRef, _ int64, node string, how spar.Ending) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running[t], node)
	if how == spar.EndDone {
		r.finished[t] = true
	}
}

// acknowledge notes that a worker was told to forget an end that was at a time.
// One that was known only after the lease was over is not binding: its task may
// have been started elsewhere meanwhile.
func (r *Record) acknowledge(e spar.Ended, at time.Time, lapsed bool) {
	if lapsed {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch e.Ending {
	case spar.EndDone:
		if _, ok := r.done[e.Task]; !ok {
			r.done[e.Task] = time.Now()
		}
		if r.started[e.Task].After(at) {
			r.breach("task %s was started at %v, after its end at %v, which is acknowledged now", e.Task, r.started[e.Task], at)
		}
	case spar.EndFailed:
		r.failed[e.Task] = append(r.failed[e.Task], at)
		if r.isSpent(e.Task) {
			r.breach("task %s was started after its last failure, one of which is acknowledged now", e.Task)
		}
	}
}

// isSpent tells whether a task was started after it had failed as often as it
// may.
func (r *Record) isSpent(t spar.TaskRef) bool {
	ends := r.failed[t]
	slices.SortFunc(ends, time.Time.Compare)
	return len(ends) >= r.Attempts && r.started[t].After(ends[r.Attempts-1])
}

// Done tells whether a task's good end was acknowledged.
func (r *Record) Done(t spar.TaskRef) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.done[t]
	return ok
}

// DoneLocked is Done for use in Allowed, which is called under the lock. A good
// end that is listed counts, acknowledged or not.
func (r *Record) DoneLocked(t spar.TaskRef) bool { return r.finished[t] }

// Starts counts all starts.
func (r *Record) Starts() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts
}

// Found returns the breaches noted so far.
func (r *Record) Found() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.Breaches...)
}
