package tasks

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// victims returns the tasks to evict to make room for a size, in the order of
// the progress that they lose, least first. It returns nil if evicting all
// eligible tasks would not free enough.
func (r *Runner) victims(size spar.Size) []*localTask {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all []*localTask
	for _, t := range r.tasks {
		if t.stage == running && !t.spec.GetUrgent() && t.evictReason == spar.ReasonNone {
			all = append(all, t)
		}
	}
	slices.SortFunc(all, func(a, b *localTask) int { return int((a.unsaved() - b.unsaved()) / time.Millisecond) })
	free := r.ledger.Free(time.Now())
	for i, t := range all {
		if size.Fits(free) {
			return all[:i]
		}
		free = free.Add(t.spec.GetSize().Spar())
	}
	if size.Fits(free) {
		return all
	}
	return nil
}

// unsaved returns the progress since the last checkpoint.
func (t *localTask) unsaved() time.Duration { return t.status.Progress - t.status.Saved }
