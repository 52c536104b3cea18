package jobapi

import (
	"context"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
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
	Queue queueReply `json:"queue"`
	// Request says what a request would do of which the job is not given.
	Request       string            `json:"request,omitempty"`
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
// format would go, named by queue or by the host and path of its request, or what a
// request with a method, host, path and size in bytes would do; /where/{id} tells where
// the tasks of an accepted job would go. Neither has an effect.
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
	q, id, field := findQueue(rules, string(args.Peek("queue")), string(args.Peek("host")), string(args.Peek("path")))
	if q == nil {
		refuseQuestion(c, fasthttp.StatusNotFound, field, "no such queue in configuration "+strconv.FormatInt(rules.Version, 10)+"; a request is answered 404")
		return
	}
	if size, err := args.GetUint("size"); err == nil && size > maxBodyBytes {
		refuseQuestion(c, fasthttp.StatusRequestEntityTooLarge, "size", strconv.Itoa(size)+" bytes, at most "+strconv.Itoa(maxBodyBytes)+"; a request is answered 413")
		return
	}
	if len(c.PostBody()) == 0 {
		s.replyWhere(c, *q, owner.Explanation{}, describeRequest(string(args.Peek("method")), id))
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

// describeRequest says what a request does, by its method and the rest of its path after
// that of its queue.
func describeRequest(method, rest string) string {
	isJob := isID(rest)
	switch {
	case method == fasthttp.MethodGet && rest == "":
		return "tells the length of the queue"
	case !isJob:
		return "is answered 400: the path ends with " + strconv.Quote(rest) + ", want a job ID of 16 hexadecimal digits"
	case method == fasthttp.MethodPost || method == "":
		return "submits job " + rest + "; give the job to see where it would go"
	case method == fasthttp.MethodGet:
		return "tells the state of job " + rest
	case method == fasthttp.MethodDelete:
		return "cancels job " + rest
	}
	return "is answered 405: want POST, GET or DELETE"
}

// findQueue returns a queue by its name, or else the one of a request's host and path with
// the rest of the path, or nil and the name of the argument that is wrong.
func findQueue(r *spar.Rules, name, host, path string) (q *spar.Queue, rest, field string) {
	if name == "" {
		q, rest = matchQueue(r, host, path)
		return q, rest, "path"
	}
	for i := range r.Queues {
		if r.Queues[i].Name == name {
			return &r.Queues[i], "", ""
		}
	}
	return nil, "", "queue"
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
	if rules := s.config.Load().Rules; q == nil && rules != nil {
		q, _, _ = findQueue(rules, e.Plan.Queue, "", "")
	}
	if q == nil {
		q = &spar.Queue{}
	}
	s.replyWhere(c, *q, e, "")
}

func (s *Server) replyWhere(c *fasthttp.RequestCtx, q spar.Queue, e owner.Explanation, request string) {
	out := whereReply{
		Queue:   queueReply{Name: q.Name, Host: q.Host, Prefix: q.Prefix, Service: q.Service, Priority: q.Priority, MaxAttempts: q.MaxAttempts, Stretch: q.Stretch, Slack: q.Slack},
		Request: request, ConfigAge: time.Since(s.config.FreshAt()), Owner: e,
	}
	if rules := s.config.Load().Rules; rules != nil {
		out.Configuration = rules.Version
	}
	common.WriteJSON(c, out)
}

// refuseQuestion answers a question that cannot be answered. field names what is wrong
// with it, if anything is.
func refuseQuestion(c *fasthttp.RequestCtx, status int, field, text string) {
	c.SetStatusCode(status)
	common.WriteJSON(c, struct {
		Field string `json:"field,omitempty"`
		Error string `json:"error"`
	}{field, text})
}
