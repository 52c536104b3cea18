package simul_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

// cancelLimit is how long after the confirmation of a cancel a task of the job may start.
const cancelLimit = 3 * time.Second

// Workers leave starts and stops without an answer for seconds while their lists go on,
// and jobs are cancelled meanwhile. A start that is repeated beside the stop is carried
// out when the worker answers again, seconds after the cancel.
func TestCancelledTasksDoNotStartOnWorkersThatAnswerAgain(t *testing.T) {
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 5)
				defer stop()
				s.checker.StartForbidden = s.startForbiddenAfterCancel
				track.Pause(ctx, 3*time.Second)
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
					track.Pause(ctx, time.Duration(50+s.random.IntN(150))*time.Millisecond)
					s.runDue(time.Now())
					s.submitAndCancel(ctx)
					if s.random.IntN(12) == 0 {
						n := s.nodes[s.random.IntN(len(s.nodes))]
						n.workerClient.SetFaults(worker.Faults{MuteShare: 0.4 + 0.6*s.random.Float64()})
						s.schedule(time.Duration(1000+s.random.IntN(5000))*time.Millisecond, func() { n.workerClient.SetFaults(worker.Faults{}) })
					}
					s.expectNoViolations()
				}
				s.clearFaults()
				s.expectAllEnd(ctx, 30*time.Second)
			})
		})
	}
}

// startForbiddenAfterCancel returns why a task must not start any more, or "".
func (s *simulation) startForbiddenAfterCancel(t spar.TaskRef, _ string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.jobs[t.Job].cancelledAt; !at.IsZero() && time.Since(at) > cancelLimit {
		return fmt.Sprintf("it was cancelled %s ago", time.Since(at))
	}
	return ""
}

// submitAndCancel submits a job, and cancels every other one within half a second of its
// confirmation.
func (s *simulation) submitAndCancel(ctx context.Context) {
	j := &job{Job: jobOf(fmt.Sprintf("%016x", s.random.Uint64()), 1+s.random.IntN(6))}
	cancels, after := s.random.IntN(2) == 0, time.Duration(s.random.IntN(500))*time.Millisecond
	e := s.entries[s.random.IntN(len(s.entries))]
	s.mu.Lock()
	s.jobs[j.ID] = j
	s.mu.Unlock()
	go func() {
		s.retryUntilStored(e, func(ctx context.Context) error { return e.asker.Submit(ctx, j.Job) })
		if !cancels {
			return
		}
		track.Pause(ctx, after)
		s.retryUntilStored(e, func(ctx context.Context) error { return e.asker.Cancel(ctx, j.ID) })
		s.mu.Lock()
		j.cancelledAt = time.Now()
		s.mu.Unlock()
	}()
}
