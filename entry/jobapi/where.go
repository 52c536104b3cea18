package jobapi

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/entry/owner"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	// whereTimeout bounds a question of an operator.
	whereTimeout = 3 * time.Second
	// whereRetryAfter is the Retry-After header in seconds of a question that the owner has
	// no time for.
	whereRetryAfter = 1
	// exampleID is the ID of a job that is only asked about. Callers cannot use it.
	exampleID = "example"
)

// whereReply is the answer to a question where a job would go.
type whereReply struct {
	Queue         queueReply        `json:"queue"`
	Configuration int64             `json:"configuration"`
	ConfigAge     time.Duration     `json:"configuration_age_ns"`
	Owner         owner.Explanation `json:"owner"`
}

// queueReply is the queue that a job would be in, and the policy that it has there.
type queueReply struct {
	Name        string        `json:"name"`
	Host        string        `json:"host"`
	Prefix      string        `json:"prefix"`
	Service     string        `json:"service"`
	Priority    int           `json:"priority"`
	MaxAttempts int           `json:"max_attempts"`
	Stretch     float64       `json:"stretch"`
	Slack       time.Duration `json:"slack_ns"`
}

// AddRoutes adds the routes for operators: /where tells where a job in the callers'
// format would go, named by queue or by the host and path of its request, and
// /where/{id} the same for a job that has been accepted. Neither has an effect.
func (s *Server) AddRoutes(ctx context.Context, r *router.Router) {
	r.POST("/where", func(c *fasthttp.RequestCtx) { s.where(ctx, c) })
	r.GET("/where/{id}", func(c *fasthttp.RequestCtx) {
		s.explain(ctx, c, spar.Job{ID: c.UserValue("id").(string)}, nil)
	})
}

func (s *Server) where(ctx context.Context, c *fasthttp.RequestCtx) {
	rules := s.config.Load().Rules
	if rules == nil {
		refuseQuestion(c, fasthttp.StatusServiceUnavailable, "", "this entry has no configuration yet")
		return
	}
	args := c.QueryArgs()
	q, field := findQueue(rules, string(args.Peek("queue")), string(args.Peek("host")), string(args.Peek("path")))
	if q == nil {
		refuseQuestion(c, fasthttp.StatusNotFound, field, "no such queue in configuration "+strconv.FormatInt(rules.Version, 10)+"; a request is answered 404")
		return
	}
	j, err := s.format.DecodeJob(exampleID, q.Name, time.Now(), c.PostBody())
	if err != nil {
		refuseQuestion(c, fasthttp.StatusBadRequest, "job", err.Error()+"; a request is answered 400")
		return
	}
	if q.Advised && !s.format.HasAdviser {
		refuseQuestion(c, fasthttp.StatusServiceUnavailable, "queue", "needs advice and no adviser is set; a request is answered 503")
		return
	}
	j.Policy = *q
	s.explain(ctx, c, j, q)
}

// findQueue returns a queue by its name, or else the one of a request's host and path, or
// nil and the name of the argument that is wrong.
func findQueue(r *spar.Rules, name, host, path string) (*spar.Queue, string) {
	if name == "" {
		q, _ := matchQueue(r, host, path)
		return q, "path"
	}
	for i := range r.Queues {
		if r.Queues[i].Name == name {
			return &r.Queues[i], ""
		}
	}
	return nil, "queue"
}

// explain answers with what the owner tells of a job, and its queue if that is known here.
func (s *Server) explain(ctx context.Context, c *fasthttp.RequestCtx, j spar.Job, q *spar.Queue) {
	ctx, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	var e owner.Explanation
	err := s.queryWithRetry(ctx, func() (err error) {
		e, err = s.jobs.Explain(ctx, j)
		return err
	})
	switch {
	case errors.Is(err, owner.ErrBusy):
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(whereRetryAfter))
		refuseQuestion(c, fasthttp.StatusTooManyRequests, "", "the owner of the shard is busy; ask again in "+strconv.Itoa(whereRetryAfter)+" s")
		return
	case err != nil:
		refuseQuestion(c, fasthttp.StatusServiceUnavailable, "", "no owner of the shard can answer: "+err.Error())
		return
	case !e.Known && q == nil:
		refuseQuestion(c, fasthttp.StatusNotFound, "job", "no job "+j.ID)
		return
	}
	out := whereReply{ConfigAge: time.Since(s.config.FreshAt()), Owner: e}
	if rules := s.config.Load().Rules; rules != nil {
		out.Configuration = rules.Version
		if q == nil {
			q, _ = findQueue(rules, e.Plan.Queue, "", "")
		}
	}
	if q != nil {
		out.Queue = queueReply{Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Slack: q.Slack}
	}
	writeJSON(c, out)
}

// refuseQuestion answers a question that cannot be answered. field names what is wrong
// with it, if anything is.
func refuseQuestion(c *fasthttp.RequestCtx, status int, field, text string) {
	c.SetStatusCode(status)
	writeJSON(c, struct {
		Field string `json:"field,omitempty"`
		Error string `json:"error"`
	}{field, text})
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode answer"))
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
