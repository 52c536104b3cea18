// Package admin serves the HTTP interface for operators and teams: jobs, the
// configuration in force, workers, and the decisions about a subject.
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

// appendTimeout bounds the wait until an appended record is read back from the
// log.
const appendTimeout = 5 * time.Second

// silenceLimit is the time without news of an agent after which it no longer
// counts as running.
const silenceLimit = 3 * time.Second

// TeamKey is the secret that authenticates the requests of a team.
type TeamKey struct {
	Team string `json:"team" jsonschema:"required,minLength=1,description=name of the team"`
	Key  string `json:"key" jsonschema:"required,minLength=16,description=secret that its requests carry in Beryl-Team-Key"`
}

// Admin implements the endpoints.
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

// NewAdmin returns the endpoints of an entry. The name is that of the session of
// the entry.
func NewAdmin(c common.Common, name string, t lease.Terms, keys []TeamKey, l *tail.Tail, a *agents.Table, p *peers.Peers, r *rules.Rules, n *plan.Planner, h *http.Client) *Admin {
	return &Admin{Common: c, name: name, terms: t, keys: keys, tail: l, table: a, peers: p, rules: r, planner: n, http: h}
}

// AddTeamRoutes adds the endpoints for teams to a router.
func (a *Admin) AddTeamRoutes(r *router.Router) {
	r.POST("/v1/jobs", a.submit)
	r.GET("/v1/jobs", a.list)
	r.GET("/v1/jobs/{job}", a.show)
	r.POST("/v1/jobs/{job}/cancel", a.cancel)
}

// AddOperatorRoutes adds the endpoints for operators to a router, those for teams
// included.
func (a *Admin) AddOperatorRoutes(r *router.Router) {
	a.AddTeamRoutes(r)
	r.GET("/v1/force", a.force)
	r.GET("/v1/workers", a.workers)
	r.GET("/v1/why/{subject:*}", a.why)
}

func (a *Admin) submit(c *fasthttp.RequestCtx) {
	q, err := conf.Decode(c.PostBody(), JobRequest{})
	if err != nil {
		writeError(c, fasthttp.StatusBadRequest, "", err.Error())
		return
	}
	spec, field, err := a.specOf(q)
	if err != nil {
		writeError(c, fasthttp.StatusUnprocessableEntity, field, err.Error())
		return
	}
	if !a.authorizes(c, spec.GetTeam()) {
		writeError(c, fasthttp.StatusForbidden, "Beryl-Team-Key", "does not prove team "+spec.GetTeam())
		return
	}
	out, ok := a.appendRecord(c, &wire.Record{Body: &wire.Record_Submit{Submit: spec}})
	if !ok {
		return
	}
	switch {
	case out.IsValid():
		writeJSON(c, SubmitResponse{Job: q.Job})
	case a.hasJob(q.Job):
		writeJSON(c, SubmitResponse{Job: q.Job, Duplicate: true})
	default:
		writeError(c, fasthttp.StatusConflict, "job", string(out.Reason()))
	}
}

// specOf returns the specification of a requested job. Values that the request
// leaves out come from the kind. If the request is invalid, it returns the name
// of the invalid field and an error.
func (a *Admin) specOf(q JobRequest) (*wire.Spec, string, error) {
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
	if why := a.sizeRefusal(s); why != "" {
		return nil, "size", errors.New(why)
	}
	return s, "", nil
}

// sizeRefusal returns the reason why a task of a job exceeds the quota of its
// team or the size of every known worker, or "" if it could run.
func (a *Admin) sizeRefusal(s *wire.Spec) string {
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

// authorizes reports whether a request may act for a team. Requests for a team
// without a configured key need none.
func (a *Admin) authorizes(c *fasthttp.RequestCtx, team string) bool {
	for _, k := range a.keys {
		if k.Team == team {
			return equalConstantTime(string(c.Request.Header.Peek("Beryl-Team-Key")), k.Key)
		}
	}
	return true
}

func (a *Admin) cancel(c *fasthttp.RequestCtx) {
	job := c.UserValue("job").(string)
	team, ok := readJob(a, c, job, teamOf)
	if !ok {
		return
	}
	if !a.authorizes(c, team) {
		writeError(c, fasthttp.StatusForbidden, "Beryl-Team-Key", "does not prove team "+team)
		return
	}
	if _, ok := a.appendRecord(c, &wire.Record{Body: &wire.Record_Cancel{Cancel: &wire.Cancel{Job: job}}}); ok {
		a.show(c)
	}
}

// appendRecord appends a record to the log and waits until it is read back. If
// this takes longer than appendTimeout, it responds with status 503.
func (a *Admin) appendRecord(c *fasthttp.RequestCtx, r *wire.Record) (fold.Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	r.By = a.name
	out, err := a.tail.Append(ctx, r)
	if err != nil {
		writeError(c, fasthttp.StatusServiceUnavailable, "", "the log did not confirm it; it may have been taken, and sending it again is safe")
		return fold.Outcome{}, false
	}
	return out.Outcome, true
}

func (a *Admin) hasJob(job string) bool {
	_, ok := findJob(a, job, teamOf)
	return ok
}

func teamOf(j *fold.Job) string { return j.Spec().GetTeam() }

func writeError(c *fasthttp.RequestCtx, status int, field, text string) {
	c.SetStatusCode(status)
	writeJSON(c, ErrorResponse{Field: field, Error: text})
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "answer %T", v))
	}
	c.SetContentType("application/json")
	c.SetBody(append(body, '\n'))
}
