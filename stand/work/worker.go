// Package work is a stand-in for the platform's worker API: tasks under leases
// with tokens, throttles, checkpoints, and a record of what ran where and when
// that tests take for the truth.
package work

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// Worker is one machine.
type Worker struct {
	mu     sync.Mutex
	name   string
	domain string
	total  spar.Size
	clock  func() time.Duration
	truth  *Truth
	saved  *Store
	tasks  map[string]*task
	tokens map[string]uint32
	faults Faults
}

// Faults are what goes wrong on demand.
type Faults struct {
	// BlackHole fails every task at its start, fast.
	BlackHole bool `json:"black_hole"`
	// CrashKinds are the kinds whose tasks crash on every worker.
	CrashKinds []string `json:"crash_kinds"`
	// Down refuses all calls.
	Down bool `json:"down"`
	// Noise multiplies what batch tasks cost the backend on the machine.
	Noise float64 `json:"noise"`
	// SlowFactor multiplies the backend's service time.
	SlowFactor float64 `json:"slow_factor"`
	// Broken makes the backend answer 500 at once.
	Broken bool `json:"broken"`
}

type task struct {
	spar.TaskStatus
	run     time.Duration
	until   time.Duration
	cpu     int64
	updated time.Duration
	saves   int
	run0    *Run
}

const crashAfter = 30 * time.Millisecond

// NewWorker returns an empty machine.
func NewWorker(name, domain string, total spar.Size, clock func() time.Duration, truth *Truth, saved *Store) *Worker {
	return &Worker{
		name: name, domain: domain, total: total, clock: clock, truth: truth, saved: saved,
		tasks: map[string]*task{}, tokens: map[string]uint32{},
	}
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Start runs a task, or refuses it.
func (w *Worker) Start(s spar.Start) spar.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	key := keyOf(s.ID)
	if t := w.tasks[key]; t != nil && t.ID == s.ID {
		return t.TaskStatus
	}
	if s.ID.Attempt <= w.tokens[key] {
		return refused(s.ID, "attempt is not above the newest seen")
	}
	if now > s.StartBy || now >= s.Until {
		return refused(s.ID, "start came after its deadline")
	}
	w.tokens[key] = s.ID.Attempt
	from := w.saved.Get(s.Checkpoint)
	t := &task{
		TaskStatus: spar.TaskStatus{ID: s.ID, Kind: s.Kind, State: spar.TaskRunning, Size: s.Size, Progress: from, Saved: from, Checkpoint: s.Checkpoint},
		run:        s.Run, until: s.Until, cpu: s.Size.CPUMilli, updated: now,
	}
	w.tasks[key] = t
	t.run0 = w.truth.start(s.ID, w.name, w.domain, now, s.Checkpoint, from)
	w.truth.committed(w.name, w.running(), w.total)
	return t.TaskStatus
}

// Renew extends leases; it never shortens one and never revives a task.
func (w *Worker) Renew(until time.Duration, ids []spar.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, id := range ids {
		if t := w.tasks[keyOf(id)]; t != nil && t.ID == id && t.State == spar.TaskRunning && until > t.until {
			t.until = until
		}
	}
}

// Throttle caps the processors of a task.
func (w *Worker) Throttle(id spar.TaskID, cpu int64) spar.TaskStatus {
	return w.with(id, func(t *task, _ time.Duration) { t.cpu = min(cpu, t.Size.CPUMilli) })
}

// Checkpoint saves the progress of a task.
func (w *Worker) Checkpoint(id spar.TaskID) spar.TaskStatus {
	return w.with(id, func(t *task, _ time.Duration) { w.save(t) })
}

// Stop ends a running task.
func (w *Worker) Stop(id spar.TaskID, save bool) spar.TaskStatus {
	return w.with(id, func(t *task, now time.Duration) {
		if save {
			w.save(t)
		}
		w.finish(t, spar.TaskStopped, now)
	})
}

