package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
)

// The earlier owners have told a new one when their leases end. It must wait for a worker
// that has not connected until then and no longer; a worker with a session in this term
// has leases of its own, and a wait is never made longer. A worker that has just started
// may hold a longer lease by an order to its earlier life, which arrived late before its
// listing.
func TestWaitForSilentWorkerEndsWithTheLeasesOfEarlierOwners(t *testing.T) {
	const wait = 12 * time.Second
	for _, tt := range []struct {
		name    string
		expire  time.Duration
		connect bool
		age     time.Duration
		want    time.Duration
	}{
		{"silent worker", 4 * time.Second, false, time.Minute, 4 * time.Second},
		{"silent worker that has just started", 4 * time.Second, false, 20 * time.Second, strayWait},
		{"leases that last longer than the wait", time.Minute, false, time.Minute, wait},
		{"worker that had a session in this term", time.Second, true, time.Minute, limits.Lease + limits.Lease/50 + 50*time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			life := spar.Life{ID: "i-n1", Born: h.now.Add(-tt.age).UnixMilli()}
			h.connectLife("n1", life)
			a := h.submitAndStart("j1", "checks", shortStep(1))
			h.replaceOwner(wait)
			h.connect("n2")
			if tt.connect {
				h.connectLife("n1", life, spar.Running{Task: a.Task, Run: a.Run})
				h.scheduler.Disconnect("n1", h.tokens["n1"])
			}
			if runs, workers := h.scheduler.RestoredRuns(); !tt.connect && (runs != 1 || workers != 1) {
				t.Errorf("%d restored runs on %d workers, want 1 on 1", runs, workers)
			}
			h.scheduler.ShortenRestoredLeases(h.now.Add(tt.expire), h.now, h.now)
			h.advance(tt.want)
			h.scheduler.GrantLease("n2", h.tokens["n2"], h.now)
			h.expectStarts(h.runCycle(), 0)
			h.advance(10 * time.Millisecond)
			h.expectStarts(h.runCycle(), 1)
		})
	}
}
