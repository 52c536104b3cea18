package tasks

import (
	"context"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// PendingReport returns the ends and evictions of attempts that have not been
// confirmed as folded by an entry.
func (r *Runner) PendingReport() *wire.ReportRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := &wire.ReportRequest{Session: r.identity.Session}
	for _, t := range r.tasks {
		if t.endReport != nil {
			q.Ends = append(q.Ends, t.endReport)
		}
		if t.evictReport != nil {
			q.Evicts = append(q.Evicts, t.evictReport)
		}
	}
	return q
}

// RemoveReported removes the attempts whose reports were folded, here and on the
// platform. a is the entry's answer to the report q.
func (r *Runner) RemoveReported(ctx context.Context, q *wire.ReportRequest, a *wire.ReportAnswer) {
	refs := make([]*wire.TaskRef, 0, len(q.GetEnds())+len(q.GetEvicts()))
	for _, e := range q.GetEnds() {
		refs = append(refs, e.GetTask())
	}
	for _, e := range q.GetEvicts() {
		refs = append(refs, e.GetTask())
	}
	for i, folded := range a.GetFolded() {
		if folded && i < len(refs) {
			r.clearTask(ctx, refs[i].ID())
		}
	}
}

func (r *Runner) clearTask(ctx context.Context, id spar.TaskID) {
	r.mu.Lock()
	if t := r.tasks[id.Task()]; t != nil && t.id == id {
		delete(r.tasks, id.Task())
	}
	r.mu.Unlock()
	if err := r.platform.Clear(ctx, id); err != nil {
		r.Warn("could not clear an ended task", "task", id, "err", err)
	}
}
