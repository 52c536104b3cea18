package simul_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/track"
)

const (
	// linkRate is the rate of an entry's link: 10 Mbit/s.
	linkRate = 10_000_000 / 8
	// specBytes is the size of the specification of a job.
	specBytes = 1500
	// takeoverLimit is the time from the end of a killed owner's membership to the next
	// start of a task.
	takeoverLimit = 2 * time.Second
)

// The owner is killed when many jobs have ended that can still be queried. What its
// successor reads over a slow link must not grow with their specifications and progress:
// it would be busy for longer than the store waits for its next join, and so would each
// owner after it.
func TestTakeoverOverASlowLinkDoesNotReadEndedJobs(t *testing.T) {
	for _, tt := range []struct {
		jobs int
		// maxBytes is what the successor may read until it starts a task.
		maxBytes int
	}{
		{1_000, 150_000},
		{10_000, 1_500_000},
	} {
		t.Run(fmt.Sprintf("%d jobs", tt.jobs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, s, stop := newFixedWorkloadSimulation(t, 1, 3, 5)
				defer stop()
				s.runTime = 20 * time.Millisecond
				track.Pause(ctx, 3*time.Second)
				s.submitInTurn(ctx, tt.jobs)
				s.expectAllEnd(ctx, 20*time.Second)
				track.Pause(ctx, 3*time.Second)
				for _, e := range s.entries {
					e.storeClient.SetLinkRate(linkRate)
				}
				owner := s.currentOwner()
				received := map[*entry]int{}
				for _, e := range s.entries {
					received[e] = e.storeClient.ReceivedBytes()
				}
				before := s.checker.StartCount()
				s.killEntry(owner)
				begun := time.Now()
				for _, e := range s.entries {
					if e != owner {
						s.submitJob(e, &job{Job: jobOf(fmt.Sprintf("%016x", 1<<40+s.random.IntN(1000)), 1)})
					}
				}
				for s.checker.StartCount() == before {
					if time.Since(begun) > time.Minute {
						t.Fatal("no start within a minute")
					}
					track.Pause(ctx, 5*time.Millisecond)
				}
				took, next := time.Since(begun), s.currentOwner()
				bytes := next.storeClient.ReceivedBytes() - received[next]
				t.Logf("%d ended jobs: task started after %s, %d bytes read", tt.jobs, took, bytes)
				if took > takeoverLimit {
					t.Errorf("task started %s after the killed owner was replaced, want %s at most", took, takeoverLimit)
				}
				if bytes > tt.maxBytes {
					t.Errorf("the next owner read %d bytes, want %d at most", bytes, tt.maxBytes)
				}
				s.expectNoViolations()
			})
		})
	}
}

// submitInTurn submits jobs with one task, a few hundred a second.
func (s *simulation) submitInTurn(ctx context.Context, jobs int) {
	for i := range jobs {
		j := &job{Job: jobOf(fmt.Sprintf("%016x", i), 1)}
		j.Spec = strings.Repeat("x", specBytes)
		s.submitJob(s.entries[i%len(s.entries)], j)
		if i%20 == 0 {
			track.Pause(ctx, 50*time.Millisecond)
		}
	}
}