// List returns all tasks.
func (w *Worker) List() spar.Listing {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := spar.Listing{Now: w.advance()}
	for _, t := range w.tasks {
		s := t.TaskStatus
		s.Used = used(t)
		l.Tasks = append(l.Tasks, s)
	}
	return l
}

// Clear forgets a task that has ended.
func (w *Worker) Clear(id spar.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if t := w.tasks[keyOf(id)]; t != nil && t.ID == id && t.State != spar.TaskRunning {
		delete(w.tasks, keyOf(id))
	}
}

// Noise is how much the running tasks take from the backend, as a share of the
// machine's processors; it depends on the kinds.
func (w *Worker) Noise() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	sum := 0.0
	for _, t := range w.tasks {
		if t.State == spar.TaskRunning {
			sum += float64(used(t)) * loudness(t.Kind)
		}
	}
	if w.faults.Noise > 0 {
		sum *= w.faults.Noise
	}
	return sum / float64(w.total.CPUMilli)
}

func (w *Worker) with(id spar.TaskID, f func(*task, time.Duration)) spar.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	t := w.tasks[keyOf(id)]
	if t == nil || t.ID != id {
		return refused(id, "no such attempt here")
	}
	if t.State == spar.TaskRunning {
		f(t, now)
	}
	return t.TaskStatus
}

func (w *Worker) save(t *task) {
	if t.Progress == t.Saved {
		return
	}
	t.saves++
	t.Checkpoint = fmt.Sprintf("cp/%s/%d/%d", keyOf(t.ID), t.ID.Attempt, t.saves)
	t.Saved = t.Progress
	w.saved.Put(t.Checkpoint, t.Progress)
}

// advance brings all tasks to the present. w.mu is held.
func (w *Worker) advance() time.Duration {
	now := w.clock()
	for _, t := range w.tasks {
		if t.State == spar.TaskRunning {
			w.step(t, now)
		}
	}
	return now
}

func (w *Worker) step(t *task, now time.Duration) {
	end := min(now, t.until)
	if rate := t.rate(); rate > 0 {
		if need := time.Duration(float64(t.run-t.Progress) / rate); t.updated+need <= end {
			t.Progress = t.run
			w.finish(t, spar.TaskDone, t.updated+need)
			return
		}
		t.Progress += time.Duration(float64(end-t.updated) * rate)
	}
	started := t.run0.Start
	if w.crashes(t) && started+crashAfter <= end {
		t.Reason = "exit code 1"
		w.finish(t, spar.TaskFailed, started+crashAfter)
		return
	}
	t.updated = end
	if now >= t.until {
		w.finish(t, spar.TaskLapsed, t.until)
	}
}

func (w *Worker) crashes(t *task) bool {
	if w.faults.BlackHole {
		return true
	}
	for _, k := range w.faults.CrashKinds {
		if k == t.Kind {
			return true
		}
	}
	return false
}

func (w *Worker) finish(t *task, s spar.TaskState, at time.Duration) {
	t.State = s
	w.truth.end(t.run0, at, string(s), t.Progress, t.Saved)
}

func (w *Worker) running() spar.Size {
	var sum spar.Size
	for _, t := range w.tasks {
		if t.State == spar.TaskRunning {
			sum = sum.Add(t.Size)
		}
	}
	return sum
}

func (t *task) rate() float64 {
	if t.Size.CPUMilli == 0 {
		return 1
	}
	return float64(t.cpu) / float64(t.Size.CPUMilli)
}

func used(t *task) int64 { return t.cpu }

// loudness is between 0.2 and 2: how much a kind disturbs its neighbours.
func loudness(kind string) float64 {
	h := fnv.New32a()
	h.Write([]byte(kind))
	return 0.2 + 1.8*float64(h.Sum32()%1000)/1000
}

func keyOf(id spar.TaskID) string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

func refused(id spar.TaskID, why string) spar.TaskStatus {
	return spar.TaskStatus{ID: id, State: spar.TaskRefused, Reason: why}
}
