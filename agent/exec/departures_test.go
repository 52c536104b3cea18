package exec

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

// departureBench runs an executor with three entries, of which the first is the owner.
type departureBench struct {
	worker *leavingWorker
	beats  *Heartbeats
	mu     sync.Mutex
	// acks has the owner acknowledge ends at once; down closes its connections; silent
	// has an entry refuse connections.
	acks, down bool
	silent     map[string]bool
	told       map[string][]link.Departure
	// leaves counts the messages that tell the owner that the worker has left, and leftEnds
	// are the ends that came with the last one.
	leaves   int
	leftEnds []spar.Ended
	owned    net.Conn
}

func newDepartureBench(ctx context.Context, t *testing.T) (b *departureBench, done <-chan error) {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	b = &departureBench{worker: &leavingWorker{}, beats: NewHeartbeats(c, HeartbeatFormat{}), silent: map[string]bool{}, told: map[string][]link.Departure{}}
	st := &store.Store{}
	records := []spar.Record{{Key: link.OwnerKey, Value: link.EntryRecord{Epoch: 1, AgentAddress: "e0"}.Encode()}}
	for _, name := range []string{"e0", "e1", "e2"} {
		records = append(records, spar.Record{Key: link.EntryPrefix + name, Value: link.EntryRecord{AgentAddress: name}.Encode()})
	}
	if _, err := st.Append(link.OwnerTopic, nil, records); err != nil {
		t.Fatal(err)
	}
	begun := time.Now()
	e := NewExecutor(c, "n", b.beats, b.worker, store.NewClient(st, 1), b.dial, func() time.Duration { return time.Since(begun) })
	b.beat(1, false)
	return b, e.Run(ctx)
}

func (b *departureBench) beat(seq int64, draining bool) {
	b.beats.Accept(Heartbeat{Info: spar.WorkerInfo{Life: workerLife, Draining: draining}, Seq: seq})
}

func (b *departureBench) set(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
	if b.down && b.owned != nil {
		b.owned.Close()
	}
}

func (b *departureBench) dial(_ context.Context, address string) (net.Conn, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.silent[address] {
		return nil, errors.New("refused")
	}
	agent, entry := net.Pipe()
	go b.serve(address, entry)
	return agent, nil
}

// serve serves a connection as an entry does.
func (b *departureBench) serve(address string, c net.Conn) {
	conn := link.NewConn[link.AgentMessage, link.OwnerMessage](c)
	defer conn.Close()
	for {
		m, err := conn.Receive(time.Second)
		if err != nil {
			return
		}
		b.mu.Lock()
		var answer link.OwnerMessage
		switch {
		case m.Departure != nil:
			b.told[address] = append(b.told[address], *m.Departure)
			answer.DepartureKept = true
		case b.down:
			b.mu.Unlock()
			return
		case m.WorkerLeft:
			b.leaves++
			b.leftEnds = m.Ended
		case m.Node != "":
			b.owned = c
			answer.Welcome = &link.Welcome{Epoch: 1, Token: 7, Lease: 5 * time.Second}
		case len(m.Ended) > 0 && b.acks:
			answer.Acked = m.Ended[len(m.Ended)-1].Number
		case m.Heartbeat > 0:
			answer.Grant = m.Heartbeat
		}
		b.mu.Unlock()
		if conn.Send(&answer) != nil {
			return
		}
	}
}

// expect checks the last departure that each entry was told.
func (b *departureBench) expect(t *testing.T, entries int, ends int, left bool) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.told) != entries {
		t.Fatalf("%d entries were told, want %d", len(b.told), entries)
	}
	for name, told := range b.told {
		last := told[len(told)-1]
		if last.Node != "n" || last.Life != workerLife || len(last.Ended) != ends || last.Left != left {
			t.Errorf("entry %s was told %+v, want %d ends, left %v", name, last, ends, left)
		}
	}
}

// expectLeaseLeft checks that each entry was last told when the leases end.
func (b *departureBench) expectLeaseLeft(t *testing.T, low, high time.Duration) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, told := range b.told {
		if left := told[len(told)-1].LeaseLeft; left == nil || *left < low || *left > high {
			t.Errorf("entry %s was told that leases end in %v, want %s to %s", name, left, low, high)
		}
	}
}

func (b *departureBench) count(name string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.told[name])
}

func testDeparture(t *testing.T, test func(t *testing.T, b *departureBench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b, done := newDepartureBench(ctx, t)
		time.Sleep(time.Second)
		test(t, b)
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
		// A hold call of the session may still be in progress.
		time.Sleep(time.Second)
	})
}

func endsOf(jobs ...string) (out []spar.Ended) {
	for i, j := range jobs {
		out = append(out, spar.Ended{Number: int64(i + 1), Task: spar.TaskRef{Job: j}, Run: 1, Ending: spar.EndDone})
	}
	return out
}

