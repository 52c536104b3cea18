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

// Limits of requests that may run at most once.
const (
	// maxKept is the longest answer that is kept for a second try, in bytes.
	maxStoredBodyBytes  = 1024
	outcomeTimeout      = 60 * time.Second
	outcomePollInterval = 10 * time.Millisecond
	// takeShare is the share of the deadline that taking the key may use, as
	// a divisor.
	claimDeadlineDivisor = 2
)

// once serves a request that may run at most once: its key is taken on the log
// before the first byte goes out.
func (f *Server) serveKeyed(ctx context.Context, c *fasthttp.RequestCtx, k params) {
	record := &wire.Record{Id: tail.NewID(), By: f.name, Body: &wire.Record_Once{Once: &wire.Once{Key: k.service + "/" + k.key}}}
	until, cancel := context.WithDeadline(f.background, time.Now().Add(time.Until(k.deadline)/claimDeadlineDivisor))
	a, err := f.tail.Append(until, record)
	cancel()
	if err != nil {
		// Nothing was sent, and nothing will be: the key is given back.
		f.releaseKey(record)
		f.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonLogDown, "")
		return
	}
	if !a.Outcome.IsValid() {
		f.serveDuplicate(c, k, a.Outcome.Reason())
		return
	}
	r := f.sendWithRetries(ctx, c, k)
	f.recordOutcome(record, r)
	f.writeResult(c, k, r)
}

// second answers a later try with the outcome of the first.
func (f *Server) serveDuplicate(c *fasthttp.RequestCtx, k params, reason spar.Reason) {
	if reason != spar.ReasonKeyTaken {
		f.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, reason, "")
		return
	}
	key := k.service + "/" + k.key
	for {
		o, known := f.lookupKey(key)
		switch {
		case !known:
			f.writeStatus(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonKeyTaken, "")
			return
		case o.IsSettled() && !o.IsTruncated():
			c.SetBody(o.Body())
			c.SetStatusCode(o.Status())
			f.setOutcome(c, hops.Done, spar.ReasonDuplicate)
			return
		case o.IsSettled():
			f.writeStatus(c, fasthttp.StatusConflict, hops.Unknown, spar.ReasonDuplicate, "done before; the answer was too long to be kept\n")
			return
		case time.Now().Add(outcomePollInterval).After(k.deadline):
			f.writeStatus(c, fasthttp.StatusGatewayTimeout, hops.Unknown, spar.ReasonInProgress, "")
			return
		}
		time.Sleep(outcomePollInterval)
	}
}

func (f *Server) lookupKey(key string) (o fold.Once, known bool) {
	f.tail.View(func(s *fold.State) { o, known = s.Once(key) })
	return o, known
}

// settle puts the outcome on the log, without making the caller wait. An
// outcome that is not known is never settled, so the key stays taken.
func (f *Server) recordOutcome(record *wire.Record, r *result) {
	s := &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId()}
	switch r.outcome {
	case hops.NotRun:
		s.NotRun = true
	case hops.Done:
		s.Status = int32(r.response.StatusCode())
		s.Truncated = len(r.response.Body()) > maxStoredBodyBytes
		if !s.Truncated {
			s.Body = bytes.Clone(r.response.Body())
		}
	default:
		return
	}
	f.goAppend(func(ctx context.Context) error {
		_, err := f.tail.Append(ctx, &wire.Record{By: f.name, Body: &wire.Record_Settle{Settle: s}})
		return err
	})
}

// free gives back a key whose taking was not read back: it waits until the
// record has landed, by appending it under the same id, and then releases it.
func (f *Server) releaseKey(record *wire.Record) {
	f.goAppend(func(ctx context.Context) error {
		if _, err := f.tail.Append(ctx, record); err != nil {
			return err
		}
		_, err := f.tail.Append(ctx, &wire.Record{By: f.name, Body: &wire.Record_Settle{
			Settle: &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId(), NotRun: true},
		}})
		return err
	})
}

func (f *Server) goAppend(work func(context.Context) error) {
	f.pendingOutcomes.Go(func() {
		ctx, cancel := context.WithTimeout(f.background, outcomeTimeout)
		defer cancel()
		if err := work(ctx); err != nil {
			f.Warn("outcome of a keyed request is not on the log", "err", err)
		}
	})
}
