package owner

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/intake"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/store"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

var departedLife = spar.Life{ID: "i-n1", Born: 1}

// departureBench is a candidate whose store holds the progress of a job with two tasks
// that an earlier owner has started on the node n1.
type departureBench struct {
	*testing.T
	candidate *Candidate
	orders    []spar.StartOrder
}

func newDepartureBench(t *testing.T) *departureBench {
	c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
	st := &store.Store{}
	client := store.NewClient(st, 1)
	begun := time.Now()
	b := &departureBench{T: t, candidate: &Candidate{
		Common: c, settings: DefaultSettings(), store: intake.NewStore(c, client), clock: func() time.Duration { return time.Since(begun) },
		config: config.NewWatcher(c, client, "op", func(spar.Record) (config.Change, error) { return config.Change{}, nil }),
	}}
	b.candidate.jobs = intake.NewWriter(b.candidate.store, JobsTopic)
	j := spar.Job{
		ID: "5c0e7a21d94b36f8", Queue: "q", Policy: spar.Queue{Name: "q", Service: "desk", MaxAttempts: 3},
		Steps: []spar.Step{{Count: 2, Size: spar.Size{CPUMilli: 250, MemoryMB: 500}, Estimate: time.Second}},
	}
	first := newTerm(b.candidate, 7, time.Hour)
	first.scheduler.Submit(j, begun)
	b.connect(first, "n1")
	commit := first.scheduler.PrepareCommit()
	b.orders = first.scheduler.FinishCommit(commit, true)["n1"].Starts
	for topic, records := range map[string][]spar.Record{JobsTopic: {{Key: JobPrefix + j.ID, Value: shard.EncodeJob(j)}}, stateTopic: commit.Records} {
		if _, err := st.Append(topic, nil, records); err != nil || len(b.orders) != 2 {
			t.Fatal(err, b.orders)
		}
	}
	return b
}

// connect opens a session with a worker that lists no runs, and plans.
func (b *departureBench) connect(tm *term, node string) {
	info := spar.WorkerInfo{Life: spar.Life{ID: "i-" + node, Born: 1}, Service: "desk", Size: spar.Size{CPUMilli: 4000, MemoryMB: 8000}}
	now := time.Now()
	tm.scheduler.Connect(node, info, 1, nil, now)
	tm.scheduler.HandleReport(node, 1, &link.AgentMessage{Complete: true, Heartbeat: 1}, now)
	tm.scheduler.GrantLease(node, 1, now)
	tm.scheduler.Plan(now)
}

// beginTerm begins a term that takes the stored state over.
func (b *departureBench) beginTerm(epoch int64) *term {
	tm := newTerm(b.candidate, epoch, time.Hour)
	tm.ctx, tm.cancel = context.WithCancel(b.Context())
	b.candidate.mu.Lock()
	b.candidate.term = tm
	b.candidate.mu.Unlock()
	if !tm.takeOver(tm.ctx) {
		b.Fatal("the term could not take over")
	}
	return tm
}

// open opens a connection to the candidate and returns the agent's end of it.
func (b *departureBench) open(ctx context.Context) (conn net.Conn, done <-chan struct{}) {
	agent, entry := net.Pipe()
	served := make(chan struct{})
	go func() {
		defer close(served)
		b.candidate.serveConnection(ctx, entry)
	}()
	return agent, served
}

// tell sends departures over one connection and expects an answer to each.
func (b *departureBench) tell(departures ...link.Departure) {
	b.Helper()
	c, served := b.open(b.Context())
	b.tellOver(c, departures...)
	<-served
}

// tellOver does so over the agent's end of a connection, and closes it.
func (b *departureBench) tellOver(c net.Conn, departures ...link.Departure) {
	b.Helper()
	conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
	for _, d := range departures {
		if err := conn.Send(&link.AgentMessage{Departure: &d}); err != nil {
			b.Fatal(err)
		}
		if m, err := conn.Receive(time.Second); err != nil || !m.DepartureKept {
			b.Fatalf("answer %+v, %v", m, err)
		}
	}
	conn.Close()
}

// expectStarts checks the run numbers of the starts that are ordered next.
func (b *departureBench) expectStarts(tm *term, runs ...int64) {
	b.Helper()
	var got []int64
	for _, m := range tm.scheduler.FinishCommit(tm.scheduler.PrepareCommit(), true) {
		for _, o := range m.Starts {
			got = append(got, o.Run)
		}
	}
	if len(got) != len(runs) || len(got) > 0 && got[0] != runs[0] {
		b.Errorf("runs %v start, want %v", got, runs)
	}
}

// An entry that does not own the shard is told that a worker has left, and owns it later.
// Its term must not wait for the leases on that worker, nor repeat the task that had
// ended.
func TestDepartureToldBeforeTheTermIsAppliedAtItsTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		end := spar.Ended{Number: 1, Task: b.orders[0].Task, Run: 1, Ending: spar.EndDone}
		b.tell(link.Departure{Node: "n1", Life: departedLife, Ended: []spar.Ended{end}}, link.Departure{Node: "n1", Life: departedLife, Left: true})
		tm := b.beginTerm(8)
		b.connect(tm, "n2")
		b.expectStarts(tm, 2)
		if d := tm.departures; len(d.inFlight)+len(d.unstored) != 1 {
			t.Errorf("%d lives to hand over if the term can not store that they are over, want 1", len(d.inFlight)+len(d.unstored))
		}
	})
}

