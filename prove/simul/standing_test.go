package simul_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

const (
	// storeOutage is how long the store is unreachable.
	storeOutage = 4 * time.Second
	// leaveAfter is the time from the begin of the outage until a worker leaves,
	// and drainTime the time from its notice until it is gone.
	leaveAfter = 500 * time.Millisecond
	drainTime  = 600 * time.Millisecond
	// standingLimit is how long after the outage a standing task may be away. A
	// task must run if the last 3 s and the 4 s before them were undisturbed; 1 s
	// is margin.
	standingLimit = 6 * time.Second
	// standingPatience is how long a test waits, to measure the time.
	standingPatience = 30 * time.Second
)

// departure is a form of the departure of a worker while the store is unreachable.
type departure struct {
	name string
	// killed is the number of entries that are killed before the store is back,
	// the owner first.
	killed int
	// deadFor is the time from the end of the outage until they are restarted.
	deadFor time.Duration
	drains  bool
	// age is how long the workers have run before the outage, beside the time that the
	// tasks take to start.
	age time.Duration
}

// A worker with standing tasks leaves by plan, and its machine with it, while the store
// is unreachable. The owner learns of that, cannot store it, and is killed before the
// store is back. The next owner must not wait for leases on the worker that ended with
// it.
func TestStandingTasksOfDepartedWorkerRunAgainAfterOwnerIsKilled(t *testing.T) {
	playDepartures(t, []departure{
		{"owner killed, worker gone", 1, 0, false, 0},
		{"owner killed, worker drained", 1, 0, true, 0},
		{"owner killed for 10 s, worker gone", 1, 10 * time.Second, false, 0},
		{"owner killed for 10 s, worker drained", 1, 10 * time.Second, true, 0},
		{"two entries killed, worker gone", 2, 0, false, 0},
		{"two entries killed, worker drained", 2, 0, true, 0},
		{"two entries killed for 10 s, worker gone", 2, 10 * time.Second, false, 0},
		{"two entries killed for 10 s, worker drained", 2, 10 * time.Second, true, 0},
	})
}

// As above, but no entry is killed, so that the owner itself goes on or hands the
// departure over.
func TestStandingTasksOfDepartedWorkerRunAgainAfterOutage(t *testing.T) {
	playDepartures(t, []departure{
		{"worker gone", 0, 0, false, 0},
		{"worker drained", 0, 0, true, 0},
	})
}

// As above, but all entries are killed before the store is back, so that no process is
// left that was told of the departure.
func TestStandingTasksOfDepartedWorkerRunAgainAfterAllEntriesAreKilled(t *testing.T) {
	playDepartures(t, []departure{
		{"worker gone", 3, 0, false, 0},
		{"worker drained", 3, 0, true, 0},
	})
}

// As above, with workers that have run for so long that no order to an earlier life of the
// same name can be carried out any more.
func TestStandingTasksOfLongRunningWorkerRunAgainAfterEveryEntryIsKilled(t *testing.T) {
	playDepartures(t, []departure{
		{"worker gone", 3, 0, false, 30 * time.Second},
		{"worker drained", 3, 0, true, 30 * time.Second},
	})
}

func playDepartures(t *testing.T, departures []departure) {
	for _, d := range departures {
		t.Run(d.name, func(t *testing.T) {
			var took []time.Duration
			for seed := uint64(1); seed <= 6; seed++ {
				synctest.Test(t, func(t *testing.T) { took = append(took, measureDeparture(t, seed, d)) })
			}
			slices.Sort(took)
			t.Logf("standing tasks away for %s", took)
			if longest := took[len(took)-1]; longest > standingLimit {
				t.Errorf("longest %s after the store was back, want %s at most", longest, standingLimit)
			}
		})
	}
}

