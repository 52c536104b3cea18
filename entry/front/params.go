package front

import (
	"strconv"
	"time"

	"github.com/berylspar/spar/hops"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Limits of the request headers.
const (
	maxDeadline         = 60 * time.Second
	maxServiceNameBytes = 64
	maxKeyBytes         = 60
)

// params holds the parsed headers of a request, and the ID given to it.
type params struct {
	service    string
	deadline   time.Time
	repeatable bool
	key        string
	requestID  string
}

// parseParams reads the headers of a request. defaultDeadline applies to a request
// without a deadline. The error names the header.
func parseParams(c *fasthttp.RequestCtx, defaultDeadline time.Duration, now time.Time) (params, error) {
	h := &c.Request.Header
	p := params{service: string(h.Peek(hops.Service)), key: string(h.Peek(hops.Key))}
	if p.service == "" || len(p.service) > maxServiceNameBytes {
		return p, errors.Newf("%s: must name a service, in 1 to %d bytes", hops.Service, maxServiceNameBytes)
	}
	if len(p.key) > maxKeyBytes {
		return p, errors.Newf("%s: %d bytes, at most %d are taken", hops.Key, len(p.key), maxKeyBytes)
	}
	switch v := string(h.Peek(hops.Repeatable)); v {
	case "yes":
		p.repeatable = true
	case "no", "":
	default:
		return p, errors.Newf("%s: %q is neither yes nor no", hops.Repeatable, v)
	}
	if p.repeatable && p.key != "" {
		return p, errors.Newf("%s: a key is for requests that are not repeatable", hops.Key)
	}
	remaining := defaultDeadline
	if v := h.Peek(hops.Deadline); len(v) > 0 {
		ms, err := strconv.ParseInt(string(v), 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return p, errors.Newf("%s: %q is not a number of ms from 1 to %d", hops.Deadline, v, maxDeadline.Milliseconds())
		}
		remaining = time.Duration(ms) * time.Millisecond
	}
	p.deadline = now.Add(remaining)
	return p, nil
}
