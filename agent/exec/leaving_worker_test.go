package exec

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
)

// leavingWorker lists its runs and ends unless one of its states tells otherwise.
type leavingWorker struct {
	spar.Worker
	mu      sync.Mutex
	running []spar.Running
	ended   []spar.Ended
	// gone has connections refused, silent has calls get no answer, and replaced has them
	// answered by a later life.
	gone, silent, replaced bool
	// calls are the hold calls that were answered.
	calls []holdCall
}

type holdCall struct {
	token, acked, until int64
	at                  time.Time
}

func (w *leavingWorker) Hold(ctx context.Context, t spar.Target, acked, until int64, wait time.Duration) (spar.RunLists, error) {
	track.Pause(ctx, min(wait, 50*time.Millisecond))
	if ctx.Err() != nil {
		return spar.RunLists{}, errTimedOut
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.replaced:
		return spar.RunLists{}, spar.ErrOtherLife
	case w.gone:
		return spar.RunLists{}, errClosed
	case w.silent:
		return spar.RunLists{}, errTimedOut
	}
	w.calls = append(w.calls, holdCall{t.Token, acked, until, time.Now()})
	l := spar.RunLists{Clock: 1, Born: workerLife.Born, Running: w.running}
	for _, e := range w.ended {
		if e.Number > acked {
			l.Ended = append(l.Ended, e)
		}
	}
	return l, nil
}

func (w *leavingWorker) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}
