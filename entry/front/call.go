package front

import (
	"strconv"
	"time"

	"github.com/berylspar/spar/hops"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	maxDeadline         = 60 * time.Second
	maxServiceNameBytes = 64
	maxKeyBytes         = 60
)

// call is what a caller asked for.
type params struct {
	service    string
	deadline   time.Time
	repeatable bool
	key        string
	requestID  string
}

// parse reads the headers of a request. The error names the header.
func parseParams(c *fasthttp.RequestCtx, normal time.Duration, now time.Time) (params, error) {
	h := &c.Request.Header
	k := params{service: string(h.Peek(hops.Service)), key: string(h.Peek(hops.Key))}
	if k.service == "" || len(k.service) > maxServiceNameBytes {
		return k, errors.Newf("%s: must name a service, in 1 to %d bytes", hops.Service, maxServiceNameBytes)
	}
	if len(k.key) > maxKeyBytes {
		return k, errors.Newf("%s: %d bytes, at most %d are taken", hops.Key, len(k.key), maxKeyBytes)
	}
	switch v := string(h.Peek(hops.Repeatable)); v {
	case "yes":
		k.repeatable = true
	case "no", "":
	default:
		return k, errors.Newf("%s: %q is neither yes nor no", hops.Repeatable, v)
	}
	if k.repeatable && k.key != "" {
		return k, errors.Newf("%s: a key is for requests that are not repeatable", hops.Key)
	}
	left := normal
	if v := h.Peek(hops.Deadline); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return k, errors.Newf("%s: %q is not a number of ms from 1 to %d", hops.Deadline, v, maxDeadline.Milliseconds())
		}
		left = time.Duration(ms) * time.Millisecond
	}
	k.deadline = now.Add(left)
	return k, nil
}
