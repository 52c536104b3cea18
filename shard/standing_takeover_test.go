package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
)

// takeOverDuringTrial returns a fleet in which a task of a step has crashed its worker
// alone, and the worker of its trial is gone when a new owner takes over. The other three
// tasks of the step have ended.
func takeOverDuringTrial(t *testing.T) *fleet {
	f := newFleet(t, 6)
	step := halfWorkerStep(4)
	step.MaxPerWorker = 1
	f.submit("last1", "watches", step)
	f.play(2 * fleetTick)
	n := f.crashNewest()
	f.begin(n)
	f.play(2 * fleetTick)
	f.silence(f.newest())
	for _, n := range f.nodes {
		for r := range n.runs {
			if n.up {
				f.end(n, r, spar.EndFailed)
			}
		}
	}
	f.replaceOwner(11 * time.Second)
	for _, n := range f.nodes {
		if n.up {
			f.open(n)
		}
	}
	return f
}

// All tasks of a step wait until the leases of a worker that is gone end, since its last run
// was the trial of one that had crashed a worker alone.
func TestStandingTasksDoNotWaitForTrialOnGoneWorker(t *testing.T) {
	f := takeOverDuringTrial(t)
	f.expectStandingRuns(3)
}

// What has become of a trial is not known, and the other tasks of the step crash their
// workers as well. If all of them start at once, they take as many workers down.
func TestOneTaskStartsWhileTrialOfItsStepIsUnknown(t *testing.T) {
	f := takeOverDuringTrial(t)
	f.timeToRun(1)
	if n := f.standingRuns(); n != 1 {
		t.Fatalf("%d standing tasks have started at once, want 1", n)
	}
	f.crashNewest()
	f.play(1500 * time.Millisecond)
	if n := f.standingRuns(); n != 0 {
		t.Errorf("%d standing tasks run beside a task of their step whose worker has just crashed", n)
	}
}