// measureDeparture returns the time from the end of the outage until all standing tasks
// run.
func measureDeparture(t *testing.T, seed uint64, d departure) time.Duration {
	ctx, s, stop := newFixedWorkloadSimulation(t, seed, 3, 6)
	defer stop()
	track.Pause(ctx, 3*time.Second)
	jobs := []string{s.submitStanding(s.entries[0], 3), s.submitStanding(s.entries[1], 3)}
	for begun := time.Now(); len(s.absentTasks(jobs)) > 0; track.Pause(ctx, 50*time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatalf("not started: %v", s.absentTasks(jobs))
		}
	}
	track.Pause(ctx, time.Second+time.Duration(s.random.IntN(1000))*time.Millisecond)
	track.Pause(ctx, d.age)
	killed := s.ownerAndOthers(d.killed)
	s.setAllStoreFaults(store.Faults{Unreachable: true})
	back := time.Now().Add(storeOutage)
	track.Pause(ctx, leaveAfter)
	s.leave(ctx, s.fullestNode(), d.drains)
	track.Pause(ctx, time.Until(back)-time.Duration(100+s.random.IntN(900))*time.Millisecond)
	for _, e := range killed {
		s.killEntry(e)
	}
	track.Pause(ctx, time.Until(back))
	// Killing an entry takes the time of its calls in flight.
	back = time.Now()
	s.setAllStoreFaults(store.Faults{})
	for restarted := false; ; track.Pause(ctx, 50*time.Millisecond) {
		took := time.Since(back)
		if !restarted && took >= d.deadFor {
			restarted = true
			for _, e := range killed {
				s.startEntry(e)
			}
		}
		s.expectNoViolations()
		left := s.absentTasks(jobs)
		switch {
		case len(left) == 0:
			return took
		case took > standingPatience:
			t.Fatalf("seed %d: not running %s after the store was back: %v", seed, took, left)
		}
	}
}

// submitStanding submits a job of standing tasks and returns its ID.
func (s *simulation) submitStanding(e *entry, tasks int) string {
	j := &job{Job: jobOf(fmt.Sprintf("%016x", s.random.Uint64()), tasks)}
	j.Steps[0].Standing = true
	s.submitJob(e, j)
	return j.ID
}

// absentTasks returns the tasks of jobs of one step that run nowhere.
func (s *simulation) absentTasks(jobs []string) []spar.TaskRef {
	present := map[spar.TaskRef]bool{}
	for _, n := range s.nodes {
		for _, t := range n.worker.Running() {
			present[t] = true
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []spar.TaskRef
	for _, id := range jobs {
		for i := range s.jobs[id].Steps[0].Count {
			if t := (spar.TaskRef{Job: id, Index: i}); !present[t] {
				out = append(out, t)
			}
		}
	}
	return out
}

// ownerAndOthers returns n entries, the owner first.
func (s *simulation) ownerAndOthers(n int) []*entry {
	o := s.currentOwner()
	if o == nil {
		s.t.Fatal("no owner")
	}
	out := []*entry{o}
	for _, e := range s.entries {
		if e != o {
			out = append(out, e)
		}
	}
	return out[:n]
}

// fullestNode returns the node with the most runs.
func (s *simulation) fullestNode() *node {
	return slices.MaxFunc(s.nodes, func(a, b *node) int { return len(a.worker.Running()) - len(b.worker.Running()) })
}

// leave has a worker leave by plan, drained first or not, and its agent with it.
func (s *simulation) leave(ctx context.Context, n *node, drains bool) {
	if drains {
		n.draining.Store(true)
		s.heartbeat(n)
		track.Pause(ctx, drainTime)
	}
	life, _ := n.worker.Life()
	n.beats.Deregister(life.ID)
	n.worker.Crash()
	s.stopNodeAfterNotice(ctx, n)
}

// stopNodeAfterNotice stops an agent when it had the time to tell the owner that its
// worker has left.
func (s *simulation) stopNodeAfterNotice(ctx context.Context, n *node) {
	track.Pause(ctx, 1500*time.Millisecond)
	s.stopNode(n)
}

// setAllStoreFaults sets the faults of the store for entries and agents.
func (s *simulation) setAllStoreFaults(f store.Faults) {
	s.setStoreFaults(f)
	for _, n := range s.nodes {
		n.storeClient.SetFaults(f)
	}
}
