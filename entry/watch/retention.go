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

// snapshotsPerRetention is the number of snapshots within the retention period of
// the log. A new snapshot is thus on the log long before the previous one is
// dropped.
const snapshotsPerRetention = 3

// offsetHistory maps times to offsets of the log, since records carry no times.
// After a start all records count as new, so that facts are forgotten too late
// rather than too early.
type offsetHistory struct {
	samples []sample
}

// sample holds the next offset of the log at a time.
type sample struct {
	at   time.Time
	next int64
}

// maxSamples bounds the memory for samples. The older half is dropped when there
// are more.
const maxSamples = 4096

func (o *offsetHistory) add(at time.Time, next int64) {
	n := len(o.samples)
	if n > 0 && o.samples[n-1].next == next {
		return
	}
	o.samples = append(o.samples, sample{at, next})
	if len(o.samples) > maxSamples {
		o.samples = o.samples[maxSamples/2:]
	}
}

// offsetBefore returns an offset such that all records below it are older than t.
// It is 0 if there is no sample from before t.
func (o *offsetHistory) offsetBefore(t time.Time) int64 {
	out := int64(0)
	for _, s := range o.samples {
		if s.at.After(t) {
			break
		}
		out = s.next
	}
	return out
}

// forgetAndSnapshot appends records that remove ended facts from the fold if no
// record has named them for Settings.KeepMS, and a snapshot if one is due.
func (w *Watcher) forgetAndSnapshot(ctx context.Context, now time.Time) {
	if now.Sub(w.tail.FreshAt()) > w.terms.Fresh() {
		return
	}
	var facts []string
	var snapshot *wire.Snapshot
	w.tail.View(func(f *fold.State) {
		w.offsets.add(now, f.Next())
		facts = f.Forgettable(w.offsets.offsetBefore(now.Add(-time.Duration(w.settings.KeepMS) * time.Millisecond)))
		if w.isSnapshotDue(now) {
			snapshot = f.Snapshot()
		}
	})
	live := w.peers.Live(now)
	for _, fact := range facts[:min(len(facts), maxForgetsPerPass)] {
		if rendez.Owner(fact, live) == w.name {
			w.append(ctx, now, "forget "+fact, fact, spar.ReasonNone, &wire.Record{Body: &wire.Record_Forget{Forget: &wire.Forget{Fact: fact}}})
		}
	}
	if snapshot != nil && rendez.Owner("snapshot", live) == w.name {
		w.appendSnapshot(ctx, now, snapshot)
	}
}

// isSnapshotDue reports whether no snapshot, of this or another entry, was read
// recently, and this entry is not appending one.
func (w *Watcher) isSnapshotDue(now time.Time) bool {
	interval := time.Duration(w.settings.RetainMS) * time.Millisecond / snapshotsPerRetention
	seen := time.Unix(0, w.lastSnapshotNS.Load())
	return now.Sub(seen) > interval && now.After(w.nextSnapshotAt)
}

// appendSnapshot starts the appends of all parts of a snapshot.
func (w *Watcher) appendSnapshot(ctx context.Context, now time.Time, snapshot *wire.Snapshot) {
	records, err := tail.SplitSnapshot(w.name, snapshot)
	if err != nil {
		w.Warn("snapshot not encoded", "err", err)
		return
	}
	w.nextSnapshotAt = now.Add(appendTimeout)
	w.Info("appending snapshot", "offset", snapshot.GetOffset(), "parts", len(records))
	for _, r := range records {
		w.append(ctx, now, "part "+string(r.GetId()), "snapshot", spar.ReasonNone, r)
	}
}

// onRecord is called for each folded record. It stores when the last part of a
// snapshot was read.
func (w *Watcher) onRecord(_ *fold.State, a tail.Applied) {
	if p := a.Record.GetPart(); p != nil && p.GetIndex()+1 == p.GetCount() {
		w.lastSnapshotNS.Store(time.Now().UnixNano())
	}
}
