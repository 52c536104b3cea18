// Package jobapi serves callers: it takes jobs and cancels, and answers
// questions about jobs and queues. It stores what it accepts, and leaves all
// planning to the owner of the shard.
package jobapi

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/config"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Format is how callers' bodies and headers are written.
type Format struct {
	// Job reads a submission; its errors name the field.
	Job func(id, queue string, accepted time.Time, body []byte) (spar.Job, error)
	// State and Waiting write answers.
	State   func(state string) []byte
	Waiting func(n int) []byte
	// PatienceHeader holds how many milliseconds a caller waits.
	PatienceHeader string
	// Advised says that there is an adviser for queues that need advice.
	Advised bool
}

// Jobs is where jobs are stored and asked for.
type Jobs interface {
	Submit(ctx context.Context, j spar.Job) error
	Cancel(ctx context.Context, id string) error
	State(ctx context.Context, id string) (shard.State, bool, error)
	Waiting(ctx context.Context, queue string) (int, error)
}

const (
	// patience is how long a caller is taken to wait that does not say.
	patience = 2 * time.Second
	// answerTime is kept free of a caller's patience for the answer's way.
	answerTime = 150 * time.Millisecond
	// storePause is the pause before an append without an answer is repeated.
	storePause = 40 * time.Millisecond
	// askPatience is how long a question waits for an owner.
	askPatience = 400 * time.Millisecond
	// comeAgain is the Retry-After of a refusal, in seconds: by then a new
	// owner has taken over, or another entry reaches the store.
	comeAgain = "1"
	// idLength is the length of a job's ID in hexadecimal digits.
	idLength = 16
	// readyAge is how old the configuration may be for the entry to take
	// callers; one that is older is cut off from the store.
	readyAge = 3 * time.Second
	maxBody  = 1 << 20
)

// Server serves callers.
type Server struct {
	common.Common
	config   *config.Watch
	jobs     Jobs
	format   Format
	stopping atomic.Bool
}

// NewServer returns a server.
func NewServer(c common.Common, w *config.Watch, j Jobs, f Format) *Server {
	return &Server{Common: c, config: w, jobs: j, format: f}
}

// Serve serves callers on a listener until the context ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) <-chan error {
	return common.ServeFastHTTP(ctx, l, func(c *fasthttp.RequestCtx) { s.handle(ctx, c) }, maxBody)
}

