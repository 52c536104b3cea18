// Package admin serves operators and teams: jobs, configuration in force,
// workers, and the story of a decision.
package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/conf"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/entry/plan"
	"github.com/berylspar/spar/entry/rules"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// appendLimit bounds the wait for the log.
const appendLimit = 5 * time.Second

// heardWithin is the silence beyond which an agent does not count as running.
const heardWithin = 3 * time.Second

// TeamKey is a secret that a team proves itself with.
type TeamKey struct {
	Team string `json:"team" jsonschema:"required,minLength=1,description=name of the team"`
	Key  string `json:"key" jsonschema:"required,minLength=16,description=secret that its requests carry in Beryl-Team-Key"`
}

// Admin serves the endpoints.
type Admin struct {
	common.Common
	name    string
	terms   lease.Terms
	keys    []TeamKey
	tail    *tail.Tail
	table   *agents.Table
	peers   *peers.Peers
	rules   *rules.Rules
	planner *plan.Planner
	http    *http.Client
}

// NewAdmin returns the endpoints of the entry with a session name.
func NewAdmin(c common.Common, name string, t lease.Terms, keys []TeamKey, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, n *plan.Planner, h *http.Client) *Admin {
	return &Admin{Common: c, name: name, terms: t, keys: keys, tail: l, table: a, peers: p, rules: r, planner: n, http: h}
}

// Jobs adds the endpoints for teams to a router.
func (a *Admin) Jobs(r *router.Router) {
	r.POST("/v1/jobs", a.submit)
	r.GET("/v1/jobs", a.list)
	r.GET("/v1/jobs/{job}", a.show)
	r.POST("/v1/jobs/{job}/cancel", a.cancel)
}

// Operators adds the endpoints for operators to a router.
func (a *Admin) Operators(r *router.Router) {
	a.Jobs(r)
	r.GET("/v1/force", a.force)
	r.GET("/v1/workers", a.workers)
	r.GET("/v1/why/{subject:*}", a.why)
}

func (a *Admin) submit(c *fasthttp.RequestCtx) {
	q, err := conf.Decode(c.PostBody(), JobRequest{})
	if err != nil {
		fail(c, fasthttp.StatusBadRequest, "", err.Error())
		return
	}
	spec, field, err := a.spec(q)
	if err != nil {
		fail(c, fasthttp.StatusUnprocessableEntity, field, err.Error())
		return
	}
	if !a.proves(c, spec.GetTeam()) {
		fail(c, fasthttp.StatusForbidden, "Beryl-Team-Key", "does not prove team "+spec.GetTeam())
		return
	}
	out, ok := a.append(c, &wire.Record{Body: &wire.Record_Submit{Submit: spec}})
	if !ok {
		return
	}
	switch {
	case out.IsValid():
		answer(c, Accepted{Job: q.Job})
	case a.has(q.Job):
		answer(c, Accepted{Job: q.Job, Duplicate: true})
	default:
		fail(c, fasthttp.StatusConflict, "job", string(out.Reason()))
	}
}

// spec fills a job from its kind. It returns the field that is wrong.
func (a *Admin) spec(q JobRequest) (*wire.Spec, string, error) {
	config := a.rules.Load()
	k, ok := config.Kind(q.Kind)
	if !ok {
		return nil, "kind", errors.Newf("%q is not one of the kinds of revision %d", q.Kind, config.Number)
	}
	s := &wire.Spec{
		Job: q.Job, Team: k.Team, Kind: k.Name, Tasks: k.Tasks, Size: wire.SizeOf(k.Size), RunMs: k.RunMS,
		Urgent: k.Urgent, Repeatable: k.Repeatable, Domains: k.Domains,
	}
	if q.Tasks > 0 {
		s.Tasks = q.Tasks
	}
	if q.RunMS > 0 {
		s.RunMs = q.RunMS
	}
	if q.Size != nil {
		s.Size = wire.SizeOf(*q.Size)
	}
	if why := a.tooLarge(s); why != "" {
		return nil, "size", errors.New(why)
	}
	return s, "", nil
}

// tooLarge tells why a job could run on no worker and within no quota.
func (a *Admin) tooLarge(s *wire.Spec) string {
	size := s.GetSize().Spar()
	if t, ok := a.rules.Load().Team(s.GetTeam()); ok && !size.Fits(t.Quota) {
		return size.String() + " a task is more than the quota of team " + t.Name + ", which is " + t.Quota.String()
	}
	all := a.table.All(time.Now())
	largest := ""
	for _, w := range all {
		if size.Fits(w.State().GetTotal().Spar()) {
			return ""
		}
		largest = w.State().GetTotal().Spar().String()
	}
	if len(all) == 0 {
		return ""
	}
	return size.String() + " a task is larger than every worker known, such as " + all[0].State().GetWorker() + " with " + largest
}

// proves tells whether a request may act for a team. A team without a
// configured key is open to all.
func (a *Admin) proves(c *fasthttp.RequestCtx, team string) bool {
	for _, k := range a.keys {
		if k.Team == team {
			return equal(string(c.Request.Header.Peek("Beryl-Team-Key")), k.Key)
		}
	}
	return true
}

func (a *Admin) cancel(c *fasthttp.RequestCtx) {
	job := c.UserValue("job").(string)
	team, ok := a.teamOf(job)
	if !ok {
		fail(c, fasthttp.StatusNotFound, "job", "no job "+job)
		return
	}
	if !a.proves(c, team) {
		fail(c, fasthttp.StatusForbidden, "Beryl-Team-Key", "does not prove team "+team)
		return
	}
	if _, ok := a.append(c, &wire.Record{Body: &wire.Record_Cancel{Cancel: &wire.Cancel{Job: job}}}); ok {
		a.show(c)
	}
}

// append appends a record and answers 503 when it is not read back in time.
func (a *Admin) append(c *fasthttp.RequestCtx, r *wire.Record) (fold.Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), appendLimit)
	defer cancel()
	r.By = a.name
	out, err := a.tail.Append(ctx, r)
	if err != nil {
		fail(c, fasthttp.StatusServiceUnavailable, "", "the log did not confirm it; it may have been taken, and sending it again is safe")
		return fold.Outcome{}, false
	}
	return out.Outcome, true
}

func (a *Admin) has(job string) bool {
	_, ok := a.teamOf(job)
	return ok
}

func (a *Admin) teamOf(job string) (team string, ok bool) {
	a.tail.View(func(f *fold.State) {
		if j := f.Job(job); j != nil {
			team, ok = j.Spec().GetTeam(), true
		}
	})
	return team, ok
}

func fail(c *fasthttp.RequestCtx, status int, field, text string) {
	c.SetStatusCode(status)
	answer(c, Failure{Field: field, Error: text})
}

func answer(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "answer %T", v))
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}
