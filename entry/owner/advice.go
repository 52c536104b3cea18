package owner

import (
	"context"
	"time"

	"github.com/berylspar/spar/shard"
)

// requestAdvice asks the adviser which workers may run a step and passes the
// answer to the scheduler. A failed request is passed on too: the scheduler expects
// one answer to each request.
func (t *term) requestAdvice(ctx context.Context, q shard.AdviceRequest) {
	asked := time.Now()
	tickets, valid, err := t.adviser.Advise(ctx, q.Step, q.Workers)
	if err != nil {
		t.Warn("advice request failed", "step", q.Step, "workers", len(q.Workers), "took", time.Since(asked), "err", err)
		t.Counter("advice_failed").Inc(1)
	} else {
		t.Info("advice received", "step", q.Step, "workers", len(q.Workers), "good", len(tickets), "valid", valid, "took", time.Since(asked))
	}
	t.Timer("advice").Record(time.Since(asked))
	t.stateMu.Lock()
	t.scheduler.RecordAdvice(q, tickets, asked.Add(valid), err == nil, time.Now())
	t.stateMu.Unlock()
	t.wakeLoop()
}
