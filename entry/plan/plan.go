// Package plan starts the waiting tasks of the teams that this entry owns. For
// each task it picks a worker, reserves resources there, claims the task on the
// log and has the agent run it. If two entries own a team at the same time, they
// waste offers but cannot start a task twice: the fold accepts only one claim,
// and the agent's ledger does not reserve the same resources twice.
package plan

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/place"
	"github.com/berylspar/spar/rendez"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
)

// Intervals, timeouts and limits of planning.
const (
	// planInterval is the interval between passes. A record that may let a task
	// start triggers a pass at once.
	planInterval   = 50 * time.Millisecond
	reserveTimeout = 2 * time.Second
	claimTimeout   = 4 * time.Second
	runTimeout     = 3 * time.Second
	// offerTimeout is the time that reserving, claiming and running can take
	// together. After it, an offer no longer keeps its task from being offered.
	offerTimeout = reserveTimeout + claimTimeout + runTimeout
	// maxOffersInProgress bounds the concurrent calls to agents and appends.
	maxOffersInProgress = 128
	// maxOffersPerPass bounds the work of a pass while it holds the lock of the
	// fold.
	maxOffersPerPass = 256
	// maxAgentSilence is the time since an agent was last heard of after which
	// it gets no tasks.
	maxAgentSilence = 2500 * time.Millisecond
	// resendInterval is how long a claimed task may be missing at its agent
	// before its run request is sent again. Until then, the request may still be
	// under way.
	resendInterval = 1500 * time.Millisecond
)

// Planner starts the waiting tasks of the teams that its entry owns.
type Planner struct {
	common.Common
	name          string
	terms         lease.Terms
	tail          *tail.Tail
	table         *agents.Table
	peers         *peers.Peers
	rules         *rules.Rules
	http          *http.Client
	random        *rand.Rand
	wake          chan struct{}
	offersStopped chan struct{}

	mu           sync.Mutex
	inProgress   map[string]offerInProgress
	waitReasons  map[string]spar.Reason
	missingSince map[spar.TaskID]time.Time
	clients      map[string]wire.AgentClient
	background   sync.WaitGroup
}

// NewPlanner returns the planner of the entry with the given session name. h is
// the client for calls to agents.
func NewPlanner(c common.Common, name string, t lease.Terms, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, h *http.Client) *Planner {
	planner := &Planner{
		Common: c, name: name, terms: t, tail: l, table: a, peers: p, rules: r, http: h,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), wake: make(chan struct{}, 1), offersStopped: make(chan struct{}),
		inProgress: map[string]offerInProgress{}, waitReasons: map[string]spar.Reason{}, missingSince: map[spar.TaskID]time.Time{}, clients: map[string]wire.AgentClient{},
	}
	l.AddListener(planner.onRecord)
	return planner
}

// onRecord is called for each folded record. It records how attempts ended on a
// worker, and triggers a pass after records that may let a task start.
func (p *Planner) onRecord(f *fold.State, a tail.Applied) {
	if !a.Outcome.IsValid() {
		return
	}
	switch b := a.Record.GetBody().(type) {
	case *wire.Record_End:
		r := b.End.GetTask()
		t := f.Job(r.GetJob()).Task(int(r.GetIndex()))
		if p.table.RecordAttemptEnd(t.Worker(), b.End.GetOk(), time.Now()) {
			p.AddDecision(t.Worker(), "gets no tasks for a while", spar.ReasonCrashes, r.ID().String())
		}
		p.Wake()
	case *wire.Record_Submit, *wire.Record_Evict, *wire.Record_Lapse:
		p.Wake()
	}
}

// Wake triggers a pass without waiting for the interval.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// StopOffers permanently stops new offers. Offers in progress continue. It must
// be called at most once.
func (p *Planner) StopOffers() { close(p.offersStopped) }

// Run plans until the context ends or StopOffers is called, and then waits for
// the offers in progress.
func (p *Planner) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(planInterval)
		defer tick.Stop()
		for active := true; active; {
			select {
			case <-ctx.Done():
				active = false
			case <-p.offersStopped:
				active = false
			case <-tick.C:
				p.planOnce(ctx, time.Now())
			case <-p.wake:
				p.planOnce(ctx, time.Now())
			}
		}
		p.background.Wait()
		done <- nil
	}()
	return done
}

