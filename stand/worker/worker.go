// Package worker stands in for the platform's workers: lives, leases on a clock
// of their own, fencing tokens, runs that end, ends that are listed until they
// are acknowledged. A Record watches all workers and notes what must not be.
package worker

import (
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// MaxLease is the longest lease.
const MaxLease = 6 * time.Second

const (
	// stopTime is how long a stop takes.
	stopTime = 200 * time.Millisecond
	// slowest is how much slower a worker's clock may run than time does.
	slowest = 0.98
)

// Work tells how long a task of a job works, and how it ends.
type Work func(spar.TaskRef, int64) (time.Duration, spar.Ending)

// Worker is one machine with its worker, which may have several lives.
type Worker struct {
	mu     sync.Mutex
	node   string
	size   spar.Size
	sizeOf func(spar.TaskRef) spar.Size
	work   Work
	record *Record

	life    spar.Life
	up      bool
	born    time.Time
	token   int64
	until   int64
	runs    map[spar.TaskRef]*run
	barred  map[spar.TaskRef]int64
	ended   []spar.Ended
	endedAt map[int64]time.Time
	// lapsed is when the lease was last over.
	lapsed  time.Time
	ends    int64
	changed chan struct{}
}

type run struct {
	number   int64
	started  time.Time
	finish   time.Time
	how      spar.Ending
	stopping bool
}

// NewWorker returns a worker in its first life.
func NewWorker(node string, size spar.Size, sizeOf func(spar.TaskRef) spar.Size, work Work, r *Record) *Worker {
	w := &Worker{node: node, size: size, sizeOf: sizeOf, work: work, record: r}
	w.Restart(spar.Life{ID: "i-" + node, Born: time.Now().UnixMilli()})
	return w
}

// Life returns the worker's life, and whether it is up.
func (w *Worker) Life() (spar.Life, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, w.up
}

// Size returns the worker's size.
func (w *Worker) Size() spar.Size { return w.size }

// Crash ends the life; what runs is gone.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settle()
	w.up = false
	for t, r := range w.runs {
		w.record.end(t, r.number, w.node, spar.EndLapsed)
	}
	w.runs = map[spar.TaskRef]*run{}
}

// Restart begins a new life, with nothing of the last one.
func (w *Worker) Restart(l spar.Life) {
	if w.up {
		w.Crash()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life, w.up, w.born, w.token, w.until, w.ends = l, true, time.Now(), 0, 0, 0
	w.runs, w.barred, w.ended, w.endedAt = map[spar.TaskRef]*run{}, map[spar.TaskRef]int64{}, nil, map[int64]time.Time{}
}

func (w *Worker) clock() int64 {
	return int64(slowest * float64(time.Since(w.born).Milliseconds()))
}

// settle ends what has finished and, when the lease is over, all the rest.
func (w *Worker) settle() {
	now := time.Now()
	clock := w.clock()
	if clock > w.until {
		w.lapsed = now
	}
	for t, r := range w.runs {
		switch {
		case clock > w.until:
			w.end(t, r, spar.EndLapsed)
		case !now.Before(r.finish):
			w.end(t, r, r.how)
		}
	}
}

func (w *Worker) end(t spar.TaskRef, r *run, how spar.Ending) {
	delete(w.runs, t)
	w.barred[t] = max(w.barred[t], r.number)
	w.ends++
	w.ended = append(w.ended, spar.Ended{Number: w.ends, Task: t, Run: r.number, Ending: how})
	w.endedAt[w.ends] = time.Now()
	w.record.end(t, r.number, w.node, how)
	if w.changed != nil {
		close(w.changed)
		w.changed = nil
	}
}

func (w *Worker) check(t spar.Target) error {
	if !w.up {
		return errors.Mark(errors.New("worker: no answer"), spar.ErrUnknown)
	}
	if t.Life.ID != w.life.ID {
		return errors.Wrap(spar.ErrOtherLife, "worker")
	}
	return nil
}

// enter checks the token of a call; a higher one shuts out all lower ones.
func (w *Worker) enter(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// extend extends the lease; it is cut to the longest that there is.
func (w *Worker) extend(until int64) {
	w.until = max(w.until, min(until, w.clock()+MaxLease.Milliseconds()))
}

// Start carries out a start.
func (w *Worker) Start(t spar.Target, o spar.StartOrder) (spar.StartResult, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(t); err != nil {
		return "", err
	}
	w.settle()
	if !w.enter(t.Token) {
		return spar.StartFenced, nil
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return spar.StartDone, nil
	}
	if o.Run <= w.barred[o.Task] {
		return spar.StartOld, nil
	}
	if o.Until <= w.clock() {
		return spar.StartLate, nil
	}
	w.extend(o.Until)
	used := w.sizeOf(o.Task)
	for r := range w.runs {
		used = used.Add(w.sizeOf(r))
	}
	if !used.Fits(w.size) {
		return spar.StartNoRoom, nil
	}
	took, how := w.work(o.Task, o.Run)
	w.runs[o.Task] = &run{number: o.Run, started: time.Now(), finish: time.Now().Add(took), how: how}
	w.record.start(o.Task, o.Run, w.node, t.Life.Born != w.life.Born)
	return spar.StartDone, nil
}

// Stop carries out a stop.
func (w *Worker) Stop(t spar.Target, task spar.TaskRef, number int64) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(t); err != nil {
		return err
	}
	w.settle()
	if !w.enter(t.Token) {
		return errors.Mark(errors.New("worker: fenced"), spar.ErrRefused)
	}
	w.barred[task] = max(w.barred[task], number)
	if r := w.runs[task]; r != nil && r.number <= number && !r.stopping {
		r.stopping, r.how = true, spar.EndStopped
		r.finish = time.Now().Add(stopTime)
	}
	return nil
}

// Hold extends the lease and lists the worker.
func (w *Worker) Hold(t spar.Target, acked, until int64) (spar.RunLists, <-chan struct{}, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.check(t); err != nil {
		return spar.RunLists{}, nil, err
	}
	w.settle()
	if !w.enter(t.Token) {
		return spar.RunLists{}, nil, errors.Mark(errors.New("worker: fenced"), spar.ErrRefused)
	}
	w.extend(until)
	for _, e := range w.ended {
		// A call to an earlier life that comes late acknowledges what nobody has
		// heard of; the record holds nobody to it.
		if e.Number <= acked && t.Life.Born == w.life.Born {
			at := w.endedAt[e.Number]
			w.record.acknowledge(e, at, w.lapsed.After(at))
		}
	}
	w.ended = slices.DeleteFunc(w.ended, func(e spar.Ended) bool { return e.Number <= acked })
	l := spar.RunLists{Clock: w.clock(), Born: w.life.Born, Ended: slices.Clone(w.ended)}
	for t, r := range w.runs {
		l.Running = append(l.Running, spar.Running{Task: t, Run: r.number, Percent: 50})
	}
	if w.changed == nil {
		w.changed = make(chan struct{})
	}
	return l, w.changed, nil
}

// Settle brings the worker up to the present, for the tests.
func (w *Worker) Settle() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.up {
		w.settle()
	}
}
