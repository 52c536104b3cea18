// Package plan starts the waiting tasks of the teams that this entry owns: pick
// a worker, reserve, claim on the log, run. Two owners at once waste an offer
// and no more, since the fold and the agent's ledger settle it.
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

// Times and limits of planning.
const (
	every        = 50 * time.Millisecond
	reserveLimit = 2 * time.Second
	claimLimit   = 4 * time.Second
	runLimit     = 3 * time.Second
	flightLimit  = reserveLimit + claimLimit + runLimit
	maxFlights   = 128
	maxOffers    = 256
	// heardWithin is how lately a worker must have been heard of to get work.
	heardWithin = 2500 * time.Millisecond
	// lostAfter is how long a claimed task may be missing at its agent.
	lostAfter = 1500 * time.Millisecond
)

// Planner starts tasks.
type Planner struct {
	common.Common
	name   string
	terms  lease.Terms
	tail   *tail.Tail
	table  *agents.Table
	peers  *peers.Peers
	rules  *rules.Rules
	http   *http.Client
	random *rand.Rand
	wake   chan struct{}
	leave  chan struct{}

	mu      sync.Mutex
	flights map[string]flight
	why     map[string]spar.Reason
	lost    map[spar.TaskID]time.Time
	clients map[string]wire.AgentClient
	running sync.WaitGroup
}

// NewPlanner returns the planner of the entry with a session name; h sends its
// offers.
func NewPlanner(c common.Common, name string, t lease.Terms, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, h *http.Client) *Planner {
	n := &Planner{
		Common: c, name: name, terms: t, tail: l, table: a, peers: p, rules: r, http: h,
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), wake: make(chan struct{}, 1), leave: make(chan struct{}),
		flights: map[string]flight{}, why: map[string]spar.Reason{}, lost: map[spar.TaskID]time.Time{}, clients: map[string]wire.AgentClient{},
	}
	l.AddListener(n.applied)
	return n
}

// applied learns from each record: what may start now, and which workers fail
// what they start.
func (p *Planner) applied(f *fold.State, a tail.Applied) {
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

// Wake makes the next pass come at once.
func (p *Planner) Wake() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// Leave stops new offers for good. Those under way go on.
func (p *Planner) Leave() { close(p.leave) }

// Run plans until the context ends.
func (p *Planner) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(every)
		defer tick.Stop()
		for open := true; open; {
			select {
			case <-ctx.Done():
				open = false
			case <-p.leave:
				open = false
			case <-tick.C:
				p.pass(ctx, time.Now())
			case <-p.wake:
				p.pass(ctx, time.Now())
			}
		}
		p.running.Wait()
		done <- nil
	}()
	return done
}

// pass offers what waits, urgent work first, then the oldest.
func (p *Planner) pass(ctx context.Context, now time.Time) {
	if now.Sub(p.tail.FreshAt()) > p.terms.Fresh() {
		return
	}
	offers, usage := p.waiting(now)
	if len(offers) == 0 {
		return
	}
	config := p.rules.Load()
	all := p.candidates(now)
	for _, o := range offers {
		if team, ok := config.Team(o.spec.GetTeam()); ok {
			used := usage[o.spec.GetTeam()].Add(o.spec.GetSize().Spar())
			if !used.Fits(team.Quota) {
				p.blocked(o, spar.ReasonQuota)
				continue
			}
			usage[o.spec.GetTeam()] = used
		}
		i, reason := place.Pick(taskOf(o), all, config.IsOpen, p.random)
		if reason != spar.ReasonNone {
			p.blocked(o, reason)
			continue
		}
		c := &all[i]
		c.Free = c.Free.Sub(o.spec.GetSize().Spar())
		o.session, o.worker, o.domain = c.Session, c.Worker, c.Domain
		if !p.fly(ctx, o, now) {
			return
		}
	}
}

func taskOf(o *offer) place.Task {
	return place.Task{
		Kind: o.spec.GetKind(), Size: o.spec.GetSize().Spar(), Domains: o.spec.GetDomains(),
		Urgent: o.spec.GetUrgent(), CrashedOn: o.crashedOn,
	}
}

// waiting returns the tasks to offer, and what each team uses or is about to.
func (p *Planner) waiting(now time.Time) ([]*offer, map[string]spar.Size) {
	owners := p.peers.Live(now)
	usage := map[string]spar.Size{}
	var offers []*offer
	// The fold's lock comes first everywhere: who shows a job holds it and asks
	// this planner why a task waits.
	p.tail.View(func(f *fold.State) {
		p.mu.Lock()
		defer p.mu.Unlock()
		var jobs []*fold.Job
		f.EachWaiting(func(j *fold.Job) {
			if rendez.Owner(j.Spec().GetTeam(), owners) == p.name {
				jobs = append(jobs, j)
			}
		})
		slices.SortFunc(jobs, before)
		for _, j := range jobs {
			usage[j.Spec().GetTeam()] = f.Usage(j.Spec().GetTeam())
			offers = p.gather(offers, j, now)
		}
	})
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, n := range p.flights {
		if now.After(n.until) {
			delete(p.flights, k)
			continue
		}
		usage[n.team] = usage[n.team].Add(n.size)
	}
	return offers, usage
}

// before orders urgent work first, then the oldest.
func before(a, b *fold.Job) int {
	if a.Spec().GetUrgent() != b.Spec().GetUrgent() {
		if a.Spec().GetUrgent() {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.Submitted(), b.Submitted()), cmp.Compare(a.Spec().GetJob(), b.Spec().GetJob()))
}

// gather adds the waiting tasks of a job that are not under way. p.mu is held.
func (p *Planner) gather(offers []*offer, j *fold.Job, now time.Time) []*offer {
	for i := 0; i < j.Len() && len(offers) < maxOffers; i++ {
		t := j.Task(i)
		id := spar.TaskID{Job: j.Spec().GetJob(), Index: uint32(i), Attempt: t.Attempt() + 1}
		if n, ok := p.flights[id.Task()]; t.Phase() != wire.Phase_PHASE_WAITING || ok && now.Before(n.until) {
			continue
		}
		offers = append(offers, &offer{
			id: id, spec: j.Spec(), checkpoint: t.Checkpoint(), progressMS: t.ProgressMS(),
			crashedOn: t.CrashedOn(), submitted: j.Submitted(),
		})
	}
	return offers
}

func (p *Planner) candidates(now time.Time) []place.Candidate {
	var out []place.Candidate
	for _, a := range p.table.All(now) {
		s := a.State()
		if s.GetLeaving() || !s.GetReady() || now.Sub(a.LastHeard()) > heardWithin {
			continue
		}
		out = append(out, place.Candidate{
			Worker: s.GetWorker(), Session: s.GetSession(), Domain: s.GetDomain(),
			Total: s.GetTotal().Spar(), Free: s.GetFree().Spar(), Avoids: s.GetKindsAvoided(), Suspect: a.IsSuspect(now),
		})
	}
	return out
}

// blocked records why a task waits, when the reason changes.
func (p *Planner) blocked(o *offer, reason spar.Reason) {
	p.mu.Lock()
	changed := p.why[o.id.Task()] != reason
	p.why[o.id.Task()] = reason
	p.mu.Unlock()
	if changed {
		p.AddDecision(o.id.Task(), "waits", reason, o.spec.GetSize().Spar().String())
	}
}

// Why tells why a task waits.
func (p *Planner) Why(task string) spar.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.why[task]
}
