package plat

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Times and sizes of a call.
const (
	callTimeout  = 2 * time.Second
	maxAnswer    = 32 << 20
	maxIdle      = 10 * time.Second
	connectLimit = 500 * time.Millisecond
)

// client sends JSON requests over pooled connections. It never sends a request
// twice: retries are left to the caller.
type client struct {
	http *fasthttp.Client
	base string
}

func newClient(base string) client {
	return client{base: base, http: &fasthttp.Client{
		MaxIdleConnDuration:      maxIdle,
		MaxResponseBodySize:      maxAnswer,
		NoDefaultUserAgentHeader: true,
		RetryIfErr:               func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		Dial: func(addr string) (net.Conn, error) {
			return fasthttp.DialTimeout(addr, connectLimit)
		},
	}}
}

// call posts in as JSON, or sends a GET when in is nil, and decodes the answer.
// wait is the time that the server may hold the request before it answers; it is
// added to callTimeout.
func call[T any](ctx context.Context, c client, path string, in any, wait time.Duration) (T, error) {
	var out T
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI(c.base + path)
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return out, err
		}
		req.Header.SetMethod(fasthttp.MethodPost)
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	until := time.Now().Add(callTimeout + wait)
	if d, ok := ctx.Deadline(); ok && d.Before(until) {
		until = d
	}
	if err := ctx.Err(); err != nil {
		return out, errors.Mark(err, spar.ErrUnavailable)
	}
	if err := c.http.DoDeadline(req, res, until); err != nil {
		return out, errors.Mark(errors.Wrapf(err, "%s", path), spar.ErrUnavailable)
	}
	if res.StatusCode() == fasthttp.StatusGone {
		return out, errors.Wrapf(spar.ErrGone, "%s", res.Body())
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return out, errors.Mark(errors.Newf("%s: status %d: %s", path, res.StatusCode(), res.Body()), spar.ErrUnavailable)
	}
	err := json.Unmarshal(res.Body(), &out)
	return out, errors.Wrapf(err, "%s: answer", path)
}
