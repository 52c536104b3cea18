package simul_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
)

// smallTask is the size of the tasks of large jobs. All of them run at once.
var smallTask = spar.Size{CPUMilli: 1, MemoryMB: 1}

func largeJob(id string, steps ...spar.Step) *job {
	return &job{Job: spar.Job{ID: id, Queue: queue, Steps: steps, Policy: spar.Queue{Name: queue, Service: "desk"}}}
}

// An accepted job whose progress exceeds a record of the store, or a whole append, must
// neither stop the work of other jobs nor be lost itself, whatever fails meanwhile.
func TestLargeJobStopsNoOther(t *testing.T) {
	for _, tt := range []struct {
		name   string
		count  int
		inject func(s *simulation)
	}{
		{"no fault", 7000, func(*simulation) {}},
		{"three times as large", 21_000, func(*simulation) {}},
		{"owner killed", 7000, func(s *simulation) {
			e := s.currentOwner()
			s.killEntry(e)
			s.startEntry(e)
		}},
		{"agents restarted", 7000, func(s *simulation) {
			for _, n := range s.nodes {
				s.stopNode(n)
				s.startNode(n)
			}
		}},
		{"owner stopped and agents restarted", 7000, func(s *simulation) {
			e := s.currentOwner()
			s.stopEntry(e)
			s.startEntry(e)
			for _, n := range s.nodes[:3] {
				s.stopNode(n)
				s.startNode(n)
			}
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, s, stop := newFixedWorkloadSimulation(t, 1, 3, 11)
				defer stop()
				for _, n := range s.nodes {
					n.worker.Resize(spar.Size{CPUMilli: 16000, MemoryMB: 64000})
				}
				track.Pause(ctx, 3*time.Second)
				s.submitJob(s.entries[0], largeJob("00000000000000aa", spar.Step{Count: tt.count, Size: smallTask, Estimate: time.Second}, spar.Step{Count: 1, Size: smallTask, Estimate: time.Second, After: []int{0}}))
				for i := range 8 {
					track.Pause(ctx, 150*time.Millisecond)
					s.submitJob(s.entries[i%3], largeJob(fmt.Sprintf("%016x", i), spar.Step{Count: 4, Size: smallTask, Estimate: time.Second}))
					if i == 3 {
						tt.inject(s)
					}
				}
				s.expectAllEnd(ctx, 60*time.Second)
			})
		})
	}
}
