package owner

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
)

// loop decides, stores and orders until the term ends. One append is in flight
// at a time; what gathers meanwhile goes with the next.
func (t *term) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	stored := make(chan bool, 1)
	var flying *shard.Commit
	for {
		select {
		case <-ctx.Done():
			if flying != nil {
				<-stored
			}
			return
		case ok := <-stored:
			if ok {
				t.release(flying)
			}
			flying = nil
		case <-t.config.Changed():
			t.coreMu.Lock()
			t.configure()
			t.coreMu.Unlock()
		case <-tick.C:
		case <-t.wake:
			track.Pause(ctx, gather)
		}
		next := t.decide(flying == nil)
		if next != nil {
			flying = next
			go func() { stored <- t.save(ctx, next) }()
		}
	}
}

// decide plans, sends what needs nothing stored, and returns what is to be
// stored, if there is anything and the store is free.
func (t *term) decide(free bool) *shard.Commit {
	now := time.Now()
	var questions []shard.AdviceRequest
	t.coreMu.Lock()
	t.core.Tick(now, now)
	if t.holds() && t.isFresh(now) {
		t.core.Plan(now)
		if t.adviser != nil {
			questions = t.core.AdviceRequests(now)
		}
	}
	for _, node := range t.core.OverdueNodes(now) {
		if s := t.sessions[node]; s != nil {
			s.conn.Close()
		}
	}
	messages := t.core.StopAndPaceMessages()
	var next *shard.Commit
	if free {
		if c := t.core.PrepareCommit(); !c.Empty() {
			next = c
		}
	}
	t.coreMu.Unlock()
	for _, q := range questions {
		go t.consult(t.ctx, q)
	}
	t.send(messages)
	return next
}

// isFresh tells whether cancels and closed domains are known up to lately.
func (t *term) isFresh(now time.Time) bool {
	return now.Sub(t.jobs.FreshAt()) < staleAfter && now.Sub(t.config.FreshAt()) < staleAfter
}

// save stores a commit.
func (t *term) save(ctx context.Context, c *shard.Commit) bool {
	if len(c.Records) > 0 {
		t.seq++
		begun := time.Now()
		if !t.append(ctx, stateTopic, t.seq, c.Records) {
			return false
		}
		t.Timer("append").Record(time.Since(begun))
	}
	if len(c.DroppedJobs) > 0 {
		t.forget(ctx, c.DroppedJobs)
	}
	return true
}

// forget drops the submissions of ended jobs. What fails is dropped by a later
// owner, which finds the job ended again.
func (t *term) forget(ctx context.Context, ids []string) {
	var records []spar.Record
	for _, id := range ids {
		records = append(records, spar.Record{Key: JobPrefix + id}, spar.Record{Key: CancelPrefix + id})
	}
	if err := t.write(ctx, JobsTopic, nil, records); err != nil {
		t.Warn("ended jobs not dropped", "jobs", len(ids), "err", err)
	}
}

// release sends what a stored commit allows.
func (t *term) release(c *shard.Commit) {
	t.coreMu.Lock()
	messages := t.core.FinishCommit(c, t.holds())
	t.coreMu.Unlock()
	t.send(messages)
}

// send hands messages to the agents' sessions.
func (t *term) send(messages map[string]*link.Down) {
	if len(messages) == 0 {
		return
	}
	t.coreMu.Lock()
	out := make(map[*session]*link.Down, len(messages))
	for node, m := range messages {
		if s := t.sessions[node]; s != nil {
			out[s] = m
		}
	}
	t.coreMu.Unlock()
	for s, m := range out {
		s.push(m)
	}
}
