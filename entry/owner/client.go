package owner

import (
	"context"
	"encoding/json"
	"sync/atomic"
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
	// queryTimeout bounds a query to the owner.
	queryTimeout = 500 * time.Millisecond
	// connectTimeout bounds a connection attempt to another entry.
	connectTimeout = 300 * time.Millisecond
	// maxSubmissionsAge is how long ago the owner may have last read the
	// submissions for it to answer that a job does not exist.
	maxSubmissionsAge = 1500 * time.Millisecond
)

// ErrUnreachable means that no owner can answer a query at the moment.
var ErrUnreachable = errors.New("owner not reachable")

// Client submits and cancels jobs through the store, and queries the owner: in
// this process if it owns the shard, else over HTTP.
type Client struct {
	common.Common
	candidate    *Candidate
	directory    *track.Directory
	writeLatency hedge.Latency
	// relayedAt is when another entry last stored a record for this one, in Unix
	// nanoseconds.
	relayedAt atomic.Int64
	// heard is the newest load that the owner has told.
	heard heardLoad
	// allowance is the memory for jobs that this entry may fill without asking, and
	// roomQuestions holds an element for each question for more.
	allowance     allowance
	roomQuestions chan struct{}
}

// NewClient returns a client in the process of a candidate.
func NewClient(c common.Common, candidate *Candidate, directory *track.Directory) *Client {
	return &Client{
		Common: c, candidate: candidate, directory: directory,
		allowance: newAllowance(candidate.settings.jobMemory()), roomQuestions: make(chan struct{}, maxRoomQuestions),
	}
}

// reply is the answer to another entry's query.
type reply struct {
	State shard.State `json:"state,omitempty"`
	Known bool        `json:"known,omitempty"`
	// Failure says why a job has failed.
	Failure string `json:"failure,omitempty"`
	Waiting int    `json:"waiting,omitempty"`
	// Load is set if the query asks for it.
	Load *loadReply `json:"load,omitempty"`
}

// JobStatus is what the owner tells about a job. A job that does not exist is not
// Known. Failure says why a job has failed.
type JobStatus struct {
	State   shard.State
	Known   bool
	Failure string
}

// State returns a job's status.
func (c *Client) State(ctx context.Context, id string) (JobStatus, error) {
	r, err := c.query(ctx, "/jobs/"+id, func(t *term) (reply, error) { return t.stateOf(id) })
	return JobStatus{State: r.State, Known: r.Known, Failure: r.Failure}, err
}

// Waiting returns how many jobs of a queue have not started.
func (c *Client) Waiting(ctx context.Context, queue string) (int, error) {
	r, err := c.query(ctx, "/queues/"+queue, func(t *term) (reply, error) { return t.waitingIn(queue) })
	return r.Waiting, err
}

// servingTerm returns the current term if it may answer queries, else nil.
func (c *Candidate) servingTerm() *term {
	if t := c.currentTerm(); t != nil && t.isReady() && t.isValid() {
		return t
	}
	return nil
}

// LocalState returns a job's state, and false if the job does not exist. Unlike
// Client.State it never queries another entry.
func (c *Candidate) LocalState(id string) (shard.State, bool, error) {
	t := c.servingTerm()
	if t == nil {
		return "", false, ErrUnreachable
	}
	r, err := t.stateOf(id)
	return r.State, r.Known, err
}

func (t *term) stateOf(id string) (reply, error) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	s, ok := t.scheduler.JobState(id)
	if !ok {
		if err := t.checkSubmissionsRead(); err != nil {
			return reply{}, errors.Wrapf(err, "job %s is not known", id)
		}
	}
	return reply{State: s, Known: ok, Failure: t.scheduler.JobFailure(id)}, nil
}

// checkSubmissionsRead returns an error if a submission that was accepted a while ago may
// not have been read yet.
func (t *term) checkSubmissionsRead() error {
	readAt, failing := t.jobs.FreshAt(), t.jobs.IsFailing()
	switch age := time.Since(readAt); {
	case readAt.IsZero():
		return errors.Wrap(ErrUnreachable, "submissions have not been read yet")
	case age > maxSubmissionsAge || failing:
		return errors.Wrapf(ErrUnreachable, "submissions were last read %s ago (last read failed: %v)", age, failing)
	}
	return nil
}

func (t *term) waitingIn(queue string) (reply, error) {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	return reply{Waiting: t.scheduler.WaitingJobs(queue)}, nil
}

func (c *Client) query(ctx context.Context, path string, local func(*term) (reply, error)) (reply, error) {
	if t := c.candidate.servingTerm(); t != nil {
		return local(t)
	}
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return reply{}, errors.Wrap(ErrUnreachable, "no other entry is known to be the owner")
	}
	if c.candidate.settings.Admission.isOn() {
		path += "?" + loadParam + "=1"
	}
	asked := time.Now()
	code, body, err := c.candidate.peers.Call(fasthttp.MethodGet, owner.PeerAddress, path, nil, capToDeadline(ctx, queryTimeout))
	switch {
	case err != nil:
		return reply{}, errors.Mark(err, ErrUnreachable)
	case code != fasthttp.StatusOK:
		return reply{}, errors.Wrapf(ErrUnreachable, "owner at %s answered a query with status %d", owner.PeerAddress, code)
	}
	var r reply
	if err = json.Unmarshal(body, &r); err == nil {
		c.heard.set(r.Load, asked)
	}
	return r, errors.Wrapf(err, "decode reply of owner at %s", owner.PeerAddress)
}

// capToDeadline returns limit, or the time left until the context's deadline if
// that is less.
func capToDeadline(ctx context.Context, limit time.Duration) time.Duration {
	if d, ok := ctx.Deadline(); ok {
		return min(limit, time.Until(d))
	}
	return limit
}

// MaxRequestBytes returns the largest body of a request of another entry: a submission
// that the store accepts.
func (c *Candidate) MaxRequestBytes() int { return c.settings.valueBytes() }

// AddRoutes adds the routes that other entries call.
func (c *Candidate) AddRoutes(r *router.Router) {
	// The address is held by now, so an earlier process at it is over.
	c.grants.raise(c.clock())
	r.GET("/jobs/{id}", func(rc *fasthttp.RequestCtx) {
		c.answerQuery(rc, func(t *term) (reply, error) { return t.stateOf(rc.UserValue("id").(string)) })
	})
	r.POST("/records", c.storeForPeer)
	c.addAdmissionRoutes(r)
	r.POST(roomPath, c.answerRoom)
	c.addWitnessRoutes(r)
	r.POST(explainPath, c.answerExplanation)
	r.POST(grantsPath, c.answerGrants)
	r.GET(departuresPath, c.answerDepartures)
	r.GET("/queues/{name}", func(rc *fasthttp.RequestCtx) {
		c.answerQuery(rc, func(t *term) (reply, error) { return t.waitingIn(rc.UserValue("name").(string)) })
	})
}

func (c *Candidate) answerQuery(rc *fasthttp.RequestCtx, local func(*term) (reply, error)) {
	t := c.servingTerm()
	if t == nil {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	r, err := local(t)
	if err != nil {
		c.Warn("query not answered", "path", string(rc.Path()), "err", err)
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if rc.QueryArgs().Has(loadParam) {
		if l := t.load(time.Now()); l.Services != nil {
			r.Load = &loadReply{AgeMS: l.Age.Milliseconds(), Services: l.Services}
		}
	}
	common.WriteJSON(rc, r)
}
