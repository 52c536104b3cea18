package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/cockroachdb/errors"
)

// An operator asks any entry what would become of a job. The owner answers through
// another entry, at most so often, and nothing is submitted by that.
func TestOwnerExplainsAJobThroughAnotherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		d := newCrowded(ctx, t)
		defer func() {
			cancel()
			d.owner.stop()
			time.Sleep(time.Minute)
		}()
		e, err := d.client.Explain(t.Context(), *newcomer())
		if err != nil || e.Known || e.Admission.Reason != admit.Hopeless || len(e.Plan.Steps) != 1 || e.Plan.Steps[0].Waiting != 1 {
			t.Errorf("newcomer: %+v, %v", e, err)
		}
		if _, err := d.client.Explain(t.Context(), *newcomer()); !errors.Is(err, ErrBusy) {
			t.Errorf("second question at once: %v, want %v", err, ErrBusy)
		}
		time.Sleep(explainInterval)
		if e, err := d.client.Explain(t.Context(), spar.Job{ID: newcomer().ID}); err != nil || e.Known {
			t.Errorf("the newcomer was submitted: %+v, %v", e, err)
		}
		time.Sleep(explainInterval)
		e, err = d.client.Explain(t.Context(), spar.Job{ID: "backlog7"})
		if err != nil || !e.Known || len(e.Plan.Steps) != 1 || e.Plan.Steps[0].Waiting != 1 {
			t.Errorf("backlog7: %+v, %v", e, err)
		}
		time.Sleep(explainInterval)
		d.owner.stateMu.Lock()
		d.owner.scheduler.Cancel("backlog7", time.Now())
		d.owner.stateMu.Unlock()
		if e, err := d.client.Explain(t.Context(), spar.Job{ID: "backlog7"}); err != nil || e.Ended == "" {
			t.Errorf("ended job: %+v, %v", e, err)
		}
		d.peers.routes.Delete("e0")
		if _, err := d.client.Explain(t.Context(), *newcomer()); !errors.Is(err, ErrUnreachable) {
			t.Errorf("without an owner: %v, want %v", err, ErrUnreachable)
		}
	})
}
