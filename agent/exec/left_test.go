package exec

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
)

// A hold call gets no answer while the worker is at work, before or after it has
// deregistered. It may work on for seconds, so only a call that the end of the worker has cut
// off tells that it has left.
func TestCallWithoutAnAnswerDoesNotTellThatTheWorkerHasLeft(t *testing.T) {
	for name, tt := range map[string]struct {
		err  error
		late bool
		left bool
	}{
		"no answer to an earlier call": {errTimedOut, false, false},
		"no answer to a later call":    {errTimedOut, true, false},
		"earlier call disconnected":    {errClosed, false, true},
		"earlier call to a later life": {spar.ErrOtherLife, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, beats := newRoomSession(&leavingWorker{}, spar.Size{})
				begun := time.Now()
				time.Sleep(100 * time.Millisecond)
				beats.Deregister(workerLife.ID)
				if tt.late {
					begun = time.Now()
				}
				time.Sleep(100 * time.Millisecond)
				if left := s.recordLeft(t.Context(), s.life, begun, tt.err); left != tt.left || s.life.hasLeft() != tt.left {
					t.Errorf("left %v, recorded %v, want %v", left, s.life.hasLeft(), tt.left)
				}
			})
		})
	}
}

// A worker that seemed to have left answers again. The entries must not be told any longer
// that its runs are over.
func TestWorkerThatAnswersAgainHasNotLeft(t *testing.T) {
	l := newLifeRecord(workerLife)
	lists := spar.RunLists{Running: []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}}}
	l.recordLists(lists, time.Second)
	l.recordLeft()
	l.recordLists(lists, 2*time.Second)
	if l.hasLeft() {
		t.Error("a worker that lists its runs counts as gone")
	}
}

// A worker without runs leaves, and the owner hears it in a session. It may be killed before
// it has stored that, and the agent's machine may be gone within a second. All entries must
// be told at once: the owner may have stored a run that never reached the worker.
func TestAllEntriesAreToldOfADepartureThatTheOwnerHasHeard(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(200 * time.Millisecond)
		b.set(func() {
			if b.leaves != 1 {
				t.Errorf("the owner was told %d times, want 1", b.leaves)
			}
		})
		b.expect(t, 3, 0, true)
	})
}

// The session with the owner breaks while a worker that has deregistered still works. The
// hold call that ends with the session does not tell that the worker is gone.
func TestWorkerThatStillAnswersHasNotLeft(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		time.Sleep(200 * time.Millisecond)
		b.set(func() { b.down = true })
		time.Sleep(5 * time.Second)
		b.expect(t, 0, 0, false)
	})
}
