package exec

import (
	"context"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/track"
)

// leavingWorker lists its runs and ends until it is gone. It leaves calls without an answer
// while it is silent.
type leavingWorker struct {
	spar.Worker
	mu      sync.Mutex
	running []spar.Running
	ended   []spar.Ended
	gone    bool
	silent  bool
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
