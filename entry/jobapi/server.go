// Package jobapi serves callers: it accepts jobs and cancellations, and answers
// queries about jobs and queues. It stores what it accepts and leaves all
// planning to the owner of the shard.
package jobapi

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/guard"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Format defines the bodies and headers of requests and answers.
type Format struct {
	// DecodeJob decodes a submission. Its errors name the field and are sent to
	// the caller.
	DecodeJob func(id, queue string, accepted time.Time, body []byte) (spar.Job, error)
	// EncodeState and EncodeQueueLength encode the bodies of answers.
	// EncodeState also takes the reason of a failure, or "".
	EncodeState       func(state, failure string) []byte
	EncodeQueueLength func(n int) []byte
	// TimeoutHeader is the header with the milliseconds that a caller waits.
	TimeoutHeader string
	// HasAdviser reports whether there is an adviser for queues that need advice.
	HasAdviser bool
}

// Jobs stores submissions and cancellations, and answers queries.
type Jobs interface {
	Submit(ctx context.Context, j spar.Job) error
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context, id string) (owner.JobStatus, error)
	// Waiting returns the length of a queue.
	Waiting(ctx context.Context, queue string) (int, error)
	// Tried returns what is known here of earlier tries to hand a job in.
	Tried(id string) owner.TryOutcome
	// Admit decides whether a job is accepted. patience is how long its caller goes on
	// trying, or 0.
	Admit(ctx context.Context, j *spar.Job, patience time.Duration) admit.Verdict
	// ReturnIn returns when a caller should come back that was refused for another
	// reason.
	ReturnIn(id string, q spar.Queue, patience time.Duration) time.Duration
	// Explain tells what the owner would do with a job, without any effect.
	Explain(ctx context.Context, j spar.Job) (owner.Explanation, error)
	// IsCutOffAlone reports whether the store does not answer this entry while
	// it answers another one.
	IsCutOffAlone() bool
}

const (
	// defaultTimeout is how long a caller without the timeout header is assumed
	// to wait.
	defaultTimeout = 2 * time.Second
	// replyReserve is the part of a caller's timeout that is left for the answer
	// to reach it.
	replyReserve = 150 * time.Millisecond
	// retryPause is the pause before an append without an answer, or a query
	// that no owner could answer, is repeated.
	retryPause = 40 * time.Millisecond
	// queryTimeout bounds how long a query waits for an owner.
	queryTimeout = 400 * time.Millisecond
	// idDigits is the length of a job's ID in hexadecimal digits.
	idDigits = 16
	// maxConfigAge is the age of the configuration above which the entry is not
	// ready, since it probably cannot reach the store.
	maxConfigAge = 3 * time.Second
	// maxBodyBytes bounds the memory that a request's body takes.
	maxBodyBytes = 1 << 20
)

// Server serves callers.
type Server struct {
	common.Common
	config   *config.Watcher
	jobs     Jobs
	format   Format
	draining atomic.Bool
}

// NewServer returns a server.
func NewServer(c common.Common, w *config.Watcher, j Jobs, f Format) *Server {
	return &Server{Common: c, config: w, jobs: j, format: f}
}

// Serve serves callers on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	return s.ServeFastHTTP(ctx, l, guard.Callers, s.Recovering(func(c *fasthttp.RequestCtx) { s.handle(ctx, c) }), maxBodyBytes)
}

