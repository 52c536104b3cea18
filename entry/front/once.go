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
	maxKept     = 1024
	settleLimit = 60 * time.Second
	pollEvery   = 10 * time.Millisecond
	// takeShare is the share of the deadline that taking the key may use, as
	// a divisor.
	takeShare = 2
)

// once serves a request that may run at most once: its key is taken on the log
// before the first byte goes out.
func (f *Server) once(ctx context.Context, c *fasthttp.RequestCtx, k call) {
	record := &wire.Record{Id: tail.NewID(), By: f.name, Body: &wire.Record_Once{Once: &wire.Once{Key: k.service + "/" + k.key}}}
	until, cancel := context.WithDeadline(f.life, time.Now().Add(time.Until(k.deadline)/takeShare))
	a, err := f.tail.Append(until, record)
	cancel()
	if err != nil {
		// Nothing was sent, and nothing will be: the key is given back.
		f.free(record)
		f.answer(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonLogDown, "")
		return
	}
	if !a.Outcome.IsValid() {
		f.second(c, k, a.Outcome.Reason())
		return
	}
	r := f.try(ctx, c, k)
	f.settle(record, r)
	f.deliver(c, k, r)
}

// second answers a later try with the outcome of the first.
func (f *Server) second(c *fasthttp.RequestCtx, k call, reason spar.Reason) {
	if reason != spar.ReasonKeyTaken {
		f.answer(c, fasthttp.StatusServiceUnavailable, hops.NotRun, reason, "")
		return
	}
	key := k.service + "/" + k.key
	for {
		o, known := f.lookup(key)
		switch {
		case !known:
			f.answer(c, fasthttp.StatusServiceUnavailable, hops.NotRun, spar.ReasonKeyTaken, "")
			return
		case o.IsSettled() && !o.IsTruncated():
			c.SetBody(o.Body())
			c.SetStatusCode(o.Status())
			f.seal(c, hops.Done, spar.ReasonDuplicate)
			return
		case o.IsSettled():
			f.answer(c, fasthttp.StatusConflict, hops.Unknown, spar.ReasonDuplicate, "done before; the answer was too long to be kept\n")
			return
		case time.Now().Add(pollEvery).After(k.deadline):
			f.answer(c, fasthttp.StatusGatewayTimeout, hops.Unknown, spar.ReasonInProgress, "")
			return
		}
		time.Sleep(pollEvery)
	}
}

func (f *Server) lookup(key string) (o fold.Once, known bool) {
	f.tail.View(func(s *fold.State) { o, known = s.Once(key) })
	return o, known
}

// settle puts the outcome on the log, without making the caller wait. An
// outcome that is not known is never settled, so the key stays taken.
func (f *Server) settle(record *wire.Record, r *result) {
	s := &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId()}
	switch r.outcome {
	case hops.NotRun:
		s.NotRun = true
	case hops.Done:
		s.Status = int32(r.response.StatusCode())
		s.Truncated = len(r.response.Body()) > maxKept
		if !s.Truncated {
			s.Body = bytes.Clone(r.response.Body())
		}
	default:
		return
	}
	f.later(func(ctx context.Context) error {
		_, err := f.tail.Append(ctx, &wire.Record{By: f.name, Body: &wire.Record_Settle{Settle: s}})
		return err
	})
}

// free gives back a key whose taking was not read back: it waits until the
// record has landed, by appending it under the same id, and then releases it.
func (f *Server) free(record *wire.Record) {
	f.later(func(ctx context.Context) error {
		if _, err := f.tail.Append(ctx, record); err != nil {
			return err
		}
		_, err := f.tail.Append(ctx, &wire.Record{By: f.name, Body: &wire.Record_Settle{
			Settle: &wire.Settle{Key: record.GetOnce().GetKey(), Holder: record.GetId(), NotRun: true},
		}})
		return err
	})
}

func (f *Server) later(work func(context.Context) error) {
	f.settling.Go(func() {
		ctx, cancel := context.WithTimeout(f.life, settleLimit)
		defer cancel()
		if err := work(ctx); err != nil {
			f.Warn("outcome of a keyed request is not on the log", "err", err)
		}
	})
}
