package exec

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
)

// A worker that has deregistered leaves calls without an answer, and its machine, with the
// agent, may be gone before a call shows its end. All entries must be told when the last
// lease on it ends, and no lease may be extended beyond that if it answers again.
func TestEntriesAreToldWhenLeasesOnASilentWorkerEnd(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		time.Sleep(100 * time.Millisecond)
		b.worker.change(func() { b.worker.silent = true })
		time.Sleep(2 * time.Second)
		b.expect(t, 3, 0, false)
		b.expectLeaseLeft(t, 4*time.Second, 5*time.Second)
		b.worker.change(func() { b.worker.silent, b.worker.calls = false, nil })
		b.beat(2, false)
		time.Sleep(2 * time.Second)
		b.worker.change(func() {
			if len(b.worker.calls) == 0 {
				t.Error("no call to the worker that answers again")
			}
			for _, c := range b.worker.calls {
				if c.until != 0 {
					t.Errorf("call %+v extends a lease", c)
				}
			}
			b.worker.gone = true
		})
		if !b.beats.Load().Info.Draining || !b.beats.HasLeft(workerLife) {
			t.Error("a worker without leases counts as ready")
		}
		time.Sleep(200 * time.Millisecond)
		b.expect(t, 3, 0, false)
		time.Sleep(time.Second)
		b.expect(t, 3, 0, true)
	})
}

// A worker that had drained has deregistered and goes on. It may end at any moment, and the
// agent with it before a call has shown that, so all entries must be told when its leases
// end without such a call.
func TestEntriesAreToldWhenLeasesOnADrainedWorkerEnd(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.acks = true })
		b.beat(2, true)
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		b.expect(t, 0, 0, false)
		time.Sleep(minUnackedAge + departureInterval)
		b.expect(t, 3, 0, false)
		b.set(func() {
			for name, told := range b.told {
				if last := told[len(told)-1]; last.LeaseLeft == nil || *last.LeaseLeft > 5*time.Second {
					t.Errorf("entry %s was told %+v, want the end of the leases", name, last)
				}
			}
		})
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(200 * time.Millisecond)
		b.expect(t, 3, 0, true)
	})
}

// A late order to an earlier life of the same name may have given the longest lease that
// the worker accepts, just before the life was listed. A bound that is told to the entries
// must include that, and an owner that does not tell its length leaves the bound unknown.
func TestLeaseByALateOrderToAnEarlierLifeIsCounted(t *testing.T) {
	const lease, maxLease = 5 * time.Second, 10 * time.Second
	for name, tt := range map[string]struct {
		reused   bool
		maxLease time.Duration
		want     time.Duration
	}{
		"first life":                       {false, maxLease, lease},
		"name reused":                      {true, maxLease, maxLease},
		"name reused, owner of last build": {true, 0, -1},
	} {
		t.Run(name, func(t *testing.T) {
			e := &Executor{departures: &departureSender{}}
			if tt.reused {
				e.recordLife(spar.Life{ID: workerLife.ID, Born: workerLife.Born - 1}).recordLists(spar.RunLists{}, 0)
				e.lifeRecord = nil
			}
			l := e.recordLife(workerLife)
			l.beginLeases(0, lease, tt.maxLease)
			l.fixLeases()
			left := l.leaseLeft(0)
			if d := l.departure(true, 0); tt.want < 0 && (left != nil || d != nil) {
				t.Errorf("lease of %v, departure %v, want none", left, d)
			}
			if tt.want >= 0 && (left == nil || *left != tt.want) {
				t.Errorf("lease of %v, want %s", left, tt.want)
			}
		})
	}
}
