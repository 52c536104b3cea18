package watch

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/rendez"
	"github.com/berylspar/spar/wire"
)

// offsets maps times to offsets, so that the age of a record is known without
// a clock on the log. An entry that has just started takes all records for new,
// which errs on the late side for what is forgotten; the oldest offset that the
// log still keeps bounds the other side.
type offsets struct {
	samples []sample
}

type sample struct {
	at   time.Time
	next int64
}

const maxSamples = 4096

func (o *offsets) add(at time.Time, next int64) {
	n := len(o.samples)
	if n > 0 && o.samples[n-1].next == next {
		return
	}
	o.samples = append(o.samples, sample{at, next})
	if len(o.samples) > maxSamples {
		o.samples = o.samples[maxSamples/2:]
	}
}

// before returns an offset such that all records below it are older than a
// time.
func (o *offsets) before(t time.Time) int64 {
	out := int64(0)
	for _, s := range o.samples {
		if s.at.After(t) {
			break
		}
		out = s.next
	}
	return out
}

// carry repeats old live facts, and forgets what ended long ago.
func (w *Watch) carry(ctx context.Context, now time.Time) {
	if now.Sub(w.tail.FreshAt()) > w.terms.Fresh() {
		return
	}
	live := w.peers.Live(now)
	half := now.Add(-time.Duration(w.settings.RetainMS) * time.Millisecond / 2)
	keep := now.Add(-time.Duration(w.settings.KeepMS) * time.Millisecond)
	var records []*wire.Record
	w.tail.View(func(f *fold.State) {
		w.offsets.add(now, f.Next())
		old := w.offsets.before(half)
		f.Prune(w.tail.Oldest())
		ended := w.offsets.before(keep)
		for _, fact := range f.Old(max(old, ended, w.tail.Oldest()+1)) {
			if rendez.Owner(fact, live) != w.name || len(records) >= maxCarry {
				continue
			}
			if r := w.keepOrForget(f, fact, old, ended); r != nil {
				records = append(records, r)
			}
		}
	})
	for _, r := range records {
		what, fact := "carry ", r.GetCarry().GetFact()
		if g := r.GetForget(); g != nil {
			what, fact = "forget ", g.GetFact()
		}
		w.append(ctx, now, what+fact, fact, spar.ReasonNone, r)
	}
}

func (w *Watch) keepOrForget(f *fold.State, fact string, old, ended int64) *wire.Record {
	if f.LastMention(fact) < ended && f.IsOver(fact) {
		return &wire.Record{Body: &wire.Record_Forget{Forget: &wire.Forget{Fact: fact}}}
	}
	if f.IsOld(fact, max(old, w.tail.Oldest()+1)) {
		return &wire.Record{Body: &wire.Record_Carry{Carry: f.Carry(fact)}}
	}
	return nil
}
