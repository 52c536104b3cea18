package shard

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
)

// harmFleet returns a scheduler that limits harm, with workers n0, n1, ... of 16
// processors on which the given numbers of tasks of image "desk" run.
func harmFleet(limit float64, now time.Time, serving ...int) *Scheduler {
	sc := NewScheduler(Limits{Lease: 5 * time.Second, MaxLease: 6 * time.Second, Retention: time.Minute, FillHarm: limit}, func(Event) {})
	sc.now = now
	for i, n := range serving {
		node := fmt.Sprintf("n%d", i)
		sc.Connect(node, spar.WorkerInfo{Life: spar.Life{ID: "i-" + node, Born: 1}, Service: "desk", Domain: "d", Size: spar.Size{CPUMilli: 16000, MemoryMB: 60000}}, int64(i+1), nil, now)
		w := sc.workers[node]
		w.listed = true
		s := harmStep(sc, "serve-"+node, spar.Step{Count: n, Size: spar.Size{CPUMilli: 2000, MemoryMB: 100}, Standing: true, Image: "desk", TailTarget: 20 * time.Millisecond}, now)
		for _, t := range s.tasks {
			w.addRun(&run{task: t, worker: w, number: 1, confirmed: true, percent: 100})
		}
	}
	return sc
}

func harmStep(sc *Scheduler, id string, s spar.Step, now time.Time) *step {
	q := spar.Queue{Name: "q", Service: "desk", Stretch: 2, Slack: time.Second}
	sc.Submit(spar.Job{ID: id, Queue: "q", Steps: []spar.Step{s}, Policy: q}, now)
	return sc.jobs[id].occurrences[0].steps[0]
}

// learnCost has the model learn what a fill image costs the image "desk".
func (sc *Scheduler) learnCost(cost float64, now time.Time) {
	for range 200 {
		g := interf.ServingGroup{Job: "other", Image: "desk"}
		sc.interference.AssumeSlack(g, 2, 0.01, now)
		sc.interference.Observe(g, []interf.FillUsage{{Image: "audit", CPUFraction: 0.1}}, 1/(2-0.1*cost), now)
	}
}

// observeSlack has the scheduler see the slack of a worker's serving group for 20 s.
func (sc *Scheduler) observeSlack(node string, now time.Time, slack func(at time.Duration) float64) {
	g := interf.ServingGroup{Job: "serve-" + node, Image: "desk"}
	for d := -20 * time.Second; d <= 0; d += 100 * time.Millisecond {
		sc.swings.Observe(g, slack(d), 0.05, now.Add(d))
		sc.interference.Observe(g, nil, 1/slack(d), now.Add(d))
	}
}

func auditStep(sc *Scheduler, now time.Time) *step {
	return harmStep(sc, "audit", spar.Step{Count: 1, Size: spar.Size{CPUMilli: 2000, MemoryMB: 100}, Estimate: 2 * time.Second, Checkpoints: true, Fills: true, Image: "audit"}, now)
}

// Load that swings: all groups have the same slack now, on n0 it is about to fall and
// on n1 to rise. A fill that started on n0 would bring its tasks over their targets.
func TestFillAvoidsGroupAboutToPeak(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := harmFleet(0.1, now, 4, 4)
	sc.learnCost(8, now)
	for node, sign := range map[string]float64{"n0": -1, "n1": 1} {
		sc.observeSlack(node, now, func(at time.Duration) float64 { return 2.4 + sign*math.Sin(2*math.Pi*at.Seconds()/10) })
	}
	s := auditStep(sc, now)
	pool := sc.candidates(now)
	if falling, rising := sc.sustainablePace(pool[0], s), sc.sustainablePace(pool[1], s); falling != 0 || rising != 100 {
		t.Fatalf("paces %d and %d, want 0 beside a group about to peak and 100 beside the other", falling, rising)
	}
}

// More fills than undisturbed workers can take: those go where one task bears them,
// not where six do.
func TestFillGoesWhereFewestTasksBearIt(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := harmFleet(0.1, now, 6, 1, 6)
	sc.learnCost(6, now)
	for _, node := range []string{"n0", "n1", "n2"} {
		sc.observeSlack(node, now, func(time.Duration) float64 { return 2.05 })
	}
	s := auditStep(sc, now)
	p, ok := sc.bestPlacement(s.tasks[0], sc.candidates(now), now)
	if !ok || p.node != "n1" || p.pace != 100 {
		t.Fatalf("placed on %v at %d%%, want n1 at full pace", p.candidate, p.pace)
	}
}

