package simul_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

const (
	// outliveTime is how long a worker is at work after it has deregistered.
	outliveTime = 3 * time.Second
	// someCallsLost is longer than the wait of a call that was sent before the
	// deregistration, so that a later one is lost too.
	someCallsLost = 700 * time.Millisecond
)

// A worker has deregistered and is at work for some seconds more, since it has not heard that
// this was confirmed. Calls to it get no answer meanwhile, some or all. None of its tasks may
// start elsewhere before it has ended, whoever owns the shard, and its standing tasks must
// run again soon after.
func TestTasksOfDeregisteredWorkerDoNotStartElsewhereWhileItIsAtWork(t *testing.T) {
	for _, tt := range []struct {
		name string
		// lost is how long calls to the worker get no answer.
		lost time.Duration
		// killsOwner has the owner be killed half a second after the deregistration, and
		// stopsAgent the agent stop two seconds after it.
		killsOwner, stopsAgent bool
	}{
		{"some calls lost", someCallsLost, false, false},
		{"all calls lost", outliveTime, false, false},
		{"some calls lost, owner killed", someCallsLost, true, false},
		{"all calls lost, owner killed", outliveTime, true, false},
		{"all calls lost, owner killed, agent gone", outliveTime, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for seed := uint64(1); seed <= 4; seed++ {
				synctest.Test(t, func(t *testing.T) {
					ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 5)
					defer stop()
					track.Pause(ctx, 3*time.Second)
					jobs := []string{s.submitStanding(s.entries[0], 3), s.submitStanding(s.entries[1], 3)}
					track.Pause(ctx, 3*time.Second+time.Duration(s.random.IntN(1000))*time.Millisecond)
					if left := s.absentTasks(jobs); len(left) > 0 {
						t.Fatalf("not started: %v", left)
					}
					n, o := s.fullestNode(), s.currentOwner()
					life, _ := n.worker.Life()
					begun := time.Now()
					n.beats.Deregister(life.ID)
					n.draining.Store(true)
					n.workerClient.SetFaults(worker.Faults{Unreachable: true})
					s.schedule(tt.lost, func() { n.workerClient.SetFaults(worker.Faults{}) })
					s.schedule(outliveTime, func() {
						n.gone.Store(true)
						n.worker.Crash()
					})
					if tt.killsOwner {
						s.schedule(500*time.Millisecond, func() { s.killEntry(o) })
					}
					if tt.stopsAgent {
						s.schedule(2*time.Second, func() { s.stopNode(n) })
					}
					for time.Since(begun) < outliveTime+standingLimit {
						s.runDue(time.Now())
						s.expectNoViolations()
						track.Pause(ctx, 20*time.Millisecond)
					}
					if left := s.absentTasks(jobs); len(left) > 0 {
						t.Errorf("seed %d: not running %s after the worker's end: %v", seed, standingLimit, left)
					}
				})
			}
		})
	}
}
