package owner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/shard"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

const (
	// admissionPath is where the owner decides about a job, and triesPath where an entry
	// tells whether it has tried to store one.
	admissionPath = "/admission"
	triesPath     = "/tries/"
	// admissionTimeout bounds both questions. A job is accepted without an answer.
	admissionTimeout = 200 * time.Millisecond
	// loadParam asks the owner to put the load on the answer to a query.
	loadParam = "load"
)

// loadReply is a load on the wire.
type loadReply struct {
	AgeMS    int64                    `json:"age_ms"`
	Services map[string]admit.Service `json:"services"`
}

// triesReply is what an entry knows of the tries of a job. It remembers all tries of the
// last ReachMS.
type triesReply struct {
	Tried   bool  `json:"tried"`
	ReachMS int64 `json:"reach_ms"`
}

// heardLoad is the newest load that the owner has told this entry.
type heardLoad struct {
	mu       sync.Mutex
	at       time.Time
	services map[string]admit.Service
}

func (h *heardLoad) set(r *loadReply, asked time.Time) {
	if r == nil || r.AgeMS < 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	// The question's time is the latest at which the answer can't have been old.
	h.at, h.services = asked.Add(-time.Duration(r.AgeMS)*time.Millisecond), r.Services
}

func (h *heardLoad) load(now time.Time) admit.Load {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at.IsZero() {
		return admit.Load{}
	}
	return admit.Load{Age: now.Sub(h.at), Services: h.services}
}

// load returns the load of the shard. It is not known before the workers have had the
// time of a lease to open a session with this owner.
func (t *term) load(now time.Time) admit.Load {
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	return t.loadLocked(now)
}

func (t *term) loadLocked(now time.Time) admit.Load {
	if readyAt := t.readyAt.Load(); readyAt == 0 || now.Sub(time.Unix(0, readyAt)) < t.settings.lease() {
		return admit.Load{}
	}
	return t.scheduler.Load(now)
}

// Admit decides whether a job is accepted; patience is how long its caller goes on
// trying. It is refused only if the owner refuses it and all entries tell that they have
// not tried to store it: an earlier try may have been stored although its caller had no
// answer. If one of them doesn't tell, the job is accepted.
func (c *Client) Admit(ctx context.Context, j *spar.Job, patience time.Duration) admit.Verdict {
	s := c.candidate.settings.Admission
	if !s.isOn() {
		return admit.Verdict{Reason: admit.InTime}
	}
	q := admit.NewRequest(j, shard.ShortestPath(j.Steps))
	q.Patience, q.History = patience, admit.NeverAccepted
	heard := c.heard.load(time.Now())
	t := c.candidate.servingTerm()
	if t != nil {
		heard = t.load(time.Now())
	}
	v := s.rules().Decide(heard, q)
	if !v.IsRefused() {
		return v
	}
	expected := v.Wait
	untried := make(chan bool, 1)
	go func() { untried <- c.isUntried(ctx, j.ID) }()
	if t != nil {
		v = t.admit(q)
	} else {
		v = c.askAdmission(ctx, q)
	}
	if !<-untried {
		v = admit.Verdict{Reason: admit.Repeat, Wait: v.Wait}
	}
	c.Info("admission decided", "job", j.ID, "queue", j.Queue, "priority", q.Priority, "objective", q.Objective, "patience", patience,
		"load_age", heard.Age, "expected_wait", expected, "owner_wait", v.Wait, "outcome", v.Reason, "return", v.Return)
	c.Counter("admission_" + string(v.Reason)).Inc(1)
	return v
}

