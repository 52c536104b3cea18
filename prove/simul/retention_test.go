package simul_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// Finished jobs reach the end of their retention while a partition of the store is down,
// or the owner ends meanwhile. The next owner must not start them again, and nothing of
// them may stay in the store.
func TestFinishedJobsAreNotStartedAfterTheirRetention(t *testing.T) {
	for _, tt := range []struct {
		name, down string
		kill       bool
	}{
		{"submissions can not be dropped", owner.JobsTopic, false},
		{"progress can not be dropped", "state", false},
		{"submissions can not be dropped, owner killed", owner.JobsTopic, true},
		{"progress can not be dropped, owner killed", "state", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, s, stop := newFixedWorkloadSimulation(t, 3, 3, 4)
				defer stop()
				track.Pause(ctx, 3*time.Second)
				for i := range 6 {
					s.submitJob(s.entries[i%3], &job{Job: jobOf(fmt.Sprintf("%016x", i), 3)})
				}
				s.expectAllEnd(ctx, 10*time.Second)
				starts, retention := s.checker.StartCount(), s.retention()
				track.Pause(ctx, retention-3*time.Second)
				s.setStoreFaults(store.Faults{RefuseTopic: tt.down})
				track.Pause(ctx, 10*time.Second)
				if tt.kill {
					s.replaceOwner(ctx)
				}
				s.setStoreFaults(store.Faults{})
				track.Pause(ctx, 3*time.Second)
				s.replaceOwner(ctx)
				track.Pause(ctx, retention+10*time.Second)
				s.expectNoViolations()
				if n := s.checker.StartCount(); n != starts {
					t.Errorf("%d tasks were started again", n-starts)
				}
				s.expectNoRecords()
			})
		})
	}
}

func (s *simulation) setStoreFaults(f store.Faults) {
	for _, e := range s.entries {
		e.storeClient.SetFaults(f)
	}
}

// replaceOwner kills the owner, starts it again and waits for the next one.
func (s *simulation) replaceOwner(ctx context.Context) {
	e := s.currentOwner()
	if e == nil {
		s.t.Fatal("no owner")
	}
	f := e.storeClient.Faults()
	s.killEntry(e)
	s.startEntry(e)
	e.storeClient.SetFaults(f)
	track.Pause(ctx, 4*time.Second)
}

// expectNoRecords checks that no record of a job is left in the store.
func (s *simulation) expectNoRecords() {
	s.t.Helper()
	for _, name := range []string{owner.JobsTopic, "state"} {
		for _, r := range s.store.Newest(name).Records {
			if !strings.HasPrefix(r.Key, "#clash") {
				s.t.Errorf("record %q is left in %s", r.Key, name)
			}
		}
	}
}
