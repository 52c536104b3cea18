// Package work is a stand-in for the platform's worker API. It runs simulated
// tasks under leases with fencing tokens, throttles and checkpoints them, and
// records what ran where and when, against which tests compare the scheduler.
package work

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// Worker simulates the batch tasks of one machine.
type Worker struct {
	mu          sync.Mutex
	name        string
	domain      string
	total       spar.Size
	clock       func() time.Duration
	recorder    *Recorder
	checkpoints *CheckpointStore
	tasks       map[string]*task
	tokens      map[string]uint32
	faults      Faults
}

// Faults are the injected faults of a worker. The zero value is a healthy worker.
type Faults struct {
	// BlackHole makes every task fail shortly after its start.
	BlackHole bool `json:"black_hole"`
	// CrashKinds are the kinds whose tasks fail shortly after their start.
	CrashKinds []string `json:"crash_kinds"`
	// Down makes the worker API refuse all calls.
	Down bool `json:"down"`
	// InterferenceFactor, if above 0, multiplies the interference of batch
	// tasks with the backend on the machine.
	InterferenceFactor float64 `json:"noise"`
	// SlowFactor, if above 0, multiplies the backend's service time.
	SlowFactor float64 `json:"slow_factor"`
	// Broken makes the backend answer every request with status 500 at once.
	Broken bool `json:"broken"`
}

type task struct {
	spar.TaskStatus
	runTime   time.Duration
	leaseEnd  time.Duration
	capMilli  int64
	updatedAt time.Duration
	saveCount int
	record    *Run
}

// crashAfter is how long a task runs before an injected crash.
const crashAfter = 30 * time.Millisecond

// NewWorker returns a worker without tasks.
func NewWorker(name, domain string, total spar.Size, clock func() time.Duration, recorder *Recorder, checkpoints *CheckpointStore) *Worker {
	return &Worker{
		name: name, domain: domain, total: total, clock: clock, recorder: recorder, checkpoints: checkpoints,
		tasks: map[string]*task{}, tokens: map[string]uint32{},
	}
}

// SetFaults replaces the injected faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// Faults returns the injected faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// Start starts a task. It refuses an attempt that is not newer than the newest
// one seen for the task, and a start after its deadline or lease.
func (w *Worker) Start(s spar.Start) spar.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	key := keyOf(s.ID)
	if t := w.tasks[key]; t != nil && t.ID == s.ID {
		return t.TaskStatus
	}
	if s.ID.Attempt <= w.tokens[key] {
		return refusedStatus(s.ID, "attempt is not above the newest seen")
	}
	if now > s.StartBy || now >= s.Until {
		return refusedStatus(s.ID, "start came after its deadline")
	}
	w.tokens[key] = s.ID.Attempt
	from := w.checkpoints.Get(s.Checkpoint)
	t := &task{
		TaskStatus: spar.TaskStatus{ID: s.ID, Kind: s.Kind, State: spar.TaskRunning, Size: s.Size, Progress: from, Saved: from, Checkpoint: s.Checkpoint},
		runTime:    s.Run, leaseEnd: s.Until, capMilli: s.Size.CPUMilli, updatedAt: now,
	}
	w.tasks[key] = t
	t.record = w.recorder.recordStart(s.ID, w.name, w.domain, now, s.Checkpoint, from)
	w.recorder.recordOvercommit(w.name, w.runningSize(), w.total)
	return t.TaskStatus
}

// Renew extends the leases of running tasks. It never shortens a lease, and never
// restarts an ended task.
func (w *Worker) Renew(until time.Duration, ids []spar.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, id := range ids {
		if t := w.tasks[keyOf(id)]; t != nil && t.ID == id && t.State == spar.TaskRunning && until > t.leaseEnd {
			t.leaseEnd = until
		}
	}
}

// Throttle limits the CPU share of a task, in thousandths of a processor.
func (w *Worker) Throttle(id spar.TaskID, cpu int64) spar.TaskStatus {
	return w.withRunningTask(id, func(t *task, _ time.Duration) { t.capMilli = min(cpu, t.Size.CPUMilli) })
}

