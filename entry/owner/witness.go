package owner

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// An owner that can't renew its term grants leases for a grace period. It may do so only while
// some of the other entries, its witnesses, confirm that no newer owner has asked them. A newer
// owner that gets no answer from it asks the witnesses instead. Both ask so many that one of
// those is the same; see graceQuorum and fenceQuorum. A witness that has answered the newer
// owner confirms the earlier one no more, so that the newer owner knows when the last lease was
// granted, whatever has become of the earlier one.

const (
	// confirmPath is where an owner asks a witness for a confirmation, and fencePath where a
	// newer owner asks when the last one was given.
	confirmPath = "/grace/confirmations"
	fencePath   = "/grace/fences"
)

// graceQuorum is how many of n witnesses must confirm an owner, and fenceQuorum how many must
// answer a newer one.
func graceQuorum(n int) int { return (n + 1) / 2 }
func fenceQuorum(n int) int { return n - graceQuorum(n) + 1 }

// witness is what this entry has confirmed to owners. Times are of the candidate's clock.
type witness struct {
	mu sync.Mutex
	// fence is the lowest epoch that is confirmed.
	fence int64
	// last is when the last confirmation was given. It starts as the start of the process:
	// an earlier process at the same address was over by then.
	last time.Duration
}

// raise records that a confirmation may have been given at a time.
func (w *witness) raise(at time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.last = max(w.last, at)
}

// confirm confirms an owner, unless a newer one has asked.
func (w *witness) confirm(epoch int64, clock func() time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.fence {
		return false
	}
	w.last = max(w.last, clock())
	return true
}

// fenceBelow confirms no owner of an epoch below the asker's any more. It returns how long
// ago, at least, the last one was confirmed.
func (w *witness) fenceBelow(asker int64, clock func() time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fence = max(w.fence, asker)
	return clock() - w.last
}

// fenceAnswer is the answer of a witness to a newer owner.
type fenceAnswer struct {
	// ConfirmedAgeMS is how long ago, at least, an owner of an earlier epoch was confirmed.
	ConfirmedAgeMS *int64 `json:"confirmed_age_ms"`
}

// Follow has the candidate learn from a directory of the entries. Without one it has no
// witnesses and is none.
func (c *Candidate) Follow(d *track.Directory) { c.directory = d }

// confirmOwner confirms an owner as a witness. An earlier process at this address may have
// answered a newer owner, which had published its record before it asked: so the entry must
// have read the newest owner's record since it was started.
func (c *Candidate) confirmOwner(epoch int64) bool {
	if c.directory == nil || c.directory.FreshAt().IsZero() {
		return false
	}
	if o := c.directory.Owner(); o == nil || o.Epoch > epoch {
		return false
	}
	return c.witness.confirm(epoch, c.clock)
}

// addWitnessRoutes adds the routes that owners call.
func (c *Candidate) addWitnessRoutes(r *router.Router) {
	// The address is held by now, so an earlier process at it is over.
	c.witness.raise(c.clock())
	r.POST(confirmPath, func(rc *fasthttp.RequestCtx) {
		epoch, err := epochArg(rc, "epoch", 0)
		switch {
		case err != nil:
			rc.Error(err.Error(), fasthttp.StatusBadRequest)
		case !c.confirmOwner(epoch):
			rc.SetStatusCode(fasthttp.StatusConflict)
		}
	})
	r.POST(fencePath, func(rc *fasthttp.RequestCtx) {
		asker, err := epochArg(rc, "asker", 0)
		if err != nil {
			rc.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		age := c.witness.fenceBelow(asker, c.clock)
		c.Info("asked as a witness", "by", asker, "confirmed", age)
		ms := age.Milliseconds()
		common.WriteJSON(rc, fenceAnswer{ConfirmedAgeMS: &ms})
	})
}

// askWitness asks a witness of an earlier owner when it gave its last confirmation.
func (t *term) askWitness(address string) (time.Time, error) {
	if address == t.self.PeerAddress {
		return time.Now().Add(-t.witness.fenceBelow(t.epoch, t.clock)), nil
	}
	code, body, err := t.peers.Call(fasthttp.MethodPost, address, fmt.Sprintf("%s?asker=%d", fencePath, t.epoch), nil, askTimeout)
	switch {
	case err != nil:
		return time.Time{}, err
	case code != fasthttp.StatusOK:
		return time.Time{}, errors.Newf("witness at %s answered a newer owner with status %d", address, code)
	}
	var a fenceAnswer
	if err := json.Unmarshal(body, &a); err != nil {
		return time.Time{}, errors.Wrapf(err, "decode answer of witness at %s", address)
	}
	if a.ConfirmedAgeMS == nil || *a.ConfirmedAgeMS < 0 {
		return time.Time{}, errors.Newf("witness at %s answered a newer owner without an age", address)
	}
	return time.Now().Add(-time.Duration(*a.ConfirmedAgeMS) * time.Millisecond), nil
}
