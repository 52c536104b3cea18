package world_test

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
	"github.com/berylspar/spar/stand/labor"
	"github.com/berylspar/spar/stand/store"
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
	w := newWorld(ctx, t, seed, 3, 5, &locked{w: out})
	ticks := make(chan struct{})
	go w.tick(ticks)
	defer func() {
		w.close(cancel, ticks)
		if t.Failed() && *talk {
			os.Stdout.Write(logs.Bytes())
		}
	}()
	track.Pause(ctx, 3*time.Second)
	for end := time.Now().Add(troubled); time.Now().Before(end); {
		track.Pause(ctx, time.Duration(100+w.random.IntN(700))*time.Millisecond)
		w.due(time.Now())
		w.strike()
		w.expectSound()
	}
	w.heal()
	for end := time.Now().Add(calm); ; track.Pause(ctx, time.Second) {
		w.expectSound()
		left := w.open()
		if len(left) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("not ended after %s of calm: %v", calm, left)
		}
	}
	if n := w.record.Starts(); n < 50 {
		t.Fatalf("only %d tasks were started", n)
	}
}

// evenWorld is a world without a log in which every task takes half a second and
// ends well. It goes on until stop is called.
func evenWorld(t *testing.T, seed uint64, entries, nodes int) (ctx context.Context, w *world, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	w = newWorld(ctx, t, seed, entries, nodes, io.Discard)
	w.even = true
	ticks := make(chan struct{})
	go w.tick(ticks)
	return ctx, w, func() { w.close(cancel, ticks) }
}

// close stops everything.
func (w *world) close(cancel context.CancelFunc, ticks <-chan struct{}) {
	for _, e := range w.entries {
		w.stopEntry(e)
	}
	for _, n := range w.nodes {
		w.stopNode(n)
	}
	cancel()
	<-ticks
	synctest.Wait()
}

func (w *world) expectSound() {
	if b := w.record.Found(); len(b) > 0 {
		w.t.Fatalf("after %s: %v", time.Since(w.began), b)
	}
}

// tick keeps the workers up to date and has them report.
func (w *world) tick(done chan<- struct{}) {
	defer close(done)
	for n := 0; w.ctx.Err() == nil; n++ {
		for _, d := range w.nodes {
			d.worker.Settle()
			if n%50 == 0 {
				w.heartbeat(d)
			}
		}
		track.Pause(w.ctx, 10*time.Millisecond)
	}
}

// strike does one thing of many, for a while.
func (w *world) strike() {
	e, n := w.entries[w.random.IntN(len(w.entries))], w.nodes[w.random.IntN(len(w.nodes))]
	while := time.Duration(500+w.random.IntN(6000)) * time.Millisecond
	switch w.random.IntN(20) {
	case 0, 1, 2, 3, 4:
		w.submit(e)
	case 5:
		w.cancelSome(e)
	case 6:
		w.killEntry(e)
		w.after(while, func() { w.startEntry(e) })
	case 7:
		w.stopEntry(e)
		w.after(while/8, func() { w.startEntry(e) })
	case 8:
		e.client.SetFaults(store.Faults{Cut: true})
		w.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 9:
		e.client.SetFaults(store.Faults{LostShare: 0.3, LateShare: 0.2, LateBy: while / 2})
		w.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 10:
		e.client.SetFaults(store.Faults{Delay: 240 * time.Millisecond})
		w.after(while, func() { e.client.SetFaults(store.Faults{}) })
	case 11:
		w.store.Rebalance("owners", time.Now())
	case 12:
		for _, name := range []string{"jobs", "state", "owner", "op"} {
			w.store.Compact(name)
		}
	case 13:
		w.stopNode(n)
		w.after(while, func() { w.startNode(n) })
	case 14:
		w.net.setCut(n.name, true)
		w.after(while, func() { w.net.setCut(n.name, false) })
	case 15:
		n.worker.Crash()
		id := "i-" + n.name
		if w.random.IntN(2) == 0 {
			id = fmt.Sprintf("i-%s-%d", n.name, w.random.IntN(1000))
		}
		w.after(while/2, func() { w.restartWorker(n, id) })
	case 16:
		n.calls.SetFaults(labor.Faults{LateShare: 0.3, LateBy: lateBy / 2})
		w.after(while, func() { n.calls.SetFaults(labor.Faults{}) })
	case 17:
		n.calls.SetFaults(labor.Faults{Cut: true})
		w.after(while, func() { n.calls.SetFaults(labor.Faults{}) })
	case 18:
		w.closeDomain(n.domain)
		w.after(while, func() { w.openDomain(n.domain) })
	case 19:
		for _, o := range w.entries {
			o.client.SetFaults(store.Faults{Refuse: true})
			w.after(while/2, func() { o.client.SetFaults(store.Faults{}) })
		}
	}
}

// after does something later. What is to be started again is left alone if it
// runs already.
func (w *world) after(d time.Duration, do func()) {
	w.later = append(w.later, later{time.Now().Add(d), do})
}

type later struct {
	at time.Time
	do func()
}

// due does what has come due.
func (w *world) due(now time.Time) {
	rest := w.later[:0:0]
	for _, l := range w.later {
		if l.at.After(now) {
			rest = append(rest, l)
			continue
		}
		l.do()
	}
	w.later = rest
}

func (w *world) restartWorker(n *node, id string) {
	if _, up := n.worker.Life(); !up {
		n.seq = 0
		n.worker.Restart(spar.Life{ID: id, Born: time.Now().UnixMilli()})
	}
}

func (w *world) closeDomain(name string) {
	w.put(spar.Record{Key: "closed/" + name, Value: []byte{1}})
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, ok := w.closed[name]; !ok {
		w.closed[name] = time.Now()
	}
}

func (w *world) openDomain(name string) {
	w.mu.Lock()
	delete(w.closed, name)
	w.mu.Unlock()
	w.put(spar.Record{Key: "closed/" + name})
}

// heal ends all trouble.
func (w *world) heal() {
	w.due(time.Now().Add(time.Hour))
	for _, e := range w.entries {
		e.client.SetFaults(store.Faults{})
		if e.cancel == nil {
			w.startEntry(e)
		}
	}
	for _, n := range w.nodes {
		w.net.setCut(n.name, false)
		n.calls.SetFaults(labor.Faults{})
		if n.cancel == nil {
			w.startNode(n)
		}
		w.restartWorker(n, "i-"+n.name)
		w.openDomain(n.domain)
	}
}