// Checkpoint saves the progress of a task.
func (w *Worker) Checkpoint(id spar.TaskID) spar.TaskStatus {
	return w.withRunningTask(id, func(t *task, _ time.Duration) { w.save(t) })
}

// Stop ends a running task. If save is set, it takes a checkpoint first.
func (w *Worker) Stop(id spar.TaskID, save bool) spar.TaskStatus {
	return w.withRunningTask(id, func(t *task, now time.Duration) {
		if save {
			w.save(t)
		}
		w.finish(t, spar.TaskStopped, now)
	})
}

// List returns all tasks that have not been cleared.
func (w *Worker) List() spar.Listing {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := spar.Listing{Now: w.advance()}
	for _, t := range w.tasks {
		s := t.TaskStatus
		s.Used = usedCPU(t)
		l.Tasks = append(l.Tasks, s)
	}
	return l
}

// Clear removes an ended task from the list.
func (w *Worker) Clear(id spar.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if t := w.tasks[keyOf(id)]; t != nil && t.ID == id && t.State != spar.TaskRunning {
		delete(w.tasks, keyOf(id))
	}
}

// Interference returns the load that running tasks put on the backend, as a share
// of the machine's processors weighted by the kinds of the tasks.
func (w *Worker) Interference() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	sum := 0.0
	for _, t := range w.tasks {
		if t.State == spar.TaskRunning {
			sum += float64(usedCPU(t)) * interferenceWeight(t.Kind)
		}
	}
	if w.faults.InterferenceFactor > 0 {
		sum *= w.faults.InterferenceFactor
	}
	return sum / float64(w.total.CPUMilli)
}

func (w *Worker) withRunningTask(id spar.TaskID, f func(*task, time.Duration)) spar.TaskStatus {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.advance()
	t := w.tasks[keyOf(id)]
	if t == nil || t.ID != id {
		return refusedStatus(id, "no such attempt here")
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
	t.saveCount++
	t.Checkpoint = fmt.Sprintf("cp/%s/%d/%d", keyOf(t.ID), t.ID.Attempt, t.saveCount)
	t.Saved = t.Progress
	w.checkpoints.Put(t.Checkpoint, t.Progress)
}

// advance simulates the running tasks up to the current time, which it returns.
// w.mu must be held.
func (w *Worker) advance() time.Duration {
	now := w.clock()
	for _, t := range w.tasks {
		if t.State == spar.TaskRunning {
			w.advanceTask(t, now)
		}
	}
	return now
}

func (w *Worker) advanceTask(t *task, now time.Duration) {
	end := min(now, t.leaseEnd)
	if rate := t.rate(); rate > 0 {
		if need := time.Duration(float64(t.runTime-t.Progress) / rate); t.updatedAt+need <= end {
			t.Progress = t.runTime
			w.finish(t, spar.TaskDone, t.updatedAt+need)
			return
		}
		t.Progress += time.Duration(float64(end-t.updatedAt) * rate)
	}
	started := t.record.Start
	if w.crashes(t) && started+crashAfter <= end {
		t.Reason = "exit code 1"
		w.finish(t, spar.TaskFailed, started+crashAfter)
		return
	}
	t.updatedAt = end
	if now >= t.leaseEnd {
		w.finish(t, spar.TaskLapsed, t.leaseEnd)
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
	w.recorder.recordEnd(t.record, at, string(s), t.Progress, t.Saved)
}

func (w *Worker) runningSize() spar.Size {
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
	return float64(t.capMilli) / float64(t.Size.CPUMilli)
}

func usedCPU(t *task) int64 { return t.capMilli }

// interferenceWeight returns a weight between 0.2 and 2, derived from the name of
// the kind, by which its tasks interfere with the backend.
func interferenceWeight(kind string) float64 {
	h := fnv.New32a()
	h.Write([]byte(kind))
	return 0.2 + 1.8*float64(h.Sum32()%1000)/1000
}

func keyOf(id spar.TaskID) string { return fmt.Sprintf("%s/%d", id.Job, id.Index) }

func refusedStatus(id spar.TaskID, reason string) spar.TaskStatus {
	return spar.TaskStatus{ID: id, State: spar.TaskRefused, Reason: reason}
}
