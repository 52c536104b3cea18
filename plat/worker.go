package plat

import (
	"context"
	"time"

	"github.com/berylspar/spar"
)

// Worker is the worker API of one worker.
type Worker struct {
	client client
}

var _ spar.Platform = (*Worker)(nil)

// NewWorker returns the API of a worker served at a base address.
func NewWorker(base, worker string) *Worker {
	return &Worker{client: newClient(base + "/workers/" + worker)}
}

// Start runs a task.
func (w *Worker) Start(ctx context.Context, s spar.Start) (spar.TaskStatus, error) {
	return call[spar.TaskStatus](ctx, w.client, "/start", s, 0)
}

// Renew extends the leases of tasks to a time of the platform's clock.
func (w *Worker) Renew(ctx context.Context, until time.Duration, tasks []spar.TaskID) error {
	_, err := call[spar.Listing](ctx, w.client, "/renew", RenewRequest{UntilNS: int64(until), Tasks: tasks}, 0)
	return err
}

// Throttle caps the processors of a task.
func (w *Worker) Throttle(ctx context.Context, id spar.TaskID, cpuMilli int64) error {
	_, err := call[spar.TaskStatus](ctx, w.client, "/throttle", ThrottleRequest{ID: id, CPUMilli: cpuMilli}, 0)
	return err
}

// Checkpoint saves the progress of a task.
func (w *Worker) Checkpoint(ctx context.Context, id spar.TaskID) (spar.TaskStatus, error) {
	return call[spar.TaskStatus](ctx, w.client, "/checkpoint", StopRequest{ID: id}, 0)
}

// Stop ends a task.
func (w *Worker) Stop(ctx context.Context, id spar.TaskID, save bool) (spar.TaskStatus, error) {
	return call[spar.TaskStatus](ctx, w.client, "/stop", StopRequest{ID: id, Save: save}, 0)
}

// List returns all tasks that were not cleared.
func (w *Worker) List(ctx context.Context) (spar.Listing, error) {
	return call[spar.Listing](ctx, w.client, "/list", nil, 0)
}

// Clear forgets a task that has ended.
func (w *Worker) Clear(ctx context.Context, id spar.TaskID) error {
	_, err := call[spar.TaskStatus](ctx, w.client, "/clear", StopRequest{ID: id}, 0)
	return err
}
