package simul_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/agent/exec"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

// outageLimit is the time after an outage in which the tasks must end: they may be away
// for 3 s, and up to three steps of half a second follow.
const outageLimit = 5 * time.Second

// Workers leave by plan while the store is unreachable, and their machines are taken away.
// The owner can not store that and is killed, with another entry or alone, so that nobody
// is left who has seen it in a session. The next owner must not wait for leases on those
// workers.
func TestTasksOfWorkersThatLeftUnderAKilledOwnerGoOn(t *testing.T) {
	for _, tt := range []struct {
		name string
		// killed is the number of entries that are killed, killedAt when, and drainedAt and
		// leftAt when the workers begin to drain and leave, all from the begin of the outage.
		killed                      int
		killedAt, drainedAt, leftAt time.Duration
	}{
		{"the owner after the workers", 1, 3500 * time.Millisecond, 0, 500 * time.Millisecond},
		{"two entries after the workers", 2, 3500 * time.Millisecond, 0, 500 * time.Millisecond},
		{"the owner before the workers leave", 1, 300 * time.Millisecond, 0, 800 * time.Millisecond},
		{"the owner before the workers drain", 1, 300 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond},
	} {
		for seed := uint64(1); seed <= 3; seed++ {
			t.Run(fmt.Sprintf("%s/seed %d", tt.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, s, stop := newFixedWorkloadSimulation(t, seed, 4, 8)
					defer stop()
					track.Pause(ctx, 3*time.Second)
					for range 12 {
						s.submit(s.entries[0])
					}
					track.Pause(ctx, 200*time.Millisecond)
					owner, leaving := s.currentOwner(), s.nodes[:3]
					s.setStoreFaults(store.Faults{Unreachable: true})
					begun := time.Now()
					after := func(d time.Duration) { track.Pause(ctx, d-time.Since(begun)) }
					drain := func() {
						after(tt.drainedAt)
						for _, n := range leaving {
							s.drain(n)
						}
					}
					kill := func() {
						after(tt.killedAt)
						s.killWithOthers(owner, tt.killed)
					}
					leave := func() {
						after(tt.leftAt)
						for _, n := range leaving {
							life, _ := n.worker.Life()
							n.beats.Deregister(life.ID)
							n.worker.Crash()
						}
					}
					steps := []func(){drain, leave, kill}
					switch {
					case tt.killedAt < tt.drainedAt:
						steps = []func(){kill, drain, leave}
					case tt.killedAt < tt.leftAt:
						steps = []func(){drain, kill, leave}
					}
					for _, step := range steps {
						step()
					}
					after(storeOutage)
					for _, n := range leaving {
						s.stopNode(n)
					}
					s.setStoreFaults(store.Faults{})
					begun = time.Now()
					for left := s.unfinishedJobs(); len(left) > 0; left = s.unfinishedJobs() {
						if took := time.Since(begun); took > outageLimit {
							t.Fatalf("not ended %s after the store was back: %v", took, left)
						}
						track.Pause(ctx, 50*time.Millisecond)
					}
					s.expectNoViolations()
				})
			})
		}
	}
}

// drainingSeq is beyond the numbers of the simulation's heartbeats, which do not say that a
// worker drains.
const drainingSeq = 1 << 40

// drain has a worker report that it drains.
func (s *simulation) drain(n *node) {
	life, up := n.worker.Life()
	if !up || n.cancel == nil {
		return
	}
	n.beats.Accept(exec.Heartbeat{Seq: drainingSeq, Address: n.name, Info: spar.WorkerInfo{Life: life, Service: "desk", Domain: n.domain, Size: n.worker.Size(), Draining: true}})
}

// killWithOthers kills an entry and further ones, up to the given number in all.
func (s *simulation) killWithOthers(owner *entry, number int) {
	s.killEntry(owner)
	for _, e := range s.entries {
		if number--; number > 0 && e != owner {
			s.killEntry(e)
		}
	}
}