// ServeReady answers the balancer's health checks.
func (s *Server) ServeReady(ctx context.Context, l net.Listener) <-chan error {
	r := router.New()
	r.GET("/ready", func(c *fasthttp.RequestCtx) {
		if !s.ready() {
			c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	})
	return common.ServeFastHTTP(ctx, l, r.Handler, maxBody)
}

// Stop takes the entry out of rotation.
func (s *Server) Stop() { s.stopping.Store(true) }

func (s *Server) ready() bool {
	return !s.stopping.Load() && s.config.Load().Rules != nil && time.Since(s.config.FreshAt()) < readyAge
}

func (s *Server) handle(ctx context.Context, c *fasthttp.RequestCtx) {
	begun := time.Now()
	rules := s.config.Load().Rules
	if rules == nil {
		s.refuse(c, "", "no configuration yet", nil)
		return
	}
	q, rest := match(rules, string(c.Host()), string(c.Path()))
	if q == nil {
		s.Counter("requests_unrouted").Inc(1)
		c.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, begun.Add(s.patience(c)))
	defer cancel()
	s.serve(ctx, c, *q, rest)
	s.Timer("requests_" + strings.ToLower(string(c.Method()))).Record(time.Since(begun))
}

func (s *Server) serve(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	switch {
	case c.IsGet() && id == "":
		s.waiting(ctx, c, q)
	case !isID(id):
		c.Error("job ID: want 16 hexadecimal digits, got "+id, fasthttp.StatusBadRequest)
	case c.IsPost():
		s.submit(ctx, c, q, id)
	case c.IsGet():
		s.state(ctx, c, id)
	case c.IsDelete():
		s.cancel(ctx, c, q, id)
	default:
		c.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// match returns the queue with the longest prefix, and the rest of the path.
func match(r *spar.Rules, host, path string) (*spar.Queue, string) {
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
	if len(s) != idLength {
		return false
	}
	return strings.Trim(s, "0123456789abcdefABCDEF") == ""
}

// patience is how long the caller still waits, less the answer's way.
func (s *Server) patience(c *fasthttp.RequestCtx) time.Duration {
	if raw := c.Request.Header.Peek(s.format.PatienceHeader); len(raw) > 0 {
		if n, err := fasthttp.ParseUint(raw); err == nil {
			return max(time.Duration(n)*time.Millisecond-answerTime, answerTime)
		}
	}
	return patience
}

func (s *Server) submit(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	j, err := s.format.Job(id, q.Name, time.Now(), c.PostBody())
	if err != nil {
		s.Info("job refused", "job", id, "queue", q.Name, "reason", "bad body", "err", err)
		c.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if q.Advised && !s.format.Advised {
		s.refuse(c, id, "queue needs advice and no adviser is set", nil)
		return
	}
	j.Policy = q
	s.store(ctx, c, id, "job accepted", q.Name, func() error { return s.jobs.Submit(ctx, j) })
}

func (s *Server) cancel(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue, id string) {
	s.store(ctx, c, id, "cancel accepted", q.Name, func() error { return s.jobs.Cancel(ctx, id) })
}

// store repeats a write until the store has answered or the caller's time is
// over. A write is refused only when no try of it can have been carried out.
func (s *Server) store(ctx context.Context, c *fasthttp.RequestCtx, id, what, queue string, write func() error) {
	unsure, begun := 0, time.Now()
	for {
		err := write()
		switch {
		case err == nil:
			s.Info(what, "job", id, "queue", queue, "version", s.config.Load().Rules.Version, "unsure", unsure, "took", time.Since(begun))
			s.Counter("stored").Inc(1)
			return
		case errors.Is(err, spar.ErrRefused) && unsure == 0:
			s.refuse(c, id, "store refuses", err)
			return
		case ctx.Err() != nil:
			s.Warn("outcome unknown", "job", id, "queue", queue, "unsure", unsure, "took", time.Since(begun), "err", err)
			s.Counter("unknown").Inc(1)
			c.SetStatusCode(fasthttp.StatusGatewayTimeout)
			return
		}
		if !errors.Is(err, spar.ErrRefused) {
			unsure++
		}
		track.Pause(ctx, storePause)
	}
}

func (s *Server) state(ctx context.Context, c *fasthttp.RequestCtx, id string) {
	var known bool
	var state shard.State
	err := s.ask(ctx, func() (err error) {
		state, known, err = s.jobs.State(ctx, id)
		return err
	})
	switch {
	case err != nil:
		s.refuse(c, id, "owner away", err)
	case !known:
		s.Info("job not known", "job", id)
		c.SetStatusCode(fasthttp.StatusGone)
	default:
		c.SetContentType("application/json")
		c.SetBody(s.format.State(string(state)))
	}
}

func (s *Server) waiting(ctx context.Context, c *fasthttp.RequestCtx, q spar.Queue) {
	var n int
	err := s.ask(ctx, func() (err error) {
		n, err = s.jobs.Waiting(ctx, q.Name)
		return err
	})
	if err != nil {
		s.refuse(c, "", "owner away", err)
		return
	}
	c.SetContentType("application/json")
	c.SetBody(s.format.Waiting(n))
}

// ask repeats a question for a while, since a new owner takes over soon.
func (s *Server) ask(ctx context.Context, question func() error) error {
	ctx, cancel := context.WithTimeout(ctx, askPatience)
	defer cancel()
	for {
		err := question()
		if err == nil || !errors.Is(err, owner.ErrAway) || ctx.Err() != nil {
			return err
		}
		track.Pause(ctx, storePause)
	}
}

// refuse answers at once that nothing was done and when to come again.
func (s *Server) refuse(c *fasthttp.RequestCtx, id, why string, err error) {
	s.Info("request refused", "job", id, "method", string(c.Method()), "reason", why, "configuration_age", time.Since(s.config.FreshAt()), "err", err)
	s.Counter("refused").Inc(1)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, comeAgain)
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
