// Package worker is a stand-in for the platform's workers, with lives, leases on a
// clock of their own, fencing tokens, and ends of runs that are listed until they
// are acknowledged. An InvariantChecker records violations by all workers.
package worker

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// EndsPerCall is the number of ends that a hold call lists, unless SetEndsPerCall
// changes it.
const EndsPerCall = 500

// MaxLease is the longest lease that a worker grants; longer ones are cut.
const MaxLease = 6 * time.Second

const (
	// stopDuration is the time from a stop order until the run has ended.
	stopDuration = 200 * time.Millisecond
	// clockRate is the rate of a worker's clock: the slowest that the scheduler
	// has to tolerate, so that leases last longer than the owner's clock says.
	clockRate = 0.98
)

// Workload returns the duration and the ending of a run.
type Workload func(spar.TaskRef, int64) (time.Duration, spar.Ending)

// EndCrash is the ending of a run that crashes its worker. No worker lists it.
const EndCrash spar.Ending = "crash"

// restartDelay is the time after which a worker that was crashed by a run is back
// in a new life.
const restartDelay = 3 * time.Second

// Worker is the worker of one machine, in one life after another.
type Worker struct {
	mu       sync.Mutex
	node     string
	size     spar.Size
	sizeOf   func(spar.TaskRef) spar.Size
	workload Workload
	checker  *InvariantChecker

	// unguarded reports that the worker starts runs beyond its size.
	unguarded bool
	// sizeBefore is the size before it last shrank, at shrunkAt.
	sizeBefore spar.Size
	shrunkAt   time.Time

	life spar.Life
	up   bool
	// crashed reports that the worker is down since its process crashed, so that
	// connections are closed and refused. Else calls get no answer.
	crashed bool
	// restartAt is when a worker that was crashed by a run is back, and lives
	// counts the restarts.
	restartAt time.Time
	lives     int
	bornAt    time.Time
	// token is the highest fencing token seen in this life.
	token int64
	// leaseUntil is when the lease ends on the worker's clock.
	leaseUntil int64
	runs       map[spar.TaskRef]*run
	// refusedUpTo is the highest run number of a task that must not start any more.
	refusedUpTo map[spar.TaskRef]int64
	// ended are the ends not yet acknowledged, of which a hold call lists endsPerCall.
	ended       []spar.Ended
	endsPerCall int
	endedAt     map[int64]time.Time
	// lapsedAt is when the lease was last seen to have ended.
	lapsedAt time.Time
	endCount int64
	changed  chan struct{}
}

type run struct {
	number   int64
	started  time.Time
	finishAt time.Time
	ending   spar.Ending
	stopping bool
}

// NewWorker returns a worker in its first life.
func NewWorker(node string, size spar.Size, sizeOf func(spar.TaskRef) spar.Size, work Workload, c *InvariantChecker) *Worker {
	w := &Worker{node: node, size: size, sizeOf: sizeOf, workload: work, checker: c, endsPerCall: EndsPerCall}
	w.Restart(spar.Life{ID: "i-" + node, Born: time.Now().UnixMilli()})
	return w
}

// Life returns the worker's life, and whether it is up.
func (w *Worker) Life() (spar.Life, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, w.up
}

// RunCount returns the number of runs on the worker.
func (w *Worker) RunCount() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.runs)
}

// Size returns the worker's size.
func (w *Worker) Size() spar.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.size
}

// Resize changes the size of the worker while it runs.
func (w *Worker) Resize(s spar.Size) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.size.Fits(s) {
		w.sizeBefore, w.shrunkAt = w.size, time.Now()
	}
	w.size = s
}

// SetUnguarded has the worker start runs beyond its size.
func (w *Worker) SetUnguarded() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unguarded = true
}

// SetEndsPerCall changes the number of ends that a hold call lists.
func (w *Worker) SetEndsPerCall(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endsPerCall = n
}

// resizeGrace is how long after it has shrunk a worker may be given runs by its
// former size: it covers two heartbeats, and the orders that are on their way.
const resizeGrace = 1500 * time.Millisecond

