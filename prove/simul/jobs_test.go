package simul_test

import (
	"context"
	"fmt"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

func (s *simulation) sizeOf(t spar.TaskRef) spar.Size {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[t.Job].Steps[t.Step].Size
}

// work draws how long a task works and how it ends.
func (s *simulation) work(t spar.TaskRef, _ int64) (time.Duration, spar.Ending) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.even {
		return 500 * time.Millisecond, spar.EndDone
	}
	took := time.Duration(200+s.random.IntN(3000)) * time.Millisecond
	if s.jobs[t.Job].hopeless || s.random.Float64() < 0.03 {
		return took, spar.EndFailed
	}
	return took, spar.EndDone
}

// allowed tells why a task must not start on a node now.
func (s *simulation) allowed(t spar.TaskRef, name string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[t.Job]
	if j == nil {
		return "nobody submitted it"
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > 3*time.Second+lateBy {
		return fmt.Sprintf("it was cancelled %s ago", time.Since(j.cancelled))
	}
	for _, step := range j.Steps[t.Step].After {
		for i := range j.Steps[step].Count {
			if !s.record.DoneLocked(spar.TaskRef{Job: t.Job, Step: step, Index: i}) {
				return fmt.Sprintf("step %d is not done", step)
			}
		}
	}
	for _, n := range s.nodes {
		if at, ok := s.closed[n.domain]; ok && n.name == name && time.Since(at) > 5*time.Second+lateBy {
			return fmt.Sprintf("its domain was closed %s ago", time.Since(at))
		}
	}
	return ""
}

// submit has an entry store a job. It is told of before, since a submission
// without an answer may have been stored.
func (s *simulation) submit(e *entry) {
	id := fmt.Sprintf("%016x", s.random.Uint64())
	steps := make([]spar.Step, 1+s.random.IntN(3))
	for i := range steps {
		steps[i] = spar.Step{Count: 1 + s.random.IntN(4), Size: spar.Size{CPUMilli: int64(300 + 100*s.random.IntN(8)), MemoryMB: 500}, Estimate: time.Second}
		if i > 0 {
			steps[i].After = []int{i - 1}
		}
	}
	j := &job{Job: spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: s.record.Attempts}}, hopeless: s.random.Float64() < 0.05}
	s.mu.Lock()
	s.jobs[id] = j
	s.mu.Unlock()
	go s.persist(e, func(ctx context.Context) error { return e.asker.Submit(ctx, j.Job) })
}

// persist repeats a write until it is answered, the way callers do.
func (s *simulation) persist(e *entry, write func(context.Context) error) {
	for s.ctx.Err() == nil {
		if e.cancel != nil && write(s.ctx) == nil {
			return
		}
		track.Pause(s.ctx, 200*time.Millisecond)
	}
}

func (s *simulation) cancelSome(e *entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, j := range s.jobs {
		if j.cancelled.IsZero() {
			go s.persist(e, func(ctx context.Context) error {
				err := e.asker.Cancel(ctx, id)
				if err == nil {
					s.mu.Lock()
					j.cancelled = time.Now()
					s.mu.Unlock()
				}
				return err
			})
			return
		}
	}
}

// ownerNow returns the entry that serves as the owner, or nil.
func (s *simulation) ownerNow() *entry {
	for _, e := range s.entries {
		if e.cancel == nil {
			continue
		}
		if _, _, err := e.owner.LocalState("none"); err == nil {
			return e
		}
	}
	return nil
}

// open returns the jobs that have not come to their end.
func (s *simulation) open() []string {
	e := s.ownerNow()
	if e == nil {
		return []string{"no owner"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, j := range s.jobs {
		state, known, err := e.owner.LocalState(id)
		switch {
		case err != nil || !known:
			out = append(out, fmt.Sprintf("%s: known %v, %v", id, known, err))
		case state == shard.Completed || state == shard.Failed:
		case state == shard.Cancelled && !j.cancelled.IsZero():
		default:
			out = append(out, id+": "+string(state))
		}
	}
	return out
}
