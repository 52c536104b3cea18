package owner

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/shard"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// explainPath is where the owner explains what it would do with a job.
	explainPath = "/explanations"
	// explainTimeout bounds a question to the owner.
	explainTimeout = 2 * time.Second
	// explainInterval is the shortest time between two explanations, each of which takes
	// about as long as a planning pass and a copy of the state.
	explainInterval = 500 * time.Millisecond
	// maxExplainPass is the duration of a planning pass from which the owner explains
	// nothing.
	maxExplainPass = tickInterval / 2
)

// Explanation is what the owner tells of a job without doing anything.
type Explanation struct {
	// Known reports whether the job has been submitted.
	Known bool `json:"known"`
	// Ended is the final state of a job that has one. Nothing else is told of it then.
	Ended   shard.State `json:"ended,omitempty"`
	Failure string      `json:"failure,omitempty"`
	// Admission is how a new job would be decided about, by what is known of the load,
	// which is LoadAge old. IsAdmissionOn reports whether that decides at all.
	Admission     admit.Verdict `json:"admission"`
	IsAdmissionOn bool          `json:"admission_on"`
	LoadAge       time.Duration `json:"load_age_ns"`
	// OwnerFor is how long the owner has been serving, and Workers the number that it
	// knows. A new owner knows few at first.
	OwnerFor time.Duration `json:"owner_for_ns"`
	Workers  int           `json:"workers"`
	// Plan is what the next planning pass would do.
	Plan shard.Explanation `json:"plan,omitzero"`
}

// ErrBusy means that the owner has no time for an explanation now.
var ErrBusy = errors.New("owner is busy")

// Explain tells what the owner would do with a job now: a known one with the ID, or else
// a new one. It fails with ErrUnreachable or ErrBusy.
func (c *Client) Explain(ctx context.Context, j spar.Job) (Explanation, error) {
	if t := c.candidate.servingTerm(); t != nil {
		return t.explain(j)
	}
	owner := c.directory.Owner()
	if owner == nil || owner.PeerAddress == c.candidate.self.PeerAddress {
		return Explanation{}, errors.Wrap(ErrUnreachable, "no other entry is known to be the owner")
	}
	code, body, err := c.candidate.peers.Call(http.MethodPost, owner.PeerAddress, explainPath, shard.EncodeJob(j), capToDeadline(ctx, explainTimeout))
	var out Explanation
	switch {
	case err != nil:
		return out, errors.Mark(err, ErrUnreachable)
	case code == fasthttp.StatusTooManyRequests:
		return out, errors.Wrapf(ErrBusy, "owner at %s", owner.PeerAddress)
	case code != fasthttp.StatusOK:
		return out, errors.Wrapf(ErrUnreachable, "owner at %s answered status %d", owner.PeerAddress, code)
	}
	return out, errors.Wrapf(json.Unmarshal(body, &out), "decode explanation of owner at %s", owner.PeerAddress)
}

// explain tells what this owner would do with a job. It changes nothing.
func (t *term) explain(j spar.Job) (Explanation, error) {
	now := time.Now()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	state, known := t.scheduler.JobState(j.ID)
	out := Explanation{Known: known, OwnerFor: now.Sub(time.Unix(0, t.readyAt.Load())), Workers: len(t.sessions)}
	if err := t.checkSubmissionsRead(); !known && err != nil {
		return out, err
	}
	if state == shard.Completed || state == shard.Failed || state == shard.Cancelled {
		out.Ended, out.Failure = state, t.scheduler.JobFailure(j.ID)
		return out, nil
	}
	if !known && len(j.Steps) == 0 {
		return out, nil
	}
	if !t.mayExplain(now) {
		return out, ErrBusy
	}
	out.IsAdmissionOn = t.settings.Admission.isOn()
	load := t.loadLocked(now)
	q := admit.NewRequest(&j, shard.ShortestPath(j.Steps))
	if !known {
		q.History = admit.NeverAccepted
	}
	out.Admission, out.LoadAge = t.settings.Admission.rules().Decide(load, q), load.Age
	plan, ok := t.scheduler.Explain(j, now)
	if !ok {
		return out, errors.Wrap(ErrBusy, "too many tasks to copy")
	}
	out.Plan = plan
	t.Info("job explained", "job", j.ID, "known", known, "outcome", out.Admission.Reason, "jobs_ahead", plan.JobsAhead, "took", time.Since(now))
	return out, nil
}

// mayExplain reports whether the owner has time for an explanation, and takes it.
func (t *term) mayExplain(now time.Time) bool {
	last := t.explainedAt.Load()
	return time.Duration(t.passTime.Load()) < maxExplainPass && now.Sub(time.Unix(0, last)) >= explainInterval &&
		t.explainedAt.CompareAndSwap(last, now.UnixNano())
}

// answerExplanation answers another entry's question.
func (c *Candidate) answerExplanation(rc *fasthttp.RequestCtx) {
	j, err := codec.Decode[spar.Job](rc.PostBody())
	if err == nil && len(j.Steps) > 0 {
		err = j.Check()
	}
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	t := c.servingTerm()
	if t == nil {
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	e, err := t.explain(j)
	switch {
	case errors.Is(err, ErrBusy):
		rc.SetStatusCode(fasthttp.StatusTooManyRequests)
	case err != nil:
		rc.SetStatusCode(fasthttp.StatusServiceUnavailable)
	default:
		common.WriteJSON(rc, e)
	}
}
