package owner

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/cockroachdb/errors"
)

// An owner that can not read the submissions any more is asked for a job that another
// entry has just accepted. It must not answer that there is no such job (found by the
// soak, seed 902).
func TestOwnerThatCannotReadSubmissionsDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := store.NewClient(&store.Store{}, 1)
		tm := newTestTerm(client)
		ctx, cancel := context.WithCancel(t.Context())
		done := tm.jobs.Run(ctx)
		time.Sleep(100 * time.Millisecond)
		if r, err := tm.stateOf("5c0e7a21d94b36f8"); err != nil || r.Known {
			t.Errorf("before: known %v, %v", r.Known, err)
		}
		client.SetFaults(store.Faults{Refuse: true})
		time.Sleep(jobsReadWait)
		if r, err := tm.stateOf("5c0e7a21d94b36f8"); !errors.Is(err, ErrUnreachable) {
			t.Errorf("without the store: known %v, %v", r.Known, err)
		}
		client.SetFaults(store.Faults{})
		time.Sleep(2 * jobsReadWait)
		// On an idle topic the last read may be a little too old at times.
		r, err := tm.stateOf("5c0e7a21d94b36f8")
		for end := time.Now().Add(jobsReadWait); err != nil && time.Now().Before(end); r, err = tm.stateOf("5c0e7a21d94b36f8") {
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil || r.Known {
			t.Errorf("with the store again: known %v, %v", r.Known, err)
		}
		cancel()
		<-done
	})
}

// An owner that has not read the submissions yet is asked for a job. The error must say
// so: an age of 292 years points at the clock.
func TestSubmissionsThatWereNotReadHaveNoAge(t *testing.T) {
	tm := newTestTerm(store.NewClient(&store.Store{}, 1))
	_, err := tm.stateOf("5c0e7a21d94b36f8")
	if !errors.Is(err, ErrUnreachable) || strings.Contains(err.Error(), "ago") || !strings.Contains(err.Error(), "not been read yet") {
		t.Errorf("got %v, want that submissions have not been read yet", err)
	}
}