// admit decides about a job as the owner. The entry that asks finds out whether another
// one has tried to store it.
func (t *term) admit(q admit.Request) admit.Verdict {
	now := time.Now()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	q.History = admit.NeverAccepted
	if _, known := t.scheduler.JobState(q.ID); known || t.checkSubmissionsRead() != nil {
		q.History = admit.MayBeAccepted
	}
	q.Refusals = t.refusals.of(q.ID)
	v := t.settings.Admission.rules().Decide(t.loadLocked(now), q)
	if v.IsRefused() && !t.refusals.add(q.ID, now) {
		return admit.Verdict{Reason: admit.NotKnown, Wait: v.Wait}
	}
	return v
}

// askAdmission asks the owner to decide about a job.
func (c *Client) askAdmission(ctx context.Context, q admit.Request) admit.Verdict {
	unknown := admit.Verdict{Reason: admit.NotKnown}
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return unknown
	}
	body, err := json.Marshal(q)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode question about admission"))
	}
	code, answer, err := c.candidate.peers.Call(fasthttp.MethodPost, owner.PeerAddress, admissionPath, body, capToDeadline(ctx, admissionTimeout))
	var v admit.Verdict
	if err != nil || code != fasthttp.StatusOK || json.Unmarshal(answer, &v) != nil {
		return unknown
	}
	return v
}

// isUntried reports whether no entry can have tried to store a job.
func (c *Client) isUntried(ctx context.Context, id string) bool {
	if c.directory.FreshAt().IsZero() || time.Since(c.directory.LastRemoval()) < triesMemory || !c.candidate.triesOf(id).isUntried() {
		return false
	}
	var others []string
	for _, p := range c.directory.PeerAddresses() {
		if p != c.candidate.self.PeerAddress {
			others = append(others, p)
		}
	}
	untried := make(chan bool, len(others))
	for _, p := range others {
		go func() {
			code, body, err := c.candidate.peers.Call(fasthttp.MethodGet, p, triesPath+id, nil, capToDeadline(ctx, admissionTimeout))
			var r triesReply
			untried <- err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &r) == nil && r.isUntried()
		}()
	}
	all := true
	for range others {
		all = <-untried && all
	}
	return all
}

func (r triesReply) isUntried() bool {
	return !r.Tried && time.Duration(r.ReachMS)*time.Millisecond >= triesMemory
}

// triesOf tells what this entry knows of the tries of a job.
func (c *Candidate) triesOf(id string) triesReply {
	now := time.Now()
	return triesReply{Tried: c.tries.of(id) != NotTried, ReachMS: now.Sub(c.tries.reachesTo(c.begunAt)).Milliseconds()}
}

// Tried returns what this entry knows of earlier tries to hand a job in.
func (c *Client) Tried(id string) TryOutcome { return c.candidate.tries.of(id) }

// ReturnIn returns when a caller should come back that was refused since the store or the
// owner is away: as long again as that has lasted.
func (c *Client) ReturnIn(id string, q spar.Queue, patience time.Duration) time.Duration {
	s := c.candidate.settings.Admission
	if !s.isOn() {
		return time.Second
	}
	away := c.candidate.jobs.AwayFor(time.Now())
	return s.rules().Return(away, admit.Request{ID: id, Priority: q.Priority, Objective: q.Slack, Patience: patience})
}

// addAdmissionRoutes adds the routes that other entries call.
func (c *Candidate) addAdmissionRoutes(r *router.Router) {
	r.GET(triesPath+"{id}", func(rc *fasthttp.RequestCtx) { common.WriteJSON(rc, c.triesOf(rc.UserValue("id").(string))) })
	r.GET("/load", func(rc *fasthttp.RequestCtx) {
		t := c.servingTerm()
		if t == nil {
			rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		l := t.load(time.Now())
		common.WriteJSON(rc, loadReply{AgeMS: l.Age.Milliseconds(), Services: l.Services})
	})
	r.POST(admissionPath, func(rc *fasthttp.RequestCtx) {
		var q admit.Request
		t := c.servingTerm()
		if err := json.Unmarshal(rc.PostBody(), &q); err != nil || t == nil {
			rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
			return
		}
		common.WriteJSON(rc, t.admit(q))
	})
}
