package simul_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

// maxCrashesByTask is the number of workers that one task may crash.
const maxCrashesByTask = 3

// A task crashes each worker that starts it and is restarted on one after another,
// since a crashed worker reports no failed run. Its job must be given up within a
// few crashes, and no other job.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, s, stop := newFixedWorkloadSimulation(t, 11, 3, 6)
		defer stop()
		track.Pause(ctx, 3*time.Second)
		const jobs = 40
		for i := range jobs {
			id := fmt.Sprintf("%016x", i)
			j := &job{Job: jobOf(id, 4)}
			if i%20 == 5 {
				j.crashing = func(t spar.TaskRef) bool { return t.Index == 0 }
			}
			s.submitJob(s.entries[i%3], j)
			track.Pause(ctx, 250*time.Millisecond)
		}
		track.Pause(ctx, 60*time.Second)
		s.expectNoViolations()
		for id, j := range s.jobs {
			want := shard.Completed
			if j.crashing != nil {
				want = shard.Failed
			}
			if n := s.checker.Crashes(spar.TaskRef{Job: id}); n > maxCrashesByTask {
				t.Errorf("task 0 of job %s crashed %d workers, want at most %d", id, n, maxCrashesByTask)
			}
			if state := s.stateOf(id); state != want {
				t.Errorf("job %s is %q, want %s", id, state, want)
			}
		}
	})
}

// jobOf returns a job of one step with the given number of tasks.
func jobOf(id string, tasks int) spar.Job {
	steps := []spar.Step{{Count: tasks, Size: spar.Size{CPUMilli: 500, MemoryMB: 500}, Estimate: time.Second}}
	return spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk", MaxAttempts: 3}}
}

// stateOf returns the state of a job that an owner knows, or "" if none does.
func (s *simulation) stateOf(id string) shard.State {
	for _, e := range s.entries {
		if e.cancel == nil {
			continue
		}
		if state, known, err := e.owner.LocalState(id); err == nil && known {
			return state
		}
	}
	return ""
}
