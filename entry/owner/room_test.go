package owner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// roomy is a deployment of three entries, the first of which owns the shard.
type roomy struct {
	peers   *routedPeers
	entries []*Candidate
	clients []*Client
	owner   *term
}

const testJobMemory = 8 << 20

// newRoomy begins a deployment whose entries remember all tries of late.
func newRoomy(ctx context.Context, t *testing.T) *roomy {
	s, d := &store.Store{}, &roomy{peers: &routedPeers{}}
	for i := range 3 {
		c := newTestCandidate(s, fmt.Sprintf("e%d", i), d.peers)
		c.settings.JobMemoryMB, c.self.JobMemory = testJobMemory>>20, testJobMemory
		d.peers.add(c.self.PeerAddress, c)
		c.publishAddress(ctx)
		d.entries = append(d.entries, c)
	}
	d.owner = begin(ctx, t, d.entries[0], 1)
	for _, c := range d.entries {
		directory := track.NewDirectory(store.NewClient(s, 1), time.Second, func(error) {})
		directory.Run(ctx)
		d.clients = append(d.clients, NewClient(c.Common, c, directory))
	}
	time.Sleep(triesMemory + time.Second)
	return d
}

// inRoomy runs a test in a deployment.
func inRoomy(t *testing.T, test func(t *testing.T, ctx context.Context, d *roomy)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newRoomy(ctx, t)
		test(t, ctx, d)
		cancel()
		d.owner.stop()
		synctest.Wait()
		time.Sleep(time.Minute)
	})
}

// handIn hands a job in at an entry, if there is room for it.
func (d *roomy) handIn(ctx context.Context, entry int, j *spar.Job) roomOutcome {
	return outcomeOfRoom(d.clients[entry].Submit(ctx, *j))
}

// roomOutcome is what a caller is told about the room for a job.
type roomOutcome string

const (
	roomFound     roomOutcome = "stored"
	noRoom        roomOutcome = "refused"
	noRoomInDoubt roomOutcome = "in doubt"
)

func outcomeOfRoom(err error) roomOutcome {
	switch {
	case err == nil:
		return roomFound
	case !errors.Is(err, ErrNoRoom):
		return roomOutcome(err.Error())
	case errors.Is(err, spar.ErrRefused):
		return noRoom
	}
	return noRoomInDoubt
}

// ordinary is a job as callers send it, and wide one of many steps.
func ordinary(id int) *spar.Job {
	return &spar.Job{ID: fmt.Sprintf("%016x", id), Queue: "plans", Steps: []spar.Step{{Count: 10, Estimate: time.Second}, {Count: 20, After: []int{0}}}}
}

func wide(id int) *spar.Job {
	j := &spar.Job{ID: fmt.Sprintf("%016x", 1<<32+id), Queue: "plans"}
	for range 500 {
		j.Steps = append(j.Steps, spar.Step{Count: 1, Size: spar.Size{CPUMilli: 1 << 30}})
	}
	return j
}

// Clients hand in jobs without end that need much memory and can never be done. What can't
// be held must be refused, and ordinary callers must still be served, at all entries.
func TestJobsThatCannotBeHeldAreRefused(t *testing.T) {
	inRoomy(t, func(t *testing.T, ctx context.Context, d *roomy) {
		refused := 0
		for i := range 300 {
			if d.handIn(ctx, i%3, wide(i)) == noRoom {
				refused++
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(3 * time.Second)
		if room := d.owner.reserve("other", 1).Room; refused == 0 || room.Held > room.Capacity {
			t.Errorf("%d of 300 jobs were refused, and %s", refused, room)
		}
		for i := range 30 {
			if got := d.handIn(ctx, i%3, ordinary(i)); got != roomFound {
				t.Errorf("ordinary job %d: outcome %s", i, got)
			}
		}
	})
}

// Jobs that need little come without end. They must be refused as well when there is no
// room left, and accepted again once others have ended.
func TestRoomIsFoundAgainWhenJobsEnd(t *testing.T) {
	inRoomy(t, func(t *testing.T, ctx context.Context, d *roomy) {
		accepted := 0
		for i := range 3000 {
			if d.handIn(ctx, i%3, ordinary(i)) == roomFound {
				accepted++
			}
			time.Sleep(5 * time.Millisecond)
		}
		most := 3 * testJobMemory / 2 / int(shard.LeastFootprint(ordinary(0)))
		if accepted == 3000 || accepted > most {
			t.Fatalf("%d jobs were accepted, want at most %d", accepted, most)
		}
		for i := range accepted {
			if err := d.clients[0].Cancel(ctx, ordinary(i).ID); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(10 * time.Second)
		if got := d.handIn(ctx, 1, ordinary(5000)); got != roomFound {
			t.Errorf("after the others were cancelled: outcome %s, %s", got, d.owner.reserve("other", 1).Room)
		}
	})
}

// There is no room for a job. Its caller is told that it was not stored only if no entry
// may have stored an earlier try.
func TestJobWithoutRoomIsRefusedOnlyIfNoTryMayBeStored(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*roomy, *spar.Job)
		want   roomOutcome
	}{
		"new":                           {func(*roomy, *spar.Job) {}, noRoom},
		"a try at another entry":        {func(d *roomy, j *spar.Job) { d.entries[2].tries.begin(j.ID, time.Now()) }, noRoomInDoubt},
		"another entry does not answer": {func(d *roomy, _ *spar.Job) { d.peers.routes.Delete("e2") }, noRoomInDoubt},
		"the owner is away":             {func(d *roomy, _ *spar.Job) { d.peers.routes.Delete("e0") }, noRoomInDoubt},
		"known to the owner":            {func(d *roomy, j *spar.Job) { d.owner.scheduler.Submit(*j, time.Now()) }, roomFound},
	} {
		t.Run(name, func(t *testing.T) {
			inRoomy(t, func(t *testing.T, ctx context.Context, d *roomy) {
				d.owner.stateMu.Lock()
				for i := range 100 {
					d.owner.scheduler.Submit(*wide(i), time.Now())
				}
				d.owner.stateMu.Unlock()
				j := wide(1000)
				c.change(d, j)
				if got := d.handIn(ctx, 1, j); got != c.want {
					t.Errorf("outcome %s, want %s", got, c.want)
				}
			})
		})
	}
}

// The owner is away. Ordinary jobs must still be accepted, as the store keeps them, but not
// without a bound.
func TestOwnerAwayAllowsSomeJobs(t *testing.T) {
	inRoomy(t, func(t *testing.T, ctx context.Context, d *roomy) {
		d.peers.routes.Delete("e0")
		accepted := 0
		for i := range 1000 {
			if d.handIn(ctx, 1, ordinary(i)) == roomFound {
				accepted++
			}
		}
		if most := testJobMemory / firstAllowance / int(shard.LeastFootprint(ordinary(0))); accepted < 5 || accepted > most {
			t.Errorf("%d jobs were accepted, want 5 to %d", accepted, most)
		}
	})
}

// Jobs that need a large part of the memory are handed in at all entries at once, before the
// owner has read any of them. No more may be accepted than there is memory for.
func TestRoomIsNotGrantedTwice(t *testing.T) {
	inRoomy(t, func(t *testing.T, ctx context.Context, d *roomy) {
		found := 0
		for i := range 9 {
			j := ordinary(i)
			j.Steps[1].Count = 7000
			if d.handIn(ctx, i%3, j) == roomFound {
				found++
			}
		}
		if found != 2 {
			t.Errorf("%d jobs of 2.2 MB were accepted, want 2 in 6 MB for large jobs", found)
		}
	})
}
