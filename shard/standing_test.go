package shard_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// maxTimeToRun is how long a standing task may be without a run while nothing is disturbed.
const maxTimeToRun = 3 * time.Second

func (f *fleet) expectStandingRuns(n int) {
	f.Helper()
	if d := f.timeToRun(n); d > maxTimeToRun {
		e := f.eventsNamed("standing task waits")
		f.Errorf("%d standing tasks run again after %s: %s", n, d, e[len(e)-1].Reason)
	}
}

// hopelessStep is a step of tasks that fail in jobs whose ID begins with bad.
func hopelessStep() spar.Step {
	return spar.Step{Count: 40, Size: spar.Size{CPUMilli: 250, MemoryMB: 500}, Estimate: time.Second}
}

// submitHopeless submits jobs for some time of which all tasks fail.
func (f *fleet) submitHopeless(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.play(200 * time.Millisecond) {
		f.submit(fmt.Sprintf("bad-%d", f.now.UnixNano()), "plans", hopelessStep())
	}
}

// Tasks of hopeless jobs fail on all workers, which are avoided for their failures then. A
// standing task that arrives in that time finds no worker as long as they go on.
func TestStandingTaskStartsWhereOthersFail(t *testing.T) {
	f := newFleet(t, 4)
	f.submitHopeless(2 * time.Second)
	f.submit("last1", "watches", halfWorkerStep(1))
	f.submitHopeless(maxTimeToRun)
	if n := f.standingRuns(); n != 1 {
		t.Errorf("%d standing runs after %s", n, maxTimeToRun)
	}
}

// A standing task is suspected of a crash, and on the worker that has room for it a task of
// another job fails from time to time. The trial waits for ever for one without failures.
func TestStandingSuspectStartsWhereOthersFail(t *testing.T) {
	f := newFleet(t, 1)
	failOnce := func(n int) {
		f.submit(fmt.Sprintf("bad-%d", n), "plans", shortStep(1))
		f.play(maxTimeToRun)
	}
	for n := range 4 {
		failOnce(n)
	}
	f.add()
	f.submit("last1", "watches", halfWorkerStep(1))
	f.play(2 * fleetTick)
	n := f.crashNewest()
	n.size.CPUMilli = 100
	f.begin(n)
	for n := 4; n < 8; n++ {
		failOnce(n)
	}
	if n := f.standingRuns(); n != 1 {
		t.Errorf("%d standing runs %s after the crash was reported", n, 4*maxTimeToRun)
	}
}

// A standing task was lost alone, just after its start, in the crash of the only worker that
// has room for it. It waits for another one for ever, since there are others, all of them
// full.
func TestStandingTaskReturnsToWorkerThatItCrashedAlone(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("last0", "watches", halfWorkerStep(2))
	f.play(time.Second)
	f.add()
	f.submit("last1", "watches", halfWorkerStep(1))
	f.play(2 * fleetTick)
	n := f.nodes[1]
	f.crash(n)
	f.begin(n)
	f.expectStandingRuns(3)
}

// Many tasks were lost in the crash of the only worker with room, and start there again one
// after another, each as a trial for which the worker is kept free. A standing task of
// another job waits until the last one is done.
func TestStandingTaskStartsBetweenTrialsOfOthers(t *testing.T) {
	f := newFleet(t, 1)
	f.submit("last0", "watches", halfWorkerStep(2))
	f.play(time.Second)
	f.add()
	f.submit("last1", "watches", halfWorkerStep(1))
	f.play(time.Second)
	f.submit("j1", "plans", shortStep(30))
	f.submit("j2", "plans", shortStep(30))
	f.play(2 * fleetTick)
	n := f.nodes[1]
	f.crash(n)
	f.begin(n)
	f.expectStandingRuns(3)
}

// A task of a step crashed its worker alone, just after its start, and others of the step
// were lost with it. No worker is empty. They wait until the first one has had its trial,
// for which it waits for an empty worker, and until it is cleared after that.
func TestStandingTasksStartAfterTrialOfTheirStep(t *testing.T) {
	f := newFleet(t, 7)
	small := spar.Step{Count: 7, Standing: true, Size: spar.Size{CPUMilli: 100}, MaxPerWorker: 1}
	large := halfWorkerStep(11)
	large.Size.CPUMilli = 7000
	f.submit("last0", "watches", small)
	f.submit("last1", "watches", large)
	f.play(time.Second)
	f.endOne("last1")
	f.play(2 * fleetTick)
	n := f.crashNewest()
	n.size.CPUMilli = 50
	f.begin(n)
	f.expectStandingRuns(17)
}

// A task of another job crashes its worker alone and, in its trial, the next one, which
// stays away. Until the leases there end it takes the one slot for such trials, also from a
// standing task that was lost alone in a crash.
func TestStandingTaskNeedsNoTrialSlot(t *testing.T) {
	f := newFleet(t, 4)
	f.submit("j1", "plans", shortStep(1))
	f.play(fleetTick)
	n := f.crashNewest()
	f.begin(n)
	f.play(2 * fleetTick)
	f.crashNewest()
	f.submit("last1", "watches", halfWorkerStep(1))
	f.play(2 * fleetTick)
	n = f.crashNewest()
	f.begin(n)
	f.expectStandingRuns(1)
}

// A suspect has outlived its trial when its worker falls silent. Another task of its step
// that was lost in a crash waits until the leases there end.
func TestStandingTaskDoesNotWaitForOutlivedTrial(t *testing.T) {
	f := newFleet(t, 4)
	step := halfWorkerStep(2)
	step.MaxPerWorker = 1
	f.submit("last1", "watches", step)
	f.play(2 * fleetTick)
	n := f.crashNewest()
	n.lifeEnds[0].Runs = append(n.lifeEnds[0].Runs, link.LostRun{Task: spar.TaskRef{Job: "other"}, Run: 1, Age: fleetTick})
	f.begin(n)
	f.play(600 * time.Millisecond)
	newest := f.newest()
	other := f.nodes[slices.IndexFunc(f.nodes, func(n *fleetNode) bool { return n != newest && len(n.runs) > 0 })]
	for r := range other.runs {
		f.end(other, r, spar.EndFailed)
	}
	f.play(2 * fleetTick)
	f.silence(newest)
	n = f.crashNewest()
	f.begin(n)
	f.expectStandingRuns(1)
}
