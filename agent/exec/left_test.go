package exec

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
)

// A hold call fails while the worker is at work, before or after it has deregistered: it gets
// no answer, or its connection is reset or refused. The worker may work on for seconds, so
// only the answer of a later life, the end of the leases, or that nothing was running tells
// that nothing runs there any more.
func TestFailedCallDoesNotTellThatTheWorkerHasLeft(t *testing.T) {
	const lease = 5 * time.Second
	for name, tt := range map[string]struct {
		err error
		// late reports that the call is made after the deregistration, and empty that
		// nothing runs on the worker.
		late, empty bool
		// after is the time from the deregistration to the end of the call.
		after time.Duration
		left  bool
	}{
		"no answer to an earlier call":                     {errTimedOut, false, false, time.Second, false},
		"no answer to a later call":                        {errTimedOut, true, false, time.Second, false},
		"no answer when the leases have ended":             {errTimedOut, true, false, 6 * time.Second, true},
		"no answer of an empty worker":                     {errTimedOut, true, true, time.Second, true},
		"no answer to an earlier call of an empty worker":  {errTimedOut, false, true, time.Second, false},
		"earlier call disconnected":                        {errClosed, false, false, time.Second, false},
		"later call disconnected":                          {errClosed, true, false, time.Second, false},
		"later call disconnected shortly before lease end": {errClosed, true, false, lease, false},
		"disconnected when the leases have ended":          {errClosed, true, false, 6 * time.Second, true},
		"empty worker disconnected":                        {errClosed, true, true, time.Second, true},
		"earlier call of an empty worker disconnected":     {errClosed, false, true, time.Second, false},
		"earlier call to a later life":                     {spar.ErrOtherLife, false, false, time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, beats := newRoomSession(&leavingWorker{}, spar.Size{})
				epoch := time.Now()
				s.clock = func() time.Duration { return time.Since(epoch) }
				s.life.beginLeases(0, lease, lease)
				if !tt.empty {
					s.life.recordStart(runOf("a", 1), 0)
				}
				begun := time.Now()
				time.Sleep(100 * time.Millisecond)
				beats.Deregister(workerLife.ID)
				if tt.late {
					begun = time.Now()
				}
				time.Sleep(tt.after)
				if left := s.recordLeft(t.Context(), s.life, begun, tt.err); left != tt.left || s.life.hasLeft() != tt.left {
					t.Errorf("left %v, recorded %v, want %v", left, s.life.hasLeft(), tt.left)
				}
			})
		})
	}
}

// The connections between an agent and its worker are reset while the worker deregisters, so
// that it is not told that this has arrived, and works on for some seconds. No entry must be
// told that its runs are over before they are.
func TestWorkerWhoseConnectionsAreResetHasNotLeft(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.set(func() { b.acks = true })
		b.beat(2, true)
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "a"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(100 * time.Millisecond)
		b.worker.change(func() { b.worker.gone = false })
		time.Sleep(3 * time.Second)
		b.set(func() {
			if b.leaves > 0 {
				t.Error("the owner was told that a worker that works has left")
			}
		})
		b.expect(t, 3, 0, false)
		b.worker.change(func() { b.worker.running, b.worker.ended = nil, endsOf("a") })
		time.Sleep(100 * time.Millisecond)
		b.worker.change(func() { b.worker.gone = true })
		time.Sleep(200 * time.Millisecond)
		b.expect(t, 3, 0, true)
	})
}

// A worker lists its ends in pages. One with ends that it has not listed may not be taken for
// empty: what they tell would be unknown when their tasks start again.
func TestWorkerWithUnlistedEndsHasNotLeft(t *testing.T) {
	s, beats := newRoomSession(&leavingWorker{}, spar.Size{})
	s.life.recordFencedLists(spar.RunLists{Ended: endsOf("a"), MoreEnds: true}, 0)
	s.life.beginLeases(0, 5*time.Second, 5*time.Second)
	beats.Deregister(workerLife.ID)
	if s.recordLeft(t.Context(), s.life, time.Now(), errClosed) {
		t.Error("a worker with ends that it has not listed counts as gone")
	}
	s.life.recordLists(spar.RunLists{Ended: endsOf("a", "b")}, 0)
	if !s.recordLeft(t.Context(), s.life, time.Now(), errClosed) {
		t.Error("a worker without runs that has listed all ends does not count as gone")
	}
}

// A start order is handled while a worker without runs is found to have left. A start call
// that is sent after the entries were told so could begin a run beside one elsewhere.
func TestNoStartCallIsSentOnceNoLeaseIsExtended(t *testing.T) {
	s, beats := newRoomSession(&leavingWorker{}, spar.Size{})
	s.life.beginLeases(0, 5*time.Second, 5*time.Second)
	beats.Deregister(workerLife.ID)
	s.departures = &departureSender{heartbeats: beats, changed: make(chan struct{}, 1)}
	if !s.recordLeft(t.Context(), s.life, time.Now(), errClosed) {
		t.Fatal("a worker without runs that has deregistered does not count as gone")
	}
	result, err := s.callStart(t.Context(), spar.StartOrder{Task: spar.TaskRef{Job: "a"}, Run: 1})
	if result != spar.StartDraining || err != nil {
		t.Errorf("result %q, error %v, want %q", result, err, spar.StartDraining)
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

// A worker leaves with a run on it, and its machine starts a later life at its address. The
// answer of that life proves the end, so the entries must be told at once that it is over.
func TestAllEntriesAreToldThatALaterLifeHasAnswered(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.running = []spar.Running{{Task: spar.TaskRef{Job: "b"}, Run: 1}} })
		time.Sleep(time.Second)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.replaced = true })
		time.Sleep(200 * time.Millisecond)
		b.expect(t, 3, 0, true)
	})
}

// A worker has ended a run and leaves, and the owner that heard of the end is killed before it
// has stored that. The worker is at work behind a fault of its connections: if the next owner
// is told that it has left without the end, the run starts again, and the worker lists the end
// when it is reached again.
func TestNewOwnerIsToldTheEndsOfAWorkerThatHasLeft(t *testing.T) {
	testDeparture(t, func(t *testing.T, b *departureBench) {
		b.worker.change(func() { b.worker.ended = endsOf("a", "b") })
		time.Sleep(time.Second)
		b.set(func() { b.down = true })
		time.Sleep(200 * time.Millisecond)
		b.beats.Deregister(workerLife.ID)
		b.worker.change(func() { b.worker.gone = true })
		b.set(func() { b.down = false })
		time.Sleep(time.Second)
		b.set(func() {
			if b.leaves == 0 || len(b.leftEnds) != 2 {
				t.Errorf("the owner was told %d times, with %d ends, want 2", b.leaves, len(b.leftEnds))
			}
		})
	})
}
