package shard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/triage"
)

// What waits counts by priority and by the room that it takes; what runs does not, and
// what standing tasks hold does not do it.
func TestLoadIsWhatWaitsAndWhatCanDoIt(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	standing := servingStep("desk")
	standing.Count, standing.Size.CPUMilli = 1, 4000
	h.submit("s", "watches", standing)
	h.runCycle()
	h.submit("a", "checks", spar.Step{Count: 20, Size: spar.Size{CPUMilli: 2000}, Estimate: time.Second})
	h.submit("b", "plans", spar.Step{Count: 10, Size: spar.Size{CPUMilli: 2000}, Estimate: 3 * time.Second, Fills: true})
	h.advance(time.Second)
	l := h.scheduler.Load(h.now).Services["desk"]
	if wait, ok := l.Reserved.WaitAt(0, admit.SizeOf(time.Minute)); !ok || wait != 40*time.Second*1000/12000 {
		t.Errorf("reserved: %s, %v from %+v", wait, ok, l.Reserved)
	}
	if _, ok := l.Filling.WaitAt(2, admit.SizeOf(time.Hour)); ok || l.Filling.Waiting[0].Work != 60*time.Second {
		t.Errorf("filling before any fill runs: %+v", l.Filling)
	}
	h.runCycle()
	h.advance(2 * time.Second)
	l = h.scheduler.Load(h.now).Services["desk"]
	if n := l.Reserved.Waiting[0].Tasks; n != 14 {
		t.Errorf("%d tasks wait beside 6 that run", n)
	}
	if w := l.Reserved.Waiting[0]; w.Work != 0 || w.Late != 28*time.Second || w.Oldest != 3*time.Second {
		t.Errorf("past their objective: %+v", w)
	}
	h.scheduler.SetClosedDomains(map[string]bool{"sofia": true})
	h.advance(time.Second)
	if l = h.scheduler.Load(h.now).Services["desk"]; l.Reserved.DrainMilli != 0 {
		t.Errorf("workers in a closed domain: %+v", l.Reserved)
	}
}

// BenchmarkLoad measures one computation of the load, of which there are four a second.
func BenchmarkLoad(b *testing.B) {
	for _, workers := range []int{30, 300} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			h, _ := busyShard(b, workers, triage.LeastWork)
			b.ResetTimer()
			for range b.N {
				h.now = h.now.Add(time.Second)
				h.scheduler.Load(h.now)
			}
		})
	}
}
