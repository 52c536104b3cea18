package exec

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
)

// failingWorker is a hangingWorker whose hold calls fail with an error, if it is set.
type failingWorker struct {
	*hangingWorker
	holdErr error
}

func (w *failingWorker) Hold(context.Context, spar.Target, int64, int64, time.Duration) (spar.RunLists, error) {
	return spar.RunLists{}, w.holdErr
}

// A worker crashes, and its hold calls fail until the session ends. A start call that is
// sent to it meanwhile may be carried out late, after it has restarted under its name, when
// the owner has long given the task elsewhere (found by random runs, seed 1168).
func TestNoFirstStartCallIsSentWhileHoldCallsFail(t *testing.T) {
	disconnected := errors.Mark(errors.New("connection closed"), spar.ErrDisconnected)
	for name, holdErr := range map[string]error{"crashed worker": disconnected, "silent worker": errTimedOut} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &failingWorker{newHangingWorker(), holdErr}
				s, _ := newRoomSession(w, spar.Size{})
				begun := time.Now()
				s.clock = func() time.Duration { return time.Since(begun) + time.Second }
				s.ownerHeardAt = s.clock()
				ctx, cancel := context.WithCancel(t.Context())
				failed := time.Now()
				if _, err := s.listWorker(ctx, 0, 0, 0); err == nil {
					t.Fatal("the hold call does not fail")
				}
				s.handleMessage(ctx, startMessage("a"))
				time.Sleep(1500 * time.Millisecond)
				synctest.Wait()
				if at := w.lastStart(runOf("a", 1)); !at.Before(failed) {
					t.Errorf("a start call is sent %s after a hold call has failed", at.Sub(failed))
				}
				w.answer()
				w.holdErr = nil
				if _, err := s.listWorker(ctx, 0, 0, 0); err != nil {
					t.Fatal(err)
				}
				time.Sleep(callTime)
				synctest.Wait()
				if len(s.outcomes) != 1 || s.outcomes[0].Result != spar.StartDone {
					t.Errorf("outcomes %+v after the worker has answered, want the run started", s.outcomes)
				}
				cancel()
			})
		})
	}
}
