package owner

import (
	"context"
	"time"

	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

// loop plans, stores decisions and sends orders until the term ends. One append
// is in flight at a time; decisions made meanwhile go into the next.
func (t *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	stored := make(chan bool, 1)
	var inFlight *shard.Commit
	for {
		select {
		case <-ctx.Done():
			if inFlight != nil {
				<-stored
			}
			return
		case ok := <-stored:
			if ok {
				t.sendCommitted(inFlight)
			}
			inFlight = nil
		case <-t.config.Changed():
			t.stateMu.Lock()
			t.applyConfig()
			t.stateMu.Unlock()
		case <-tick.C:
		case <-t.wake:
			track.Pause(ctx, batchDelay)
		}
		next := t.decide(inFlight == nil)
		if next != nil {
			inFlight = next
			go func() { stored <- t.storeCommit(ctx, next) }()
		}
	}
}

// decide plans and sends the messages that need nothing stored. It returns the
// next commit, or nil if there is nothing to store or the store is not idle.
func (t *term) decide(storeIdle bool) *shard.Commit {
	now := time.Now()
	var requests []shard.AdviceRequest
	t.stateMu.Lock()
	t.scheduler.Tick(now, now)
	if t.isValid() && t.checkInputs(now) {
		t.scheduler.Plan(now)
		t.reportBacklog(now)
		t.reportFills(now)
		if t.adviser != nil {
			requests = t.scheduler.AdviceRequests(now)
		}
	}
	for _, node := range t.scheduler.OverdueNodes(now) {
		if s := t.sessions[node]; s != nil {
			s.conn.Close()
		}
	}
	t.send(t.scheduler.StopAndPaceMessages())
	var next *shard.Commit
	if storeIdle {
		if c := t.scheduler.PrepareCommit(); !c.Empty() {
			next = c
			t.departures.prepared()
		}
	}
	t.passTime.Store(int64(time.Since(now)))
	t.stateMu.Unlock()
	for _, q := range requests {
		go t.requestAdvice(t.ctx, q)
	}
	return next
}

// storeCommit stores a commit. It reports whether the commit is stored; a job whose
// progress the store refuses has failed then.
func (t *term) storeCommit(ctx context.Context, c *shard.Commit) bool {
	if len(c.Records) > 0 {
		begun := time.Now()
		refused, err := t.appendProgress(ctx, c.Records)
		if err != nil {
			return false
		}
		t.Timer("append").Record(time.Since(begun))
		if len(refused) > 0 {
			t.stateMu.Lock()
			t.scheduler.RejectRecords(c, refused, time.Now())
			t.stateMu.Unlock()
		}
	}
	return true
}

// sendCommitted sends the messages that had to wait for a commit to be stored.
func (t *term) sendCommitted(c *shard.Commit) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	t.departures.stored()
	t.send(t.scheduler.FinishCommit(c, t.isValid()))
}

// send queues messages in the sessions of the agents, which are keyed by node. The lock
// of the state is held since the messages were made: an order of an earlier session must
// not reach the next one, which lists the runs before it carries out orders.
func (t *term) send(messages map[string]*link.OwnerMessage) {
	for node, m := range messages {
		if s := t.sessions[node]; s != nil {
			s.enqueue(m)
		}
	}
}
