package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
)

// The submission of a job that has ended is dropped before its state. A new owner must
// answer queries about the job from the state alone, ignore a submission that a caller
// repeats, and drop the state when the retention is over.
func TestEndedJobOutlivesItsSubmission(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.report("n1", ended(1, a, spar.EndDone))
	h.runCycle()
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 1 || got[0] != "j1" {
		t.Fatalf("submissions to be dropped: %v, want that of j1", got)
	}
	h.scheduler.SubmissionsDropped([]string{"j1"})
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 0 {
		t.Errorf("submissions to be dropped again: %v", got)
	}
	delete(h.jobs, "j1")
	h.replaceOwner(time.Second)
	h.expectState("j1", shard.Completed)
	h.connect("n1")
	h.submit("j1", "checks", shortStep(1))
	h.expectStarts(h.runCycle(), 0)
	h.advance(limits.Retention + time.Second)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 1 {
		t.Fatalf("expired jobs: %v, want j1", got)
	}
	h.scheduler.ForgetJobs([]string{"j1"})
	h.runCycle()
	if _, ok := h.state["j1"]; ok {
		t.Error("the state is kept beyond its retention")
	}
}

// A job that has not ended has a run, or its end is not stored: the next owner needs the
// submission to go on with it.
func TestSubmissionIsKeptUntilTheEndIsStored(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	h.submitAndStart("j1", "checks", shortStep(1))
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 0 {
		t.Errorf("submission of a running job is to be dropped: %v", got)
	}
	h.scheduler.Cancel("j1", h.now)
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 0 {
		t.Errorf("submission is to be dropped before the end is stored: %v", got)
	}
	h.runCycle()
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 0 {
		t.Errorf("submission of a job with a run is to be dropped: %v", got)
	}
}

// Owners change more often than the retention of a job lasts. Each must count it from the
// end of the job, or the jobs that a takeover reads would grow without bound.
func TestRetentionIsNotCountedAnewByEachOwner(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	for i, id := range []string{"j1", "j2", "j3", "j4", "j5"} {
		h.endJob("n1", id, int64(i+1))
		h.replaceOwner(time.Second)
		h.connect("n1")
		h.advance(limits.Retention / 4)
	}
	h.advance(storedEndError)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 1 || got[0] != "j1" {
		t.Errorf("expired jobs: %v, want j1", got)
	}
	h.expectState("j2", shard.Completed)
}

// storedEndError is how much longer than its retention a job may be kept by several owners.
const storedEndError = 6 * time.Second

// endJob has a worker carry out a job with one task, whose end is stored.
func (h *harness) endJob(node, id string, number int64) {
	h.Helper()
	a := h.submitAndStart(id, "checks", shortStep(1))
	h.report(node, ended(number, a, spar.EndDone))
	h.runCycle()
}

// The end of a job can not be stored for longer than its retention. The job must be kept:
// callers still see it as running, and the next owner would find its progress without its
// submission and forget it.
func TestRetentionCountsFromTheStoredEnd(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.report("n1", ended(1, a, spar.EndDone))
	h.advance(limits.Retention + time.Second)
	h.scheduler.Tick(h.now, h.now)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 0 {
		t.Fatalf("expired before the end is stored: %v", got)
	}
	h.runCycle()
	h.expectState("j1", shard.Completed)
	h.advance(limits.Retention - time.Second)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 0 {
		t.Errorf("expired %s after the end was shown: %v", limits.Retention-time.Second, got)
	}
	h.advance(2 * time.Second)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 1 {
		t.Errorf("expired after the retention: %v, want j1", got)
	}
}

// As above, and the owner changes after the end was stored: the next one must not count from
// the time at which the job was found to have ended.
func TestNextOwnerCountsTheRetentionFromTheStoredEnd(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.report("n1", ended(1, a, spar.EndDone))
	h.advance(limits.Retention)
	h.runCycle()
	h.runCycle()
	h.advance(limits.Retention / 2)
	h.endJob("n1", "j2", 2)
	h.replaceOwner(time.Second)
	h.advance(limits.Retention/2 - time.Second)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 0 {
		t.Errorf("expired %s after the end was shown: %v", limits.Retention-time.Second, got)
	}
	h.advance(storedEndError + 2*time.Second)
	if got := h.scheduler.ExpiredJobs(10, h.now); len(got) != 1 || got[0] != "j1" {
		t.Errorf("expired after the retention: %v, want j1", got)
	}
}

// A cancelled job's run is still on a worker that the next owner has not reached. If that
// owner drops the submission, the one after it does not know the run's size and starts more
// than the worker has room for (LIMIT).
func TestSubmissionIsKeptWhileARunMayBeOnAnUnreachedWorker(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	big := spar.Step{Count: 1, Size: spar.Size{CPUMilli: 16000, MemoryMB: 60000}, Estimate: time.Minute}
	a := h.submitAndStart("j1", "checks", big)
	h.report("n1", started(a))
	h.scheduler.Cancel("j1", h.now)
	h.runCycle()
	if got := h.scheduler.EndedSubmissions(10, h.now); len(got) != 0 {
		t.Fatalf("dropped with a run: %v", got)
	}
	// The owner is killed, and the next one as well after its first look; n1 was out of reach.
	h.replaceOwner(12 * time.Second)
	for _, id := range h.scheduler.EndedSubmissions(10, h.now) {
		delete(h.jobs, id)
	}
	h.replaceOwner(12 * time.Second)
	running := spar.Running{Task: a.Task, Run: a.Run, Percent: 10}
	h.connect("n1", running)
	h.runCycle()
	// The stop is not answered for more than a second.
	h.submit("j2", "checks", big)
	h.advance(1100 * time.Millisecond)
	if got := starts(h.runCycle()); len(got) != 0 {
		t.Errorf("started %v beside run %d of %v, which fills the worker", got[0].Task, a.Run, a.Task)
	}
}

// The clock of the next owner's entry is ahead by more than the retention. The job has ended
// seconds ago and must still be known (LOST); a submission that is repeated must not start it
// again (TWICE).
func TestClockThatJumpsDoesNotEndTheRetention(t *testing.T) {
	h := newHarness(t)
	h.connect("n1")
	a := h.submitAndStart("j1", "checks", shortStep(1))
	h.report("n1", ended(1, a, spar.EndDone))
	h.runCycle()
	h.advance(limits.Retention + 5*time.Second) // the time of day there, not the time that has passed
	h.replaceOwner(time.Second)
	h.advance(time.Second)
	expired := h.scheduler.ExpiredJobs(10, h.now)
	if len(expired) != 0 {
		t.Errorf("expired seconds after its end: %v", expired)
	}
	for _, id := range expired {
		delete(h.jobs, id)
	}
	h.scheduler.ForgetJobs(expired)
	h.connect("n1")
	h.submit("j1", "checks", shortStep(1))
	if got := starts(h.runCycle()); len(got) != 0 {
		t.Errorf("started again: %v", got[0].Task)
	}
	h.expectState("j1", shard.Completed)
}
