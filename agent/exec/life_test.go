package exec

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"
	"github.com/uber-go/tally/v4"
)

var (
	errClosed   = errors.Mark(errors.New("connection closed"), spar.ErrDisconnected)
	errTimedOut = errors.Mark(errors.New("time-out"), spar.ErrUnknown)
)

func runOf(job string, run int64) runKey { return runKey{spar.TaskRef{Job: job}, run} }

// A worker that crashes says nothing. The agent must tell which runs it had, also
// those whose start was not answered, but neither ended runs nor starts that were
// sent to a worker that was already gone.
func TestLifeRecordNamesTheRunsOfACrash(t *testing.T) {
	l := newLifeRecord(workerLife)
	l.recordStart(runOf("done", 1), 1*time.Second)
	l.recordStart(runOf("old", 1), 2*time.Second)
	l.recordLists(spar.RunLists{
		Running: []spar.Running{{Task: spar.TaskRef{Job: "old"}, Run: 1}, {Task: spar.TaskRef{Job: "adopted"}, Run: 4}},
		Ended:   []spar.Ended{{Task: spar.TaskRef{Job: "done"}, Run: 1}},
	}, 3*time.Second)
	l.recordStart(runOf("unanswered", 2), 5*time.Second)
	l.recordStart(runOf("refused", 2), 5*time.Second)
	l.removeRun(runOf("refused", 2))
	l.recordResult(errClosed, 5010*time.Millisecond)
	l.recordStart(runOf("late", 1), 5100*time.Millisecond)
	l.recordResult(errTimedOut, 6*time.Second)
	e := l.end(time.Time{})
	ages := map[string]time.Duration{}
	for _, r := range e.Runs {
		ages[r.Task.Job] = r.Age
		if r.Unconfirmed != (r.Task.Job == "unanswered") {
			t.Errorf("run of %s: unconfirmed %v", r.Task.Job, r.Unconfirmed)
		}
	}
	if !e.Crashed || len(ages) != 3 || ages["old"] != 3010*time.Millisecond || ages["adopted"] != 2010*time.Millisecond || ages["unanswered"] != 10*time.Millisecond {
		t.Fatalf("crashed %v, ages %v", e.Crashed, ages)
	}
}

// An unanswered start that the next session's first list does not show never runs.
// It must not be reported as lost in a later crash, with an age that would clear its
// task of earlier ones.
func TestStartThatWasFencedOffIsNotReported(t *testing.T) {
	l := newLifeRecord(workerLife)
	l.recordStart(runOf("fenced", 3), time.Second)
	l.recordStart(runOf("running", 1), time.Second)
	l.recordFencedLists(spar.RunLists{Running: []spar.Running{{Task: spar.TaskRef{Job: "running"}, Run: 1}}}, 2*time.Second)
	l.recordResult(errClosed, 3*time.Second)
	if e := l.end(time.Time{}); len(e.Runs) != 1 || e.Runs[0].Task.Job != "running" {
		t.Fatalf("reported %+v", e.Runs)
	}
}

// A worker that was cut off or lost power was not crashed by what ran on it.
func TestLifeThatEndsInSilenceIsNoCrash(t *testing.T) {
	for _, tt := range []struct {
		name    string
		results []error
		crashed bool
	}{
		{"connection closed", []error{nil, errClosed, errTimedOut}, true},
		{"time-out first", []error{nil, errTimedOut, errClosed}, false},
		{"answered again after a closed connection", []error{nil, errClosed, nil, errTimedOut}, false},
		{"no failed call", []error{nil}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l := newLifeRecord(workerLife)
			for i, err := range tt.results {
				l.recordResult(err, time.Duration(i+1)*time.Second)
			}
			if e := l.end(time.Time{}); e.Crashed != tt.crashed {
				t.Fatalf("crashed %v, want %v", e.Crashed, tt.crashed)
			}
		})
	}
}

// The connections of a worker are refused or reset while it is at work, and it ends some time
// later. Its runs did not crash it when its connections failed: tasks would be given up that
// have no fault. A heartbeat from after that shows that it was up.
func TestWorkerThatWasHeardOfAfterItsConnectionsFailedIsNoCrash(t *testing.T) {
	first, second := spar.Life{ID: "i-1", Born: 1}, spar.Life{ID: "i-2", Born: 2}
	for name, heard := range map[string]bool{"heard of": true, "not heard of": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
				b := NewHeartbeats(c, HeartbeatFormat{})
				begun := time.Now()
				e := NewExecutor(c, "n", b, &fakeWorker{}, nil, nil, func() time.Duration { return time.Since(begun) })
				b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: first}, Seq: 1})
				l := e.recordLife(first)
				l.recordStart(runOf("a", 1), e.clock())
				time.Sleep(20 * time.Millisecond)
				l.recordResult(errClosed, e.clock())
				time.Sleep(time.Second)
				if heard {
					b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: first}, Seq: 2})
				}
				time.Sleep(time.Second)
				b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second}, Seq: 1})
				e.recordLife(second)
				if end := e.lifeEnds[0]; end.Crashed == heard || len(end.Runs) != 1 {
					t.Errorf("crashed %v with %d runs, want %v with 1", end.Crashed, len(end.Runs), !heard)
				}
			})
		})
	}
}

// A worker that drained or signed off was not crashed by what ran on it, and an
// agent that has just started knows nothing of the life before.
func TestAnnouncedEndsAreNotReported(t *testing.T) {
	first, second := spar.Life{ID: "i-1", Born: 1}, spar.Life{ID: "i-2", Born: 2}
	for _, tt := range []struct {
		name     string
		announce func(b *Heartbeats)
		reports  int
	}{
		{"no announcement", func(*Heartbeats) {}, 1},
		{"draining", func(b *Heartbeats) { b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: first, Draining: true}, Seq: 2}) }, 0},
		{"signed off", func(b *Heartbeats) { b.Deregister(first.ID) }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := common.Common{Logger: log.NewNopLogger(), Scope: tally.NoopScope}
			b := NewHeartbeats(c, HeartbeatFormat{})
			b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: first}, Seq: 1})
			e := NewExecutor(c, "n", b, &fakeWorker{}, nil, nil, func() time.Duration { return 0 })
			e.recordLife(first)
			tt.announce(b)
			b.Accept(Heartbeat{Info: spar.WorkerInfo{Life: second}, Seq: 1})
			e.recordLife(second)
			if len(e.lifeEnds) != tt.reports {
				t.Fatalf("%d ends reported, want %d", len(e.lifeEnds), tt.reports)
			}
		})
	}
}
