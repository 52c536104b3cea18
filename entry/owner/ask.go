package owner

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/hedge"
	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	// askLimit ends a question to the owner without an answer.
	askLimit = 500 * time.Millisecond
	// askConnect ends a connection attempt without an answer.
	askConnect = 300 * time.Millisecond
	// newsAge is how old an owner's knowledge of submissions may be for it to
	// say that a job does not exist.
	newsAge = 1500 * time.Millisecond
)

// ErrAway says that the owner can't be asked now.
var ErrAway = errors.New("owner not reachable")

// Asker answers questions about jobs, at the owner or by asking it.
type Asker struct {
	common.Common
	owner  *Owner
	place  *track.Owner
	client *fasthttp.Client
	writes hedge.Caller
}

// NewAsker returns an asker beside a member of the election.
func NewAsker(c common.Common, o *Owner, place *track.Owner) *Asker {
	return &Asker{Common: c, owner: o, place: place, client: &fasthttp.Client{
		Dial:                     func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, askConnect) },
		NoDefaultUserAgentHeader: true, MaxIdleConnDuration: 10 * time.Second,
	}}
}

// reply is an answer between entries.
type reply struct {
	State   shard.State `json:"state,omitempty"`
	Known   bool        `json:"known,omitempty"`
	Waiting int         `json:"waiting,omitempty"`
}

// State returns a job's state, and false for a job that does not exist.
func (a *Asker) State(ctx context.Context, id string) (shard.State, bool, error) {
	r, err := a.ask(ctx, "/jobs/"+id, func(t *term) (reply, error) { return t.stateOf(id) })
	return r.State, r.Known, err
}

// Waiting returns how many jobs of a queue have not begun.
func (a *Asker) Waiting(ctx context.Context, queue string) (int, error) {
	r, err := a.ask(ctx, "/queues/"+queue, func(t *term) (reply, error) { return t.waitingIn(queue) })
	return r.Waiting, err
}

// serving returns the term if it may answer questions.
func (o *Owner) serving() *term {
	if t := o.current(); t != nil && t.ready() && t.holds() {
		return t
	}
	return nil
}

// Local answers a question for a job's state without asking another entry.
func (o *Owner) Local(id string) (shard.State, bool, error) {
	t := o.serving()
	if t == nil {
		return "", false, ErrAway
	}
	r, err := t.stateOf(id)
	return r.State, r.Known, err
}

func (t *term) stateOf(id string) (reply, error) {
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	s, ok := t.core.JobState(id)
	if !ok && time.Since(t.jobs.FreshAt()) > newsAge {
		return reply{}, errors.Wrapf(ErrAway, "job %s: submissions not read for %s", id, time.Since(t.jobs.FreshAt()))
	}
	return reply{State: s, Known: ok}, nil
}

func (t *term) waitingIn(queue string) (reply, error) {
	t.coreMu.Lock()
	defer t.coreMu.Unlock()
	return reply{Waiting: t.core.WaitingJobs(queue)}, nil
}

func (a *Asker) ask(ctx context.Context, path string, local func(*term) (reply, error)) (reply, error) {
	if t := a.owner.serving(); t != nil {
		return local(t)
	}
	at := a.place.Load()
	if at == nil || at.Peers == a.owner.self.Peers {
		return reply{}, errors.Wrap(ErrAway, "no owner is known")
	}
	code, body, err := a.call(fasthttp.MethodGet, at.Peers, path, nil, within(ctx, askLimit))
	switch {
	case err != nil:
		return reply{}, errors.Mark(err, ErrAway)
	case code != fasthttp.StatusOK:
		return reply{}, errors.Wrapf(ErrAway, "owner at %s answers %d", at.Peers, code)
	}
	var r reply
	err = json.Unmarshal(body, &r)
	return r, errors.Wrapf(err, "owner at %s", at.Peers)
}

// call makes a call to another entry. Without an answer its idle connections are
// given up, since they may have gone silent together.
func (a *Asker) call(method, peer, path string, body []byte, limit time.Duration) (int, []byte, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + peer + path)
	req.SetBodyRaw(body)
	if err := a.client.DoTimeout(req, resp, limit); err != nil {
		a.client.CloseIdleConnections()
		return 0, nil, errors.Wrapf(err, "entry at %s", peer)
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...), nil
}

// within is a limit, or what is left of the context's time where that is less.
func within(ctx context.Context, limit time.Duration) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(d))
	}
	return limit
}

// Routes adds the routes of other entries' questions.
func (o *Owner) Routes(r *router.Router) {
	r.GET("/jobs/{id}", func(c *fasthttp.RequestCtx) {
		o.answer(c, func(t *term) (reply, error) { return t.stateOf(c.UserValue("id").(string)) })
	})
	r.POST("/records", o.takeRecord)
	r.GET("/queues/{name}", func(c *fasthttp.RequestCtx) {
		o.answer(c, func(t *term) (reply, error) { return t.waitingIn(c.UserValue("name").(string)) })
	})
}

func (o *Owner) answer(c *fasthttp.RequestCtx, local func(*term) (reply, error)) {
	t := o.serving()
	if t == nil {
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	r, err := local(t)
	if err != nil {
		o.Warn("question not answered", "path", string(c.Path()), "err", err)
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := json.Marshal(r)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "reply"))
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