// The harm of a fill must not exceed its limit at the pace that is chosen, and a
// higher limit must not slow it down.
func TestPaceKeepsToLimitOfHarm(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 3))
		cost, slack, last := 12*rng.Float64(), 1+2*rng.Float64(), 0
		for _, limit := range []float64{0.01, 0.05, 0.2, 1} {
			sc := harmFleet(limit, now, 1+int(seed%6))
			sc.learnCost(cost, now)
			sc.observeSlack("n0", now, func(time.Duration) float64 { return slack })
			s := auditStep(sc, now)
			w := sc.candidates(now)[0]
			pace := sc.sustainablePace(w, s)
			if pace < last || pace > 0 && sc.harmShare(w, s, pace) > 1+1e-9 {
				t.Fatalf("seed %d: pace %d at limit %v after %d, share %.2f of the limit", seed, pace, limit, last, sc.harmShare(w, s, pace))
			}
			last = pace
		}
	}
}

// Reported tail latencies scatter. A single one over its target, where the model
// leaves much slack, must not keep fills off the worker; two in a row must.
func TestSingleRoughTailKeepsNoFillsOff(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := harmFleet(0.1, now, 1)
	w := sc.workers["n0"]
	sc.observeSlack("n0", now, func(time.Duration) float64 { return 2.5 })
	w.addRun(&run{task: auditStep(sc, now).tasks[0], worker: w, number: 1, pace: 100, confirmed: true, percent: 10})
	for i, want := range []bool{false, true} {
		for r := range w.runs {
			if r.task.step.Standing {
				r.measured = 25
			}
		}
		now = now.Add(tailCheckInterval)
		sc.now = now
		sc.checkTails(w, now)
		if got := w.mayBeDisturbed(now); got != want {
			t.Fatalf("after report %d over target: disturbed %v, want %v", i+1, got, want)
		}
	}
}

// Many jobs wait for room, as in a burst of the large kind. Skipping those that need
// at least as much as one that found none must change no decision while harm is limited.
func TestShortagesChangeNoDecisionWithLimitedHarm(t *testing.T) {
	now := time.Unix(1000, 0)
	for seed := range uint64(300) {
		quick, full := randomFleet(seed, now), randomFleet(seed, now)
		quick.limits.FillHarm, full.limits.FillHarm = 0.08, 0.08
		full.scanAll = true
		quick.Plan(now)
		full.Plan(now)
		if got, want := quick.decisions(), full.decisions(); fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("seed %d: decisions %v, and %v when all workers are tried", seed, got, want)
		}
	}
}

// An operator asks which serving groups pay for the fills: the summary names the group
// beside which they run, and the time over target, once per interval.
func TestFillSummaryNamesWhoPays(t *testing.T) {
	now := time.Unix(1000, 0)
	sc := harmFleet(0.1, now, 2, 2)
	sc.learnCost(8, now)
	w := sc.workers["n1"]
	f := &run{task: auditStep(sc, now).tasks[0], worker: w, number: 1, pace: 100, confirmed: true, percent: 10}
	w.addRun(f)
	for r := range w.runs {
		if r.task.step.Standing {
			r.measured = 30
		}
	}
	w.tailsCheckedAt = now
	now = now.Add(500 * time.Millisecond)
	sc.now = now
	sc.checkTails(w, now)
	if f.pace == 100 {
		t.Fatal("the fill was not slowed down beside tasks over their targets")
	}
	f.pace = 100
	s, ok := sc.FillSummary(now)
	if !ok || s.OverTarget != time.Second || len(s.Groups) != 1 || s.Groups[0].Job != "serve-n1" || s.Groups[0].Given < 0.5 {
		t.Fatalf("summary %+v, %v", s, ok)
	}
	if _, again := sc.FillSummary(now.Add(time.Second)); again {
		t.Fatal("a second summary within the interval")
	}
}

// Load rises beside a fill at work: it must go on at a slack at which it could not
// start, and be slowed down once more tasks would be over their targets.
func TestRunningFillIsSlowedLaterThanNewOneWaits(t *testing.T) {
	now := time.Unix(1000, 0)
	for slack, want := range map[float64]struct{ start, run bool }{2.4: {true, true}, 1.65: {false, true}, 1.4: {false, false}} {
		sc := harmFleet(0.1, now, 2)
		sc.learnCost(4, now)
		sc.observeSlack("n0", now, func(time.Duration) float64 { return slack })
		s, w := auditStep(sc, now), sc.workers["n0"]
		if got := sc.sustainablePace(sc.candidates(now)[0], s) == 100; got != want.start {
			t.Errorf("slack %.2f: starts %v, want %v", slack, got, want.start)
		}
		f := &run{task: s.tasks[0], worker: w, number: 1, pace: 100, confirmed: true, percent: 10}
		w.addRun(f)
		sc.adjustFills(w, now)
		if got := f.pace == 100; got != want.run {
			t.Errorf("slack %.2f: pace %d, want full pace %v", slack, f.pace, want.run)
		}
	}
}
