package owner

import (
	"context"
	"time"

	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

const (
	// longPass is the duration from which a pass is logged: callers wait for the lock of
	// the state as long. longPassLogInterval is the shortest time between two lines.
	longPass            = 200 * time.Millisecond
	longPassLogInterval = 5 * time.Second
)

// loop plans, stores decisions and sends orders until the term ends. One append
// is in flight at a time; decisions made meanwhile go into the next.
func (t *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	stored := make(chan bool, 1)
	var inFlight *shard.Commit
	var rest <-chan time.Time
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
		case <-rest:
		case <-t.wake:
			track.Pause(ctx, batchDelay)
		}
		next, cut := t.decide(inFlight == nil)
		if rest = nil; cut {
			rest = time.After(time.Until(t.planAfter))
		}
		if next != nil {
			inFlight = next
			go func() { stored <- t.storeCommit(ctx, next) }()
		}
	}
}

// decide plans and sends the messages that need nothing stored. It returns the
// next commit, or nil if there is nothing to store or the store is not idle, and whether
// planning goes on as soon as it may.
func (t *term) decide(storeIdle bool) (next *shard.Commit, cut bool) {
	now := time.Now()
	var requests []shard.AdviceRequest
	t.stateMu.Lock()
	t.scheduler.Tick(now, now)
	mayPlan := t.isValid() && t.checkInputs(now)
	if cut = mayPlan && t.isPaused(now); mayPlan && !cut {
		t.scheduler.Plan(now)
		cut = t.scheduler.IsPassCut()
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
	if storeIdle {
		if c := t.scheduler.PrepareCommit(); !c.Empty() {
			next = c
			t.departures.prepared()
		}
	}
	took := time.Since(now)
	t.stateMu.Unlock()
	t.recordPass(took)
	for _, q := range requests {
		go t.requestAdvice(t.ctx, q)
	}
	return next, cut
}

// isPaused reports whether it is too soon after a long pass for the next one.
func (t *term) isPaused(now time.Time) bool { return now.Before(t.planAfter) }

// recordPass leaves as much time as a pass took to the others that wait for the lock and the
// processor.
func (t *term) recordPass(took time.Duration) {
	now := time.Now()
	t.passTime.Store(int64(took))
	if took > batchDelay {
		t.planAfter = now.Add(took)
	}
	t.Timer("pass").Record(took)
	if took >= longPass && now.Sub(t.longPassAt) >= longPassLogInterval {
		t.longPassAt = now
		t.Warn("planning pass was long", "took", took, "epoch", t.epoch)
	}
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
