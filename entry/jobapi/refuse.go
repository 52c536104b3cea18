package jobapi

import (
	"strconv"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/valyala/fasthttp"
)

// maxPatienceMS is the longest time in ms that a caller is taken to wait.
const maxPatienceMS = 3_600_000

// patience returns how long the caller waits, or 0 if it doesn't tell.
func (s *Server) patience(c *fasthttp.RequestCtx) time.Duration {
	if raw := c.Request.Header.Peek(s.format.TimeoutHeader); len(raw) > 0 {
		if n, err := fasthttp.ParseUint(raw); err == nil {
			return time.Duration(min(max(n, 1), maxPatienceMS)) * time.Millisecond
		}
	}
	return 0
}

// callerTimeout returns how long the caller waits, less the time for the answer
// to reach it: replyReserve, or half of a short wait.
func (s *Server) callerTimeout(c *fasthttp.RequestCtx) time.Duration {
	patience := s.patience(c)
	if patience == 0 {
		return defaultTimeout
	}
	return max(patience-replyReserve, patience/2)
}

// refuseInvalid answers that a job cannot be accepted as it is. The error names the
// field.
func (s *Server) refuseInvalid(c *fasthttp.RequestCtx, id, queue string, err error) {
	s.Info("job refused", "job", id, "queue", queue, "reason", "invalid body", "err", err)
	c.Error(err.Error(), fasthttp.StatusBadRequest)
}

// refuse answers at once that nothing was done and when to try again.
func (s *Server) refuse(c *fasthttp.RequestCtx, q spar.Queue, id, reason string, err error) {
	s.refuseIn(c, id, reason, s.jobs.ReturnIn(id, q, s.patience(c)), err)
}

func (s *Server) refuseIn(c *fasthttp.RequestCtx, id, reason string, back time.Duration, err error) {
	s.Info("request refused", "job", id, "method", string(c.Method()), "reason", reason, "return", back, "took", time.Since(c.Time()), "configuration_age", time.Since(s.config.FreshAt()), "err", err)
	s.Counter("refused").Inc(1)
	s.Counter("refused_" + strings.ReplaceAll(reason, " ", "_")).Inc(1)
	c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(admit.Seconds(back)))
	c.SetStatusCode(fasthttp.StatusServiceUnavailable)
}
