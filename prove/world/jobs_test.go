package world_test

import (
	"context"
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

func (w *world) sizeOf(t spar.TaskRef) spar.Size {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[t.Job].Steps[t.Step].Size
}

// work draws how long a task works and how it ends.
func (w *world) work(t spar.TaskRef, _ int64) (time.Duration, spar.Ending) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.even {
		return 500 * time.Millisecond, spar.EndDone
	}
	took := time.Duration(200+w.random.IntN(3000)) * time.Millisecond
	if w.jobs[t.Job].hopeless || w.random.Float64() < 0.03 {
		return took, spar.EndFailed
	}
	return took, spar.EndDone
}

// allowed tells why a task must not start on a node now.
func (w *world) allowed(t spar.TaskRef, name string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[t.Job]
	if j == nil {
		return "nobody submitted it"
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second+lateBy {
		return fmt.Sprintf("it was cancelled %s ago", time.Since(j.cancelled))
	}
	for _, s := range j.Steps[t.Step].After {
		for i := range j.Steps[s].Count {
			if !w.record.DoneLocked(spar.TaskRef{Job: t.Job, Step: s, Index: i}) {
				return fmt.Sprintf("step %d is not done", s)
			}
		}
	}
	for _, n := range w.nodes {
		if at, ok := w.closed[n.domain]; ok && n.name == name && time.Since(at) > 5*time.Second+lateBy {
			return fmt.Sprintf("its domain was closed %s ago", time.Since(at))
		}
	}
	return ""
}

// submit has an entry store a job. It is told of before, since a submission
// without an answer may have been stored.
func (w *world) submit(e *entry) {
	id := fmt.Sprintf("%016x", w.random.Uint64())
	steps := make([]spar.Step, 1+w.random.IntN(3))
	for i := range steps {
		steps[i] = spar.Step{Count: 1 + w.random.IntN(4), Size: spar.Size{CPUMilli: int64(300 + 100*w.random.IntN(8)), MemoryMB: 500}, Estimate: time.Second}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	j := &job{Job: spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: w.record.Attempts}}, hopeless: w.random.Float64() < 0.05}
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	go w.persist(e, func(ctx context.Context) error { return e.asker.Submit(ctx, j.Job) })
}

// persist repeats a write until it is answered, the way callers do.
func (w *world) persist(e *entry, write func(context.Context) error) {
	for w.ctx.Err() == nil {
		if e.cancel != nil && write(w.ctx) == nil {
			return
		}
		track.Pause(w.ctx, 200*time.Millisecond)
	}
}

func (w *world) cancelSome(e *entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, j := range w.jobs {
		if j.cancelled.IsZero() {
			go w.persist(e, func(ctx context.Context) error {
				err := e.asker.Cancel(ctx, id)
				if err == nil {
					w.mu.Lock()
					j.cancelled = time.Now()
					w.mu.Unlock()
				}
				return err
			})
			return
		}
	}
}

// ownerNow returns the entry that serves as the owner, or nil.
func (w *world) ownerNow() *entry {
	for _, e := range w.entries {
		if e.cancel == nil {
			continue
		}
		if _, _, err := e.owner.Local("none"); err == nil {
			return e
		}
	}
	return nil
}

// open returns the jobs that have not come to their end.
func (w *world) open() []string {
	e := w.ownerNow()
	if e == nil {
		return []string{"no owner"}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for id, j := range w.jobs {
		s, known, err := e.owner.Local(id)
		switch {
		case err != nil || !known:
			out = append(out, fmt.Sprintf("%s: known %v, %v", id, known, err))
		case s == shard.Completed || s == shard.Failed:
		case s == shard.Cancelled && !j.cancelled.IsZero():
		default:
			out = append(out, id+": "+string(s))
		}
	}
	return out
}
