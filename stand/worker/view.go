package worker

import (
	"maps"
	"slices"

	"github.com/berylspar/spar"
)

// Running returns the tasks whose runs are on the worker.
func (w *Worker) Running() []spar.TaskRef {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Keys(w.runs))
}