// Crash ends the life and drops its runs without listing their ends.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	w.up = false
	for t, r := range w.runs {
		w.checker.end(t, r.number, w.node, spar.EndLapsed)
		w.checker.lose(t)
	}
	w.runs = map[spar.TaskRef]*run{}
}

// CrashProcess ends the life like Crash, but connections to the worker are closed
// and refused from then on.
func (w *Worker) CrashProcess() {
	w.Crash()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.markCrashed()
}

func (w *Worker) markCrashed() {
	w.crashed = true
	w.signalChange()
}

// signalChange wakes the hold calls that wait for a change.
func (w *Worker) signalChange() {
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

// crashByRun crashes the worker by one of its runs. It is back in a new life after
// restartDelay.
func (w *Worker) crashByRun(t spar.TaskRef) {
	w.up, w.restartAt = false, time.Now().Add(restartDelay)
	w.checker.crash(t)
	for o, r := range w.runs {
		w.checker.end(o, r.number, w.node, EndCrash)
		w.checker.lose(o)
	}
	w.runs = map[spar.TaskRef]*run{}
	w.markCrashed()
}

// Restart starts a new life without any state of the last one.
func (w *Worker) Restart(l spar.Life) {
	if w.up {
		w.Crash()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restart(l)
}

func (w *Worker) restart(l spar.Life) {
	w.life, w.up, w.bornAt, w.token, w.leaseUntil, w.endCount = l, true, time.Now(), 0, 0, 0
	w.crashed, w.restartAt = false, time.Time{}
	w.runs, w.refusedUpTo, w.ended, w.endedAt = map[spar.TaskRef]*run{}, map[spar.TaskRef]int64{}, nil, map[int64]time.Time{}
}

// clockMs returns the worker's clock, in milliseconds since the start of the life.
func (w *Worker) clockMs() int64 {
	return int64(clockRate * float64(time.Since(w.bornAt).Milliseconds()))
}

// endDueRuns ends the runs that have finished and, when the lease has ended, all
// others.
func (w *Worker) endDueRuns() {
	if !w.up {
		return
	}
	now := time.Now()
	clock := w.clockMs()
	if clock > w.leaseUntil {
		w.lapsedAt = now
	}
	for t, r := range w.runs {
		switch {
		case clock > w.leaseUntil:
			w.endRun(t, r, spar.EndLapsed)
		case !now.Before(r.finishAt) && r.ending == EndCrash:
			w.crashByRun(t)
			return
		case !now.Before(r.finishAt):
			w.endRun(t, r, r.ending)
		}
	}
}

func (w *Worker) endRun(t spar.TaskRef, r *run, ending spar.Ending) {
	delete(w.runs, t)
	w.refusedUpTo[t] = max(w.refusedUpTo[t], r.number)
	w.endCount++
	w.ended = append(w.ended, spar.Ended{Number: w.endCount, Task: t, Run: r.number, Ending: ending})
	w.endedAt[w.endCount] = time.Now()
	w.checker.end(t, r.number, w.node, ending)
	w.signalChange()
}

func (w *Worker) checkTarget(t spar.Target) error {
	switch {
	case w.up:
	case w.crashed:
		return errors.Mark(errors.Mark(errors.New("worker: connection closed"), spar.ErrDisconnected), spar.ErrUnknown)
	default:
		return errors.Mark(errors.New("worker: no answer"), spar.ErrUnknown)
	}
	if t.Life.ID != w.life.ID {
		return errors.Wrap(spar.ErrOtherLife, "worker")
	}
	return nil
}

// acceptToken reports whether a call's token is not fenced. A higher token fences
// all lower ones.
func (w *Worker) acceptToken(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// extendLease extends the lease to until, at most by MaxLease from now.
func (w *Worker) extendLease(until int64) {
	w.leaseUntil = max(w.leaseUntil, min(until, w.clockMs()+MaxLease.Milliseconds()))
}

// Start carries out a start order.
func (w *Worker) Start(t spar.Target, o spar.StartOrder) (spar.StartResult, error) {
	return w.start(t, o, false)
}

// start carries out a start order; late reports that it was given long ago.
func (w *Worker) start(t spar.Target, o spar.StartOrder, late bool) (spar.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if err := w.checkTarget(t); err != nil {
		return "", err
	}
	if !w.acceptToken(t.Token) {
		return spar.StartFenced, nil
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return spar.StartDone, nil
	}
	if o.Run <= w.refusedUpTo[o.Task] {
		return spar.StartOld, nil
	}
	if o.Until <= w.clockMs() {
		return spar.StartLate, nil
	}
	w.extendLease(o.Until)
	used := w.sizeOf(o.Task)
	for r := range w.runs {
		used = used.Add(w.sizeOf(r))
	}
	// An order for an earlier life of the same name meets a size that nobody can
	// know yet.
	switch {
	case used.Fits(w.size):
	case !w.unguarded:
		return spar.StartNoRoom, nil
	case !late && t.Life.Born == w.life.Born && (time.Since(w.shrunkAt) > resizeGrace || !used.Fits(w.sizeBefore)):
		w.checker.overfill(o.Task, o.Run, w.node, used, w.size, time.Since(w.shrunkAt))
	}
	duration, ending := w.workload(o.Task, o.Run)
	w.runs[o.Task] = &run{number: o.Run, started: time.Now(), finishAt: time.Now().Add(duration), ending: ending}
	w.checker.start(o.Task, o.Run, w.node, t.Life.Born != w.life.Born)
	return spar.StartDone, nil
}

// Stop carries out a stop order.
func (w *Worker) Stop(t spar.Target, task spar.TaskRef, number int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if err := w.checkTarget(t); err != nil {
		return err
	}
	if !w.acceptToken(t.Token) {
		return errors.Mark(errors.New("worker: fenced"), spar.ErrRefused)
	}
	w.refusedUpTo[task] = max(w.refusedUpTo[task], number)
	if r := w.runs[task]; r != nil && r.number <= number && !r.stopping {
		r.stopping, r.ending = true, spar.EndStopped
		r.finishAt = time.Now().Add(stopDuration)
	}
	return nil
}

// Hold extends the lease, drops the ends up to acked and lists the worker. The
// channel is closed when another run ends.
func (w *Worker) Hold(t spar.Target, acked, until int64) (spar.RunLists, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if err := w.checkTarget(t); err != nil {
		return spar.RunLists{}, nil, err
	}
	if !w.acceptToken(t.Token) {
		return spar.RunLists{}, nil, errors.Mark(errors.New("worker: fenced"), spar.ErrRefused)
	}
	w.extendLease(until)
	for _, e := range w.ended {
		// A late call for an earlier life acknowledges ends that were never
		// reported, so the checker does not count it.
		if e.Number <= acked && t.Life.Born == w.life.Born {
			at := w.endedAt[e.Number]
			w.checker.acknowledge(e, at, w.lapsedAt.After(at))
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e spar.Ended) bool { return e.Number <= acked })
	listed := min(len(w.ended), w.endsPerCall)
	l := spar.RunLists{Clock: w.clockMs(), Born: w.life.Born, Ended: slices.Clone(w.ended[:listed]), MoreEnds: listed < len(w.ended)}
	for t, r := range w.runs {
		l.Running = append(l.Running, spar.Running{Task: t, Run: r.number, Percent: 50})
	}
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return l, w.changed, nil
}

// EndDueRuns ends the runs that are due now, and starts a worker that a run has
// crashed again when its time has come. Tests call it periodically, since otherwise
// runs end only when a call arrives.
func (w *Worker) EndDueRuns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endDueRuns()
	if !w.up && !w.restartAt.IsZero() && !time.Now().Before(w.restartAt) {
		w.lives++
		w.restart(spar.Life{ID: fmt.Sprintf("i-%s-life%d", w.node, w.lives), Born: time.Now().UnixMilli()})
	}
}
