package front

import (
	"bytes"
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/hops"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

// Limits of keyed requests, which run at most once.
const (
	// maxStoredBodyBytes is the longest answer that is stored on the log, to be
	// returned to a later request with the same key.
	maxStoredBodyBytes = 1024
	// outcomeTimeout bounds the appends that outlive their request.
	outcomeTimeout      = 60 * time.Second
	outcomePollInterval = 10 * time.Millisecond
	// claimDeadlineDivisor is the part of the remaining time that claiming the
	// key may use, as a divisor, so that time is left to run the request.
	claimDeadlineDivisor = 2
)

// serveKeyed serves a request that may run at most once: it claims the key on the
// log before it sends the first byte to an agent.
func (s *Server) serveKeyed(ctx context.Context, c *fasthttp.RequestCtx, p params) {
	record := &wire.Record{Id: tail.NewID(), By: s.name, Body: &wire.Record_Once{Once: &wire.Once{Key: p.service + "/" + p.key}}}
	claimCtx, cancel := context.WithDeadline(s.background, time.Now().Add(time.Until(p.deadline)/claimDeadlineDivisor))
	a, err := s.tail.Append(claimCtx, record)
	cancel()
	if err != nil {
		// The request is not sent, so the key must not stay claimed.
		s.releaseKey(record)
		s.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonLogDown, "")
		return
	}
	if !a.Outcome.IsValid() {
		s.serveDuplicate(c, p, a.Outcome.Reason())
		return
	}
	r := s.sendWithRetries(ctx, c, p)
	s.recordOutcome(record, r)
	s.writeResult(c, p, r)
}

// serveDuplicate answers a request whose key is claimed already. It polls for the
// outcome of the first request until the deadline.
func (s *Server) serveDuplicate(c *fasthttp.RequestCtx, p params, reason spar.Reason) {
	if reason != spar.ReasonKeyTaken {
		s.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, reason, "")
		return
	}
	key := p.service + "/" + p.key
	for {
		o, known := s.lookupKey(key)
		switch {
		case !known:
			s.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonKeyTaken, "")
			return
		case o.IsSettled() && !o.IsTruncated():
			c.SetBody(o.Body())
			c.SetStatusCode(o.Status())
			s.setOutcome(c, hops.Done, spar.ReasonDuplicate)
			return
		case o.IsSettled():
			s.writeStatus(c, fasthttp.StatusConflict, hops.Unknown, spar.ReasonDuplicate, "done before; the answer was too long to be kept\n")
			return
		case time.Now().Add(outcomePollInterval).After(p.deadline):
			s.writeStatus(c, fasthttp.StatusGatewayTimeout, hops.Unknown, spar.ReasonInProgress, "")
			return
		}
		time.Sleep(outcomePollInterval)
	}
}

// lookupKey returns the state of a claimed key; known is false if it is not
// claimed.
func (s *Server) lookupKey(key string) (o fold.Once, known bool) {
	s.tail.View(func(st *fold.State) { o, known = st.Once(key) })
	return o, known
}

// recordOutcome appends the outcome to the log in the background, so that the
// caller does not wait. An unknown outcome is not recorded, so the key stays
// claimed.
func (s *Server) recordOutcome(record *wire.Record, r *result) {
	settle := &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId()}
	switch r.outcome {
	case hops.NotRun:
		settle.NotRun = true
	case hops.Done:
		settle.Status = int32(r.response.StatusCode())
		settle.Truncated = len(r.response.Body()) > maxStoredBodyBytes
		if !settle.Truncated {
			settle.Body = bytes.Clone(r.response.Body())
		}
	default:
		return
	}
	s.goAppend(func(ctx context.Context) error {
		_, err := s.tail.Append(ctx, &wire.Record{By: s.name, Body: &wire.Record_Settle{Settle: settle}})
		return err
	})
}

// releaseKey releases a key whose claim was appended but not confirmed. It appends
// the claim again under the same ID, which returns once the claim is on the log,
// and then appends its release.
func (s *Server) releaseKey(record *wire.Record) {
	s.goAppend(func(ctx context.Context) error {
		if _, err := s.tail.Append(ctx, record); err != nil {
			return err
		}
		_, err := s.tail.Append(ctx, &wire.Record{By: s.name, Body: &wire.Record_Settle{
			Settle: &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId(), NotRun: true},
		}})
		return err
	})
}

// goAppend runs an append in the background, for at most outcomeTimeout.
// AwaitOutcomes waits for it.
func (s *Server) goAppend(work func(context.Context) error) {
	s.pendingOutcomes.Go(func() {
		ctx, cancel := context.WithTimeout(s.background, outcomeTimeout)
		defer cancel()
		if err := work(ctx); err != nil {
			s.Warn("could not append the outcome of a keyed request to the log", "err", err)
		}
	})
}