// ServeReady answers the balancer's health checks on a listener until the context
// ends.
func (s *Server) ServeReady(ctx context.Context, l net.Listener) <-chan error {
	r := router.New()
	r.GET("/ready", func(c *fasthttp.RequestCtx) {
		if !s.ready() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	return s.ServeFastHTTP(ctx, l, guard.Checks, r.Handler, maxBodyBytes)
}

// Drain makes health checks fail, so that the balancer sends callers elsewhere.
// Requests are still served.
func (s *Server) Drain() { s.draining.Store(true) }

func (s *Server) ready() bool {
	return !s.draining.Load() && s.config.Load().Rules != nil && time.Since(s.config.FreshAt()) < maxConfigAge && !s.jobs.IsCutOffAlone()
}

func (s *Server) handle(ctx context.Context, c *fasthttp.RequestCtx) {
	begun := time.Now()
	rules := s.config.Load().Rules
	if rules == nil {
		s.refuse(c, spar.Queue{}, "", "no configuration yet", nil)
		return
	}
	q, id := matchQueue(rules, string(c.Host()), string(c.Path()))
	if q == nil {
		s.Counter("requests_unrouted").Inc(1)
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, begun.Add(s.callerTimeout(c)))
	defer cancel()
	s.dispatch(ctx, c, *q, id)
	s.Timer("requests_" + strings.ToLower(string(c.Method()))).Record(time.Since(begun))
}

func (s *Server) dispatch(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	switch {
	case c.IsGet() && id == "":
		s.replyQueueLength(ctx, c, q)
	case !isID(id):
		c.Error("job ID: want 16 hexadecimal digits, got "+id, fasthttp.StatusBadRequest)
	case c.IsPost():
		s.submit(ctx, c, q, id)
	case c.IsGet():
		s.replyState(ctx, c, q, id)
	case c.IsDelete():
		s.cancel(ctx, c, q, id)
	default:
		c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// matchQueue returns the host's queue with the longest prefix of the path, and
// the rest of the path.
func matchQueue(r *spar.Rules, host, path string) (*spar.Queue, string) {
	var best *spar.Queue
	for i := range r.Queues {
		q := &r.Queues[i]
		if q.Host == host && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

func isID(s string) bool {
	if len(s) != idDigits {
		return false
	}
	return strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

func (s *Server) submit(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	j, err := s.format.DecodeJob(id, q.Name, time.Now(), c.PostBody())
	if err != nil {
		s.refuseInvalid(c, id, q.Name, err)
		return
	}
	if q.Advised && !s.format.HasAdviser {
		s.refuse(c, q, id, "queue needs advice and no adviser is set", nil)
		return
	}
	j.Policy = q
	tried := s.jobs.Tried(id)
	if tried == owner.Stored {
		s.Info("job accepted before", "job", id, "queue", q.Name)
		s.Counter("repeats_answered").Inc(1)
		return
	}
	if tried == owner.NotTried {
		if v := s.jobs.Admit(ctx, &j, s.patience(c)); v.IsRefused() {
			s.refuseIn(c, id, "no room in time", v.Return, nil)
			return
		}
	}
	s.storeWithRetry(ctx, c, q, id, "job accepted", tried == owner.InDoubt, func() error { return s.jobs.Submit(ctx, j) })
}

func (s *Server) cancel(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	s.storeWithRetry(ctx, c, q, id, "cancel accepted", false, func() error { return s.jobs.Cancel(ctx, id) })
}

// storeWithRetry repeats a write until the store has answered or the caller's
// time is over, or there is no memory for a job. It refuses the request only if no try of the write, nor an earlier one
// that is in doubt, can have been carried out.
func (s *Server) storeWithRetry(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id, message string, inDoubt bool, write func() error) {
	unanswered, begun := 0, time.Now()
	for {
		err := write()
		refused := errors.Is(err, spar.ErrRefused)
		switch {
		case err == nil:
			s.Info(message, "job", id, "queue", q.Name, "version", s.config.Load().Rules.Version, "unsure", unanswered, "took", time.Since(begun))
			s.Counter("stored").Inc(1)
			return
		case errors.Is(err, spar.ErrInvalid) && unanswered == 0 && !inDoubt:
			s.refuseInvalid(c, id, q.Name, err)
			return
		case refused && unanswered == 0 && !inDoubt:
			s.refuse(c, q, id, refusalReason(err), err)
			return
		case ctx.Err() != nil || errors.Is(err, owner.ErrNoRoom):
			s.Warn("outcome unknown", "job", id, "queue", q.Name, "unsure", unanswered, "in_doubt", inDoubt, "took", time.Since(begun), "err", err)
			s.Counter("unknown").Inc(1)
			c.SetStatusCode(fasthttp.StatusGatewayTimeout)
			return
		}
		if !refused {
			unanswered++
		}
		track.Pause(ctx, retryPause)
	}
}

// refusalReason names the reason of a refusal in logs and metrics.
func refusalReason(err error) string {
	if errors.Is(err, owner.ErrNoRoom) {
		return "no memory"
	}
	return "store refuses"
}

func (s *Server) replyState(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	var status owner.JobStatus
	err := s.queryWithRetry(ctx, func() (err error) {
		status, err = s.jobs.State(ctx, id)
		return err
	})
	switch {
	case err != nil:
		s.refuse(c, q, id, "owner away", err)
	case !status.Known:
		s.Info("job not known", "job", id)
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetContentType("application/json")
		c.SetBody(s.format.EncodeState(string(status.State), status.Failure))
	}
}

func (s *Server) replyQueueLength(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue) {
	var n int
	err := s.queryWithRetry(ctx, func() (err error) {
		n, err = s.jobs.Waiting(ctx, q.Name)
		return err
	})
	if err != nil {
		s.refuse(c, q, "", "owner away", err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(s.format.EncodeQueueLength(n))
}

// queryWithRetry repeats a query while no owner can be reached, for up to
// queryTimeout, since a new owner takes over soon.
func (s *Server) queryWithRetry(ctx context.Context, query func() error) error {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	for {
		err := query()
		if err == nil || !errors.Is(err, owner.ErrUnreachable) || ctx.Err() != nil {
			return err
		}
		track.Pause(ctx, retryPause)
	}
}