// An earlier owner has handed over that a life is over, and the agent has told this entry
// which runs had ended before that. A task that was done must not start again.
func TestEndsToldOfALifeThatWasHandedOverAreApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		earlier := newTerm(b.candidate, 7, time.Hour)
		earlier.writeDeparture(t.Context(), departedLife)
		end := spar.Ended{Number: 1, Task: b.orders[0].Task, Run: 1, Ending: spar.EndDone}
		b.tell(link.Departure{Node: "n1", Life: departedLife, Ended: []spar.Ended{end}, Left: true})
		tm := b.beginTerm(8)
		b.connect(tm, "n2")
		b.expectStarts(tm, 2)
	})
}

// The owner itself is told of a departure that it has not heard of in a session.
func TestDepartureToldToTheOwnerIsAppliedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		tm := b.beginTerm(8)
		b.connect(tm, "n2")
		b.expectStarts(tm)
		b.tell(link.Departure{Node: "n1", Life: departedLife, Left: true})
		tm.scheduler.Plan(time.Now())
		b.expectStarts(tm, 2, 2)
		b.tell(link.Departure{Node: "n1", Life: departedLife, Left: true})
		tm.scheduler.Plan(time.Now())
		b.expectStarts(tm)
	})
}

// The state of a term that is still being restored knows no worker. A departure that
// arrives then must not be lost.
func TestDepartureToldDuringTheTakeoverIsApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		tm := newTerm(b.candidate, 8, time.Hour)
		tm.ctx, tm.cancel = context.WithCancel(t.Context())
		b.candidate.term = tm
		b.tell(link.Departure{Node: "n1", Life: departedLife, Left: true})
		if !tm.takeOver(tm.ctx) {
			t.Fatal("the term could not take over")
		}
		b.connect(tm, "n2")
		b.expectStarts(tm, 2, 2)
	})
}

// Departures are told again and again, in pieces, and after their time they say nothing
// that matters. They must not pile up, nor be lost while leases may last.
func TestDeparturesAreKeptForTheirRetentionAndInBounds(t *testing.T) {
	var k keptDepartures
	ends := func(numbers ...int64) (out []spar.Ended) {
		for _, n := range numbers {
			out = append(out, spar.Ended{Number: n})
		}
		return out
	}
	k.add(link.Departure{Node: "n1", Life: departedLife, Ended: ends(2, 3), Left: true}, 0)
	k.add(link.Departure{Node: "n1", Life: departedLife, Ended: ends(1, 3, 4)}, 10*time.Second)
	d := k.list(departureRetention + 10*time.Second)
	if len(d) != 1 || len(d[0].Ended) != 4 || d[0].Ended[0].Number != 1 || !d[0].Left {
		t.Fatalf("kept %+v", d)
	}
	if d = k.list(departureRetention + 11*time.Second); len(d) != 0 {
		t.Errorf("kept beyond the retention: %+v", d)
	}
	for i := range int64(2 * maxKeptDepartures) {
		k.add(link.Departure{Node: "n1", Life: spar.Life{ID: "i", Born: i}}, time.Duration(i))
	}
	for i := range int64(2 * maxKeptEnds / 10) {
		k.add(link.Departure{Node: "n2", Life: departedLife, Ended: ends(10*i, 10*i+1, 10*i+2, 10*i+3, 10*i+4, 10*i+5, 10*i+6, 10*i+7, 10*i+8, 10*i+9)}, 2*maxKeptDepartures)
	}
	d = k.list(2 * maxKeptDepartures)
	if len(d) != maxKeptDepartures {
		t.Errorf("%d departures are kept, at most %d", len(d), maxKeptDepartures)
	}
	for _, o := range d {
		if o.Node == "n1" && o.Life.Born < maxKeptDepartures || o.Node == "n2" && len(o.Ended) != maxKeptEnds {
			t.Errorf("kept the life born at %d with %d ends", o.Life.Born, len(o.Ended))
		}
	}
}

// What can not be a departure, and a session with an entry that does not own the shard,
// must end the connection and change nothing else.
func TestInvalidFirstMessageEndsItsConnection(t *testing.T) {
	for name, m := range map[string]*link.AgentMessage{
		"no node":               {Departure: &link.Departure{Life: departedLife, Left: true}},
		"no life":               {Departure: &link.Departure{Node: "n1", Left: true}},
		"long name":             {Departure: &link.Departure{Node: "n1", Life: spar.Life{ID: string(make([]byte, maxLifeIDBytes+1))}}},
		"session without owner": {Node: "n1", Worker: &spar.WorkerInfo{Life: departedLife}},
		"nothing":               {},
		"not a message":         nil,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newDepartureBench(t)
				c, served := b.open(t.Context())
				conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
				if m == nil {
					if _, err := c.Write([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0xc1}); err != nil {
						t.Fatal(err)
					}
				} else if err := conn.Send(m); err != nil {
					t.Fatal(err)
				}
				if answer, err := conn.Receive(time.Second); err == nil {
					t.Errorf("answered %+v", answer)
				}
				<-served
				if d := b.candidate.kept.list(0); len(d) > 0 {
					t.Errorf("kept %+v", d)
				}
			})
		})
	}
}

// An agent that connects and says nothing must not hold up the end of the entry.
func TestConnectionWithoutAMessageEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newDepartureBench(t)
		ctx, cancel := context.WithCancel(t.Context())
		_, served := b.open(ctx)
		synctest.Wait()
		begun := time.Now()
		cancel()
		<-served
		if took := time.Since(begun); took > 0 {
			t.Errorf("the connection ends %s after the context", took)
		}
	})
}