// planOnce offers the waiting tasks, the urgent ones first and then in order of
// submission. It does nothing if this entry's knowledge of the log is not fresh.
func (p *Planner) planOnce(ctx context.Context, now time.Time) {
	if now.Sub(p.tail.FreshAt()) > p.terms.Fresh() {
		return
	}
	offers, usage := p.collectOffers(now)
	if len(offers) == 0 {
		return
	}
	config := p.rules.Load()
	candidates := p.candidates(now)
	for _, o := range offers {
		if team, ok := config.Team(o.spec.GetTeam()); ok {
			used := usage[o.spec.GetTeam()].Add(o.spec.GetSize().Spar())
			if !used.Fits(team.Quota) {
				p.recordWaitReason(o, spar.ReasonQuota)
				continue
			}
			usage[o.spec.GetTeam()] = used
		}
		i, reason := place.Pick(placementTask(o), candidates, config.IsOpen, p.random)
		if reason != spar.ReasonNone {
			p.recordWaitReason(o, reason)
			continue
		}
		c := &candidates[i]
		c.Free = c.Free.Sub(o.spec.GetSize().Spar())
		o.session, o.worker, o.domain = c.Session, c.Worker, c.Domain
		if !p.startOffer(ctx, o, now) {
			return
		}
	}
}

func placementTask(o *offer) place.Task {
	return place.Task{
		Kind: o.spec.GetKind(), Size: o.spec.GetSize().Spar(), Domains: o.spec.GetDomains(),
		Urgent: o.spec.GetUrgent(), CrashedOn: o.crashedOn,
	}
}

// collectOffers returns the tasks to offer, and what their teams use, offers in
// progress included.
func (p *Planner) collectOffers(now time.Time) ([]*offer, map[string]spar.Size) {
	owners := p.peers.Live(now)
	usage := map[string]spar.Size{}
	var offers []*offer
	// Lock order: the fold before p.mu. The operator endpoints call WaitReason
	// while they hold the lock of the fold.
	p.tail.View(func(f *fold.State) {
		p.mu.Lock()
		defer p.mu.Unlock()
		var jobs []*fold.Job
		f.EachWaiting(func(j *fold.Job) {
			if rendez.Owner(j.Spec().GetTeam(), owners) == p.name {
				jobs = append(jobs, j)
			}
		})
		slices.SortFunc(jobs, compareJobs)
		for _, j := range jobs {
			usage[j.Spec().GetTeam()] = f.Usage(j.Spec().GetTeam())
			offers = p.appendOffers(offers, j, now)
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, o := range p.inProgress {
		if now.After(o.expires) {
			delete(p.inProgress, key)
			continue
		}
		usage[o.team] = usage[o.team].Add(o.size)
	}
	return offers, usage
}

// compareJobs orders urgent jobs first, then by time of submission.
func compareJobs(a, b *fold.Job) int {
	if a.Spec().GetUrgent() != b.Spec().GetUrgent() {
		if a.Spec().GetUrgent() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Submitted(), b.Submitted()), cmp.Compare(a.Spec().GetJob(), b.Spec().GetJob()))
}

// appendOffers appends the waiting tasks of a job that have no offer in progress.
// The caller must hold p.mu.
func (p *Planner) appendOffers(offers []*offer, j *fold.Job, now time.Time) []*offer {
	for i := 0; i < j.Len() && len(offers) < maxOffersPerPass; i++ {
		t := j.Task(i)
		id := spar.TaskID{Job: j.Spec().GetJob(), Index: uint32(i), Attempt: t.Attempt() + 1}
		if pending, ok := p.inProgress[id.Task()]; t.Phase() != wire.Phase_PHASE_WAITING || ok && now.Before(pending.expires) {
			continue
		}
		offers = append(offers, &offer{
			id: id, spec: j.Spec(), checkpoint: t.Checkpoint(), progressMS: t.ProgressMS(),
			crashedOn: t.CrashedOn(), submitted: j.Submitted(),
		})
	}
	return offers
}

// candidates returns the workers that are ready, stay in service and were heard
// of recently.
func (p *Planner) candidates(now time.Time) []place.Candidate {
	var out []place.Candidate
	for _, a := range p.table.All(now) {
		s := a.State()
		if s.GetLeaving() || !s.GetReady() || now.Sub(a.LastHeard()) > maxAgentSilence {
			continue
		}
		out = append(out, place.Candidate{
			Worker: s.GetWorker(), Session: s.GetSession(), Domain: s.GetDomain(),
			Total: s.GetTotal().Spar(), Free: s.GetFree().Spar(), Avoids: s.GetKindsAvoided(), Suspect: a.IsSuspect(now),
		})
	}
	return out
}

// recordWaitReason stores why a task waits, and records a decision if the reason
// has changed.
func (p *Planner) recordWaitReason(o *offer, reason spar.Reason) {
	p.mu.Lock()
	changed := p.waitReasons[o.id.Task()] != reason
	p.waitReasons[o.id.Task()] = reason
	p.mu.Unlock()
	if changed {
		p.AddDecision(o.id.Task(), "waits", reason, o.spec.GetSize().Spar().String())
	}
}

// WaitReason returns why a task could not be placed last, or ReasonNone if that
// is not known.
func (p *Planner) WaitReason(task string) spar.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waitReasons[task]
}
