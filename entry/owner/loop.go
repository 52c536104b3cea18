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
			t.coreMu.Lock()
			t.applyConfig()
			t.coreMu.Unlock()
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

// decide plans, sends what needs nothing stored, and returns what is to be
// stored, if there is anything and the store is free.
func (t *term) decide(storeIdle bool) *shard.Commit {
	now := time.Now()
	var questions []shard.Question
	t.coreMu.Lock()
	t.core.Tick(now, now)
	if t.isValid() && t.inputsAreFresh(now) {
		t.core.Plan(now)
		if t.adviser != nil {
			questions = t.core.Questions(now)
		}
	}
	for _, node := range t.core.Overdue(now) {
		if s := t.sessions[node]; s != nil {
			s.conn.Close()
		}
	}
	messages := t.core.Immediate()
	var next *shard.Commit
	if storeIdle {
		if c := t.core.Prepare(); !c.Empty() {
			next = c
		}
	}
	t.coreMu.Unlock()
	for _, q := range questions {
		go t.requestAdvice(t.ctx, q)
	}
	t.send(messages)
	return next
}

// isFresh tells whether cancels and closed domains are known up to lately.
func (t *term) inputsAreFresh(now time.Time) bool {
	return now.Sub(t.jobs.FreshAt()) < maxInputAge && now.Sub(t.config.FreshAt()) < maxInputAge
}

// save stores a commit.
func (t *term) storeCommit(ctx context.Context, c *shard.Commit) bool {
	if len(c.Records) > 0 {
		t.appendSeq++
		begun := time.Now()
		if !t.appendFenced(ctx, stateTopic, t.appendSeq, c.Records) {
			return false
		}
		t.Timer("append").Record(time.Since(begun))
	}
	if len(c.Drops) > 0 {
		t.dropSubmissions(ctx, c.Drops)
	}
	return true
}

// forget drops the submissions of ended jobs. What fails is dropped by a later
// owner, which finds the job ended again.
func (t *term) dropSubmissions(ctx context.Context, ids []string) {
	var records []spar.Record
	for _, id := range ids {
		records = append(records, spar.Record{Key: JobPrefix + id}, spar.Record{Key: CancelPrefix + id})
	}
	if err := t.write(ctx, JobsTopic, nil, records); err != nil {
		t.Warn("ended jobs not dropped", "jobs", len(ids), "err", err)
	}
}

// release sends what a stored commit allows.
func (t *term) sendCommitted(c *shard.Commit) {
	t.coreMu.Lock()
	messages := t.core.Committed(c, t.isValid())
	t.coreMu.Unlock()
	t.send(messages)
}

// send hands messages to the agents' sessions.
func (t *term) send(messages map[string]*link.OwnerMessage) {
	if len(messages) == 0 {
		return
	}
	t.coreMu.Lock()
	out := make(map[*session]*link.OwnerMessage, len(messages))
	for node, m := range messages {
		if s := t.sessions[node]; s != nil {
			out[s] = m
		}
	}
	t.coreMu.Unlock()
	for s, m := range out {
		s.enqueue(m)
	}
}
