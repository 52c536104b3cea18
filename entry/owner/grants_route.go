package owner

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// grantsPath is the path at which a new owner asks an earlier one about its grants.
const grantsPath = "/grants"

// grantsAnswer is the answer of an earlier owner. With it no more leases are granted
// under an epoch below the asker's.
type grantsAnswer struct {
	// LastGrantAgeMS is how long ago, at least, the last lease was granted.
	LastGrantAgeMS *int64 `json:"last_grant_age_ms"`
	// Restarted reports whether the process is a later one than the earlier owner's.
	Restarted bool `json:"restarted,omitempty"`
}

func (a grantsAnswer) age() time.Duration { return time.Duration(*a.LastGrantAgeMS) * time.Millisecond }

// settleGrants answers a newer owner, and ends the current term if it is an older one.
func (c *Candidate) settleGrants(epoch, asker int64) grantsAnswer {
	age, restarted := c.grants.settle(epoch, asker, c.clock)
	if t := c.currentTerm(); t != nil && t.epoch < asker && !t.hasFailed() {
		t.fail(errors.Wrapf(spar.ErrFenced, "an owner of epoch %d has asked about grants", asker))
	}
	ms := age.Milliseconds()
	return grantsAnswer{LastGrantAgeMS: &ms, Restarted: restarted}
}

// answerGrants handles a newer owner's question.
func (c *Candidate) answerGrants(rc *fasthttp.RequestCtx) {
	epoch, err := epochArg(rc, "epoch", 0)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	asker, err := epochArg(rc, "asker", epoch)
	if err != nil {
		rc.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	a := c.settleGrants(epoch, asker)
	c.Info("asked about grants", "epoch", epoch, "by", asker, "age", a.age(), "restarted", a.Restarted)
	c.Counter("grants_asked").Inc(1)
	body, err := json.Marshal(a)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode answer about grants"))
	}
	rc.SetContentType("application/json")
	rc.SetBody(body)
}

// epochArg returns an epoch from the query, which must be above a limit.
func epochArg(rc *fasthttp.RequestCtx, field string, above int64) (int64, error) {
	text := string(rc.QueryArgs().Peek(field))
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n <= above {
		return 0, errors.Newf("%s: want a number above %d, got %q", field, above, text)
	}
	return n, nil
}

// askGrants asks an earlier owner about its grants.
func (t *term) askGrants(p link.Predecessor) (grantsAnswer, error) {
	var a grantsAnswer
	path := fmt.Sprintf("%s?epoch=%d&asker=%d", grantsPath, p.Epoch, t.epoch)
	code, body, err := t.peers.Call(fasthttp.MethodPost, p.PeerAddress, path, nil, askTimeout)
	switch {
	case err != nil:
		return a, err
	case code != fasthttp.StatusOK:
		return a, errors.Newf("entry at %s answered a question about grants with status %d", p.PeerAddress, code)
	}
	if err := json.Unmarshal(body, &a); err != nil {
		return a, errors.Wrapf(err, "decode answer of entry at %s", p.PeerAddress)
	}
	if a.LastGrantAgeMS == nil || *a.LastGrantAgeMS < 0 {
		return a, errors.Newf("entry at %s answered a question about grants without an age", p.PeerAddress)
	}
	return a, nil
}
