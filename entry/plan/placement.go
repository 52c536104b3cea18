package plan

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/wire"
)

// startOffer places a task in the background. It reports false, and starts
// nothing, when maxOffersInProgress offers are in progress.
func (p *Planner) startOffer(ctx context.Context, o *offer, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.inProgress) >= maxOffersInProgress {
		return false
	}
	key := o.id.Task()
	delete(p.waitReasons, key)
	p.inProgress[key] = offerInProgress{team: o.spec.GetTeam(), size: o.spec.GetSize().Spar(), expires: now.Add(offerTimeout)}
	p.background.Go(func() {
		p.place(ctx, o)
		p.mu.Lock()
		delete(p.inProgress, key)
		p.mu.Unlock()
	})
	return true
}

// place reserves resources for a task, claims it and has the agent run it.
func (p *Planner) place(ctx context.Context, o *offer) {
	if reason := p.reserve(ctx, o); reason != spar.ReasonNone {
		p.recordWaitReason(o, reason)
		return
	}
	if !p.claim(ctx, o) {
		return
	}
	p.AddDecision(o.id.Task(), "placed", spar.ReasonNone, o.worker)
	p.runTask(ctx, o)
}

// agentClient returns a client for the control address of a worker's agent, if
// the worker is known.
func (p *Planner) agentClient(worker string) (wire.AgentClient, bool) {
	a, ok := p.table.Find(worker)
	if !ok {
		return nil, false
	}
	address := a.State().GetControlAddress()
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[address]
	if c == nil {
		c = wire.NewAgentClient(p.http, "http://"+address)
		p.clients[address] = c
	}
	return c, true
}

// reserve reserves resources for a task at the agent. It returns the reason of a
// refusal or failure.
func (p *Planner) reserve(ctx context.Context, o *offer) spar.Reason {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	c, ok := p.agentClient(o.worker)
	if !ok {
		return spar.ReasonNoWorker
	}
	a, err := c.Reserve(ctx, connect.NewRequest(&wire.ReserveRequest{
		Session: o.session, Task: wire.RefOf(o.id), Size: o.spec.GetSize(), Kind: o.spec.GetKind(),
		Domain: o.domain, Urgent: o.spec.GetUrgent(), Team: o.spec.GetTeam(),
	}))
	if err != nil {
		return spar.ReasonNoAnswer
	}
	if !a.Msg.GetReserved() {
		return spar.Reason(a.Msg.GetReason())
	}
	return spar.ReasonNone
}

// claim appends the claim of the attempt to the log and reports whether it is
// valid. A claim that is not read back in time may still reach the log. The entry
// at which the agent renews then finds the task missing there and has it run.
func (p *Planner) claim(ctx context.Context, o *offer) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	a, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Claim{Claim: &wire.Claim{
		Task: wire.RefOf(o.id), Worker: o.worker, Session: o.session,
	}}})
	if err != nil {
		p.recordWaitReason(o, spar.ReasonLogDown)
		return false
	}
	if !a.Outcome.IsValid() {
		p.AddDecision(o.id.Task(), "claim void", a.Outcome.Reason(), o.worker)
		return false
	}
	return true
}

// runTask requests the agent to run a claimed task. An agent that has refused an
// attempt never runs it, so the attempt is then ended by an eviction record.
func (p *Planner) runTask(ctx context.Context, o *offer) {
	answer, ok := p.sendRun(ctx, o)
	if !ok || !answer.GetRefused() {
		return
	}
	p.AddDecision(o.id.Task(), "run refused", spar.Reason(answer.GetReason()), o.worker)
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	_, err := p.tail.Append(ctx, &wire.Record{By: p.name, Body: &wire.Record_Evict{Evict: &wire.Evict{
		Task: wire.RefOf(o.id), Reason: answer.GetReason(),
	}}})
	if err != nil {
		p.Warn("eviction record of a refused attempt not appended", "task", o.id, "err", err)
	}
}

// sendRun sends the run request and returns the answer, if there is one.
func (p *Planner) sendRun(ctx context.Context, o *offer) (*wire.RunAnswer, bool) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	c, ok := p.agentClient(o.worker)
	if !ok {
		return nil, false
	}
	a, err := c.Run(ctx, connect.NewRequest(&wire.RunRequest{
		Session: o.session, Task: wire.RefOf(o.id), Spec: o.spec, Checkpoint: o.checkpoint, ProgressMs: o.progressMS,
	}))
	if err != nil {
		p.Warn("run request failed", "task", o.id, "worker", o.worker, "err", err)
		return nil, false
	}
	return a.Msg, true
}

// ResendMissing records the claimed tasks that the agent of a session does not
// list, and sends the run requests of those that stay missing again. This is
// safe, since run requests are idempotent.
func (p *Planner) ResendMissing(ctx context.Context, session string, missing []spar.TaskID) {
	now := time.Now()
	var due []spar.TaskID
	p.mu.Lock()
	for id, since := range p.missingSince {
		if now.Sub(since) > 4*resendInterval {
			delete(p.missingSince, id)
		}
	}
	for _, id := range missing {
		since, ok := p.missingSince[id]
		switch {
		case !ok:
			p.missingSince[id] = now
		case now.Sub(since) > resendInterval:
			due = append(due, id)
			p.missingSince[id] = now
		}
	}
	p.mu.Unlock()
	for _, id := range due {
		if o := p.claimedOffer(session, id); o != nil {
			p.AddDecision(id.Task(), "run sent again", spar.ReasonNoAnswer, o.worker)
			p.background.Go(func() { p.runTask(ctx, o) })
		}
	}
}

// claimedOffer returns the offer of a claimed attempt, or nil if the attempt has
// ended.
func (p *Planner) claimedOffer(session string, id spar.TaskID) *offer {
	var o *offer
	p.tail.View(func(f *fold.State) {
		if !f.IsRunning(session, id) {
			return
		}
		j := f.Job(id.Job)
		t := j.Task(int(id.Index))
		o = &offer{id: id, spec: j.Spec(), checkpoint: t.Checkpoint(), progressMS: t.ProgressMS(), session: session, worker: t.Worker()}
	})
	return o
}