// The store is silent, so the owner acknowledges nothing, and it may end before it has
// stored what a draining worker's runs came to. All entries must be told, once each.
func TestAllEntriesAreToldOfUnacknowledgedEnds(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.ended = endsOf("a") })
		time.Sleep(2 * time.Second)
		b.expect(t, 0, 0, false)
		b.beat(2, true)
		time.Sleep(2 * departureInterval)
		b.expect(t, 3, 1, false)
		time.Sleep(5 * time.Second)
		if n := b.count("e1"); n != 1 {
			t.Errorf("told %d times, want 1", n)
		}
		b.worker.change(func() { b.worker.ended = endsOf("a", "b") })
		time.Sleep(2 * departureInterval)
		b.expect(t, 3, 2, false)
	})
}

// With a store in order a worker that drains costs no message, since its ends are
// acknowledged in time. When it has left each entry must be told once, and of nothing else.
func TestWorkerThatLeavesInOrderIsToldOnce(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.acks = true })
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beat(2, true)
		b.worker.change(func() { b.worker.running, b.worker.ended = nil, endsOf("a") })
		time.Sleep(3 * time.Second)
		b.beats.Deregister(workerLife.ID)
		b.expect(t, 0, 0, false)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(5 * time.Second)
		b.expect(t, 3, 0, true)
		for _, name := range []string{"e0", "e1", "e2"} {
			if n := b.count(name); n != 1 {
				t.Errorf("entry %s was told %d times, want 1", name, n)
			}
		}
	})
}

// A worker leaves with a run on it while the owner may not be able to store that. That its
// connections are closed does not prove its end, so all entries must be told at once when the
// leases on it end, since the agent's machine may be taken away too, and that its life is over
// when they have ended. One that does not answer is told later.
func TestAllEntriesAreToldThatAWorkerHasLeft(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.silent["e2"] = true })
		b.worker.change(func() {
			b.worker.running, b.worker.ended = []spar.Running{{Task: spar.TaskRef{Job: "b"}, Run: 1}}, endsOf("a")
		})
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		time.Sleep(100 * time.Millisecond)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(200 * time.Millisecond)
		b.expect(t, 2, 1, false)
		b.expectLeaseLeft(t, 4*time.Second, 5*time.Second)
		b.set(func() { delete(b.silent, "e2") })
		time.Sleep(2 * departureInterval)
		b.expect(t, 3, 1, false)
		b.expectLeaseLeft(t, 3*time.Second, 5*time.Second)
		time.Sleep(4500 * time.Millisecond)
		b.expect(t, 3, 1, true)
		b.set(func() { b.told = map[string][]link.Departure{} })
		time.Sleep(2 * departureTimeout)
		b.expect(t, 0, 0, false)
	})
}

// The owner is killed, and with it the session ends. What happens on a worker that leaves
// until there is another owner must be told too: that runs have ended, and that the worker
// is gone. To learn it no call may extend a lease or acknowledge an end.
func TestEndsWithoutAnOwnerAreTold(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beat(2, true)
		b.set(func() { b.down = true })
		ownerGone := time.Now()
		time.Sleep(time.Second)
		b.worker.change(func() { b.worker.running, b.worker.ended = nil, endsOf("a") })
		time.Sleep(3 * departureInterval)
		b.expect(t, 3, 1, false)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(2 * departureInterval)
		b.expect(t, 3, 1, true)
		b.worker.change(func() {
			for _, c := range b.worker.calls {
				if c.token != 7 || c.at.Sub(ownerGone) > 500*time.Millisecond && (c.acked != 0 || c.until != 0) {
					t.Errorf("call %+v without an owner, want the session's token 7 and nothing else", c)
				}
			}
		})
	})
}

// The owner stores that a task runs on a worker, and is killed before its order reaches the
// agent. The worker leaves without having had a run, while there is no owner. The next one
// would wait for the leases on it.
func TestAllEntriesAreToldThatAnEmptyWorkerHasLeftWithoutAnOwner(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.down = true })
		b.beat(2, true)
		time.Sleep(time.Second)
		b.expect(t, 0, 0, false)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(4 * departureInterval)
		b.expect(t, 3, 0, true)
	})
}

// An entry that is cut off must be asked no longer than the departure matters.
func TestEntryThatDoesNotAnswerIsGivenUp(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.silent["e1"] = true })
		b.worker.change(func() { b.worker.ended = endsOf("a") })
		b.beat(2, true)
		time.Sleep(departureTimeout + 2*time.Second)
		b.set(func() { delete(b.silent, "e1") })
		time.Sleep(departureTimeout)
		b.expect(t, 2, 1, false)
	})
}

// A new owner is there just after a worker has left. Its first session has to tell it at
// the first failed call: the agent's machine is gone within a second.
func TestNewOwnerIsToldAtOnceThatAWorkerHasLeft(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.down = true })
		time.Sleep(200 * time.Millisecond)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		b.set(func() { b.down = false })
		time.Sleep(sessionDelay + 150*time.Millisecond)
		b.set(func() {
			if b.leaves == 0 {
				t.Errorf("the owner was not told within %s", sessionDelay+150*time.Millisecond)
			}
		})
	})
}
