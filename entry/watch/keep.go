package watch

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/rendez"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
)

// snapShare is the share of the retention after which a new snapshot goes on
// the log, as a divisor. A snapshot is thus on the log long before retention
// passes over the one before it.
const snapShare = 3

// offsets maps times to offsets, so that the age of a record is known without
// a clock on the log. An entry that has just started takes all records for new,
// which errs on the late side.
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

// keep puts snapshots on the log, and forgets what ended long ago.
func (w *Watch) keep(ctx context.Context, now time.Time) {
	if now.Sub(w.tail.FreshAt()) > w.terms.Fresh() {
		return
	}
	var over []string
	var snapshot *wire.Snapshot
	w.tail.View(func(f *fold.State) {
		w.offsets.add(now, f.Next())
		over = f.Forgettable(w.offsets.before(now.Add(-time.Duration(w.settings.KeepMS) * time.Millisecond)))
		if w.snapDue(now) {
			snapshot = f.Snapshot()
		}
	})
	live := w.peers.Live(now)
	for _, fact := range over[:min(len(over), maxForget)] {
		if rendez.Owner(fact, live) == w.name {
			w.append(ctx, now, "forget "+fact, fact, spar.ReasonNone, &wire.Record{Body: &wire.Record_Forget{Forget: &wire.Forget{Fact: fact}}})
		}
	}
	if snapshot != nil && rendez.Owner("snapshot", live) == w.name {
		w.snap(ctx, now, snapshot)
	}
}

// snapDue tells whether the newest whole snapshot that was seen is old, or none
// was. What another entry appended counts.
func (w *Watch) snapDue(now time.Time) bool {
	every := time.Duration(w.settings.RetainMS) * time.Millisecond / snapShare
	seen := time.Unix(0, w.snapped.Load())
	return now.Sub(seen) > every && now.After(w.snapAgain)
}

func (w *Watch) snap(ctx context.Context, now time.Time, n *wire.Snapshot) {
	records, err := tail.SplitSnapshot(w.name, n)
	if err != nil {
		w.Warn("snapshot not made", "err", err)
		return
	}
	w.snapAgain = now.Add(appendLimit)
	w.Info("snapshot", "offset", n.GetOffset(), "parts", len(records))
	for _, r := range records {
		w.append(ctx, now, "part "+string(r.GetId()), "snapshot", spar.ReasonNone, r)
	}
}

// applied notes the last piece of a snapshot.
func (w *Watch) applied(_ *fold.State, a tail.Applied) {
	if p := a.Record.GetPart(); p != nil && p.GetIndex()+1 == p.GetCount() {
		w.snapped.Store(time.Now().UnixNano())
	}
}
