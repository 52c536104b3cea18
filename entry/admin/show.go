package admin

import (
	"context"
	"crypto/subtle"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

// whyTimeout bounds the time to collect the decisions about a subject from all
// entries and agents.
const whyTimeout = time.Second

func equalConstantTime(a, b string) bool {
	return subtle.ConstantTimeCompare([]byte(a), []byte(b)) == 1
}

func (a *Admin) list(c *fasthttp.RequestCtx) {
	out := []JobResponse{}
	a.tail.View(func(f *fold.State) {
		for _, id := range f.Jobs() {
			j := a.jobResponse(f.Job(id))
			j.Tasks = nil
			out = append(out, j)
		}
	})
	writeJSON(c, out)
}

func (a *Admin) show(c *fasthttp.RequestCtx) {
	if out, ok := readJob(a, c, c.UserValue("job").(string), a.jobResponse); ok {
		writeJSON(c, out)
	}
}

func (a *Admin) jobResponse(j *fold.Job) JobResponse {
	out := JobResponse{
		Job: j.Spec().GetJob(), Kind: j.Spec().GetKind(), Team: j.Spec().GetTeam(), Cancelled: j.IsCancelled(),
		Ended: j.IsEnded(), Done: j.Count(wire.Phase_PHASE_DONE),
	}
	for i := range j.Len() {
		t := j.Task(i)
		n := TaskResponse{
			Index: i, Phase: phaseName(t.Phase()), Attempt: t.Attempt(), Checkpoint: t.Checkpoint(),
			ProgressMS: t.ProgressMS(), Reason: t.Reason(),
		}
		if t.Phase() == wire.Phase_PHASE_RUNNING {
			n.Worker = t.Worker()
		}
		if t.Phase() == wire.Phase_PHASE_WAITING {
			n.Reason = a.waitReason(j, i, n.Reason)
		}
		out.Tasks = append(out.Tasks, n)
	}
	return out
}

// waitReason returns the reason why a task waits: that of this entry's planner
// if it has one, otherwise that of the folded state.
func (a *Admin) waitReason(j *fold.Job, i int, folded string) string {
	id := spar.TaskID{Job: j.Spec().GetJob(), Index: uint32(i)}
	if why := a.planner.WaitReason(id.Task()); why != spar.ReasonNone {
		return string(why)
	}
	return folded
}

func phaseName(p wire.Phase) string {
	return strings.ToLower(strings.ReplaceAll(strings.TrimPrefix(p.String(), "PHASE_"), "_", "-"))
}

func (a *Admin) force(c *fasthttp.RequestCtx) {
	now := time.Now()
	out := ForceResponse{Entry: a.name, Revision: a.rules.Load().Number, AgeMS: now.Sub(a.tail.FreshAt()).Milliseconds(), Behind: []string{}}
	for _, w := range a.table.All(now) {
		if now.Sub(w.LastHeard()) > silenceLimit {
			continue
		}
		out.Agents++
		if w.State().GetRevision() < out.Revision {
			out.Behind = append(out.Behind, w.State().GetWorker())
		}
	}
	writeJSON(c, out)
}

func (a *Admin) workers(c *fasthttp.RequestCtx) {
	now := time.Now()
	out := []WorkerResponse{}
	for _, w := range a.table.All(now) {
		s := w.State()
		out = append(out, WorkerResponse{
			Worker: s.GetWorker(), Domain: s.GetDomain(), Session: s.GetSession(), Revision: s.GetRevision(),
			Free: s.GetFree().Spar(), Total: s.GetTotal().Spar(), SilentMS: now.Sub(w.LastHeard()).Milliseconds(),
			Leaving: s.GetLeaving(), Suspect: w.IsSuspect(now),
		})
	}
	writeJSON(c, out)
}

// why responds with the decisions about a subject from all entries and agents in
// order of time, and with the names of those that did not answer.
func (a *Admin) why(c *fasthttp.RequestCtx) {
	subject := c.UserValue("subject").(string)
	ctx, cancel := context.WithTimeout(context.Background(), whyTimeout)
	defer cancel()
	out := WhyResponse{Subject: subject, Events: decisionsOf("entry "+a.name, a.DecisionsAbout(subject)), Missed: []string{}}
	answers, missed := a.peers.CollectDecisions(ctx, subject)
	out.Missed = append(out.Missed, missed...)
	for _, w := range a.table.All(time.Now()) {
		s := w.State()
		client := wire.NewAgentClient(a.http, "http://"+s.GetControlAddress())
		r, err := client.Story(ctx, connect.NewRequest(&wire.StoryRequest{Subject: subject}))
		if err != nil {
			out.Missed = append(out.Missed, "agent "+s.GetWorker())
			continue
		}
		answers = append(answers, r.Msg)
	}
	for _, r := range answers {
		out.Events = append(out.Events, decisionsOf(r.GetSource(), r.GetEvents())...)
	}
	slices.SortStableFunc(out.Events, func(x, y DecisionResponse) int { return int(x.UnixUS - y.UnixUS) })
	writeJSON(c, out)
}

func decisionsOf(source string, events []*wire.Event) []DecisionResponse {
	out := []DecisionResponse{}
	for _, e := range events {
		out = append(out, DecisionResponse{UnixUS: e.GetUnixUs(), Source: source, Subject: e.GetSubject(), Decision: e.GetDecision(), Reason: e.GetReason(), Detail: e.GetDetail()})
	}
	return out
}
