package simul_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

var (
	first = flag.Uint64("first", 1, "first seed")
	seeds = flag.Uint64("seeds", 12, "number of seeds")
	talk  = flag.Bool("talk", false, "print what the processes log")
)

const (
	// lateBy is the longest that an order may take to be carried out.
	lateBy = 8 * time.Second
	// troubled is how long faults go on, and calm how long the rest may take.
	troubled = 60 * time.Second
	calm     = 90 * time.Second
)

// Random faults strike real owners and agents; the workers' record must stay
// without a breach, and every job that was accepted comes to its end.
func TestRandomFaults(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { play(t, seed) })
		})
	}
}

func play(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	var logs bytes.Buffer
	out := io.Writer(&logs)
	if !*talk {
		out = io.Discard
	}
	s := newSimulation(ctx, t, seed, 3, 5, &locked{w: out})
	ticks := make(chan struct{})
	go s.tick(ticks)
	defer func() {
		s.close(cancel, ticks)
		if t.Failed() && *talk {
			os.Stdout.Write(logs.Bytes())
		}
	}()
	track.Pause(ctx, 3*time.Second)
	for end := time.Now().Add(troubled); time.Now().Before(end); {
		track.Pause(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		s.due(time.Now())
		s.strike()
		s.expectSound()
	}
	s.heal()
	for end := time.Now().Add(calm); ; track.Pause(ctx, time.Second) {
		s.expectSound()
		left := s.open()
		if len(left) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("not ended after %s of calm: %v", calm, left)
		}
	}
	if n := s.record.Starts(); n < 50 {
		t.Fatalf("only %d tasks were started", n)
	}
}

// evenSimulation is a simulation without a log in which every task takes half a
// second and ends well. It goes on until stop is called.
func evenSimulation(t *testing.T, seed uint64, entries, nodes int) (ctx context.Context, s *simulation, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	s = newSimulation(ctx, t, seed, entries, nodes, io.Discard)
	s.even = true
	ticks := make(chan struct{})
	go s.tick(ticks)
	return ctx, s, func() { s.close(cancel, ticks) }
}

// close stops everything.
func (s *simulation) close(cancel context.CancelFunc, ticks <-chan struct{}) {
	for _, e := range s.entries {
		s.stopEntry(e)
	}
	for _, n := range s.nodes {
		s.stopNode(n)
	}
	cancel()
	<-ticks
	synctest.Wait()
}

func (s *simulation) expectSound() {
	if b := s.record.Found(); len(b) > 0 {
		s.t.Fatalf("after %s: %v", time.Since(s.began), b)
	}
}

// tick keeps the workers up to date and has them report.
func (s *simulation) tick(done chan<- struct{}) {
	defer close(done)
	for n := 0; s.ctx.Err() == nil; n++ {
		for _, d := range s.nodes {
			d.worker.Settle()
			if n%50 == 0 {
				s.heartbeat(d)
			}
		}
		track.Pause(s.ctx, 10*time.Millisecond)
	}
}

// strike does one thing of many, for a while.
func (s *simulation) strike() {
	e, n := s.entries[s.random.IntN(len(s.entries))], s.nodes[s.random.IntN(len(s.nodes))]
	while := time.Duration(500+s.random.IntN(6000)) * time.Millisecond
	switch s.random.IntN(20) {
	case 0, 1, 2, 3, 4:
		s.submit(e)
	case 5:
		s.cancelSome(e)
	case 6:
		s.killEntry(e)
		s.after(while, func() { s.startEntry(e) })
	case 7:
		s.stopEntry(e)
		s.after(while/8, func() { s.startEntry(e) })
	case 8:
		e.client.SetFaults(store.Faults{Cut: true})
		s.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 9:
		e.client.SetFaults(store.Faults{LostShare: 0.3, LateShare: 0.2, LateBy: while / 2})
		s.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 10:
		e.client.SetFaults(store.Faults{Delay: 240 * time.Millisecond})
		s.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 11:
		s.store.Rebalance("owners", time.Now())
	case 12:
		for _, name := range []string{"jobs", "state", "owner", "op"} {
			s.store.Compact(name)
		}
	case 13:
		s.stopNode(n)
		s.after(while, func() { s.startNode(n) })
	case 14:
		s.net.setCut(n.name, true)
		s.after(while, func() { s.net.setCut(n.name, false) })
	case 15:
		n.worker.Crash()
		id := "i-" + n.name
		if s.random.IntN(2) == 0 {
			id = fmt.Sprintf("i-%s-%d", n.name, s.random.IntN(1000))
		}
		s.after(while/2, func() { s.restartWorker(n, id) })
	case 16:
		n.calls.SetFaults(worker.Faults{LateShare: 0.3, LateBy: lateBy / 2})
		s.after(while, func() { n.calls.SetFaults(worker.Faults{}) })
	case 17:
		n.calls.SetFaults(worker.Faults{Cut: true})
		s.after(while, func() { n.calls.SetFaults(worker.Faults{}) })
	case 18:
		s.closeDomain(n.domain)
		s.after(while, func() { s.openDomain(n.domain) })
	case 19:
		for _, o := range s.entries {
			o.client.SetFaults(store.Faults{Refuse: true})
			s.after(while/2, func() { o.client.SetFaults(store.Faults{}) })
		}
	}
}

// after does something later. What is to be started again is left alone if it
// runs already.
func (s *simulation) after(d time.Duration, do func()) {
	s.later = append(s.later, later{time.Now().Add(d), do})
}

type later struct {
	at time.Time
	do func()
}

// due does what has come due.
func (s *simulation) due(now time.Time) {
	rest := s.later[:0:0]
	for _, l := range s.later {
		if l.at.After(now) {
			rest = append(rest, l)
			continue
		}
		l.do()
	}
	s.later = rest
}

func (s *simulation) restartWorker(n *node, id string) {
	if _, up := n.worker.Life(); !up {
		n.seq = 0
		n.worker.Restart(spar.Life{ID: id, Born: time.Now().UnixMilli()})
	}
}

func (s *simulation) closeDomain(name string) {
	s.put(spar.Record{Key: "closed/" + name, Value: []byte{1}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.closed[name]; !ok {
		s.closed[name] = time.Now()
	}
}

func (s *simulation) openDomain(name string) {
	s.mu.Lock()
	delete(s.closed, name)
	s.mu.Unlock()
	s.put(spar.Record{Key: "closed/" + name})
}

// heal ends all trouble.
func (s *simulation) heal() {
	s.due(time.Now().Add(time.Hour))
	for _, e := range s.entries {
		e.client.SetFaults(store.Faults{})
		if e.cancel == nil {
			s.startEntry(e)
		}
	}
	for _, n := range s.nodes {
		s.net.setCut(n.name, false)
		n.calls.SetFaults(worker.Faults{})
		if n.cancel == nil {
			s.startNode(n)
		}
		s.restartWorker(n, "i-"+n.name)
		s.openDomain(n.domain)
	}
}
