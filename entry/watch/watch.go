// Package watch fences agents and expels entries that are silent, and ends the
// waiting times of fences. It also removes old facts from the fold, and appends
// snapshots so that the log always holds one within its retention period.
package watch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/entry/agents"
	"github.com/berylspar/spar/entry/peers"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/member"
	"github.com/berylspar/spar/rendez"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
)

// Settings are the silences after which processes are fenced or expelled, and
// the retention periods.
type Settings struct {
	// SuspectMS is the silence after which an agent with tasks is fenced.
	SuspectMS int64 `json:"suspect_ms" jsonschema:"minimum=500,maximum=600000,description=silence after which an agent that holds tasks is fenced in ms"`
	// ExpelMS is the silence after which an entry is expelled.
	ExpelMS int64 `json:"expel_ms" jsonschema:"minimum=1000,maximum=600000,description=silence after which an entry is expelled in ms"`
	// RetainMS is the retention period of the log.
	RetainMS int64 `json:"retain_ms" jsonschema:"minimum=2000,description=time that the log keeps a record in ms; a snapshot goes on the log at a third of it"`
	// KeepMS is how long ended jobs and completed keyed requests can still be
	// queried.
	KeepMS int64 `json:"keep_ms" jsonschema:"minimum=1000,description=time that ended jobs and settled requests are remembered in ms"`
}

// DefaultSettings returns the settings for a log with a retention of one day.
func DefaultSettings() Settings {
	return Settings{SuspectMS: 3000, ExpelMS: 10_000, RetainMS: 86_400_000, KeepMS: 7_200_000}
}

// Intervals, timeouts and limits of the watcher.
const (
	checkInterval = 200 * time.Millisecond
	// appendTimeout bounds an append. Within it, the same append is not started
	// again.
	appendTimeout       = 5 * time.Second
	maintenanceInterval = time.Second
	// maxForgetsPerPass bounds the appends that one pass starts at the same time.
	maxForgetsPerPass = 200
)

// Watcher checks agents, entries and fences at an interval.
type Watcher struct {
	common.Common
	settings Settings
	name     string
	terms    lease.Terms
	tail     *tail.Tail
	view     *member.View
	table    *agents.Table
	peers    *peers.Peers
	// fenceReadAt holds, by session, when this entry first saw the fence.
	fenceReadAt map[string]time.Time
	// inProgress holds the time limits of the running appends by description.
	inProgress map[string]time.Time
	offsets    offsetHistory
	// lastSnapshotNS is when the last part of a snapshot was read, as Unix time in
	// nanoseconds.
	lastSnapshotNS atomic.Int64
	// nextSnapshotAt is the earliest time of the next snapshot by this entry.
	nextSnapshotAt time.Time
}

// NewWatcher returns the watcher of the entry with the given session name.
func NewWatcher(c common.Common, s Settings, name string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, p *peers.Peers) *Watcher {
	w := &Watcher{
		Common: c, settings: s, name: name, terms: t, tail: l, view: v, table: a, peers: p,
		fenceReadAt: map[string]time.Time{}, inProgress: map[string]time.Time{},
	}
	l.AddListener(w.onRecord)
	return w
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) <-chan error {
	lastMaintenance := time.Now()
	return common.Every(ctx, checkInterval, func(now time.Time) {
		w.check(ctx, now)
		if now.Sub(lastMaintenance) >= maintenanceInterval {
			w.forgetAndSnapshot(ctx, now)
			lastMaintenance = now
		}
	})
}

func (w *Watcher) check(ctx context.Context, now time.Time) {
	if now.Sub(w.tail.FreshAt()) > w.terms.Fresh() || !w.view.IsMember(now) {
		return
	}
	live := w.peers.Live(now)
	w.fenceSilent(ctx, now, live)
	w.endFenceWaits(ctx, now, live)
	w.expelSilent(ctx, now)
}

// fenceSilent fences the sessions of agents that hold tasks and are silent.
func (w *Watcher) fenceSilent(ctx context.Context, now time.Time, live []string) {
	limit := time.Duration(w.settings.SuspectMS) * time.Millisecond
	var silent []*wire.Fence
	w.tail.View(func(f *fold.State) {
		for _, s := range f.Sessions() {
			if _, fenced := f.Fence(s); fenced || w.table.Silence(s, now) < limit {
				continue
			}
			silent = append(silent, &wire.Fence{Session: s, Worker: workerOf(f, s), Reason: string(spar.ReasonSilent)})
		}
	})
	for _, f := range silent {
		if rendez.Owner(f.GetSession(), live) == w.name {
			w.view.RecordFenceAttempt(f.GetSession())
			w.append(ctx, now, "fence "+f.GetSession(), f.GetWorker(), spar.ReasonSilent, &wire.Record{Body: &wire.Record_Fence{Fence: f}})
		}
	}
}

// workerOf returns the worker of a session that has running tasks.
func workerOf(f *fold.State, session string) string {
	for _, id := range f.Running(session) {
		t := f.Job(id.Job).Task(int(id.Index))
		return t.Worker()
	}
	return ""
}

// endFenceWaits appends a lapse record for each fence that this entry read longer
// than the fence wait ago.
func (w *Watcher) endFenceWaits(ctx context.Context, now time.Time, live []string) {
	var due []fold.Fence
	w.tail.View(func(f *fold.State) {
		for _, fence := range f.Fences() {
			readAt, seen := w.fenceReadAt[fence.Session()]
			switch {
			case fence.IsLapsed():
				delete(w.fenceReadAt, fence.Session())
			case !seen:
				w.fenceReadAt[fence.Session()] = now
			case now.Sub(readAt) > w.terms.FenceWait():
				due = append(due, fence)
			}
		}
	})
	for _, fence := range due {
		if rendez.Owner(fence.Session(), live) == w.name {
			w.append(ctx, now, "lapse "+fence.Session(), fence.Worker(), spar.ReasonSilent, &wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Session: fence.Session()}}})
		}
	}
}

// expelSilent expels the entries that are silent.
func (w *Watcher) expelSilent(ctx context.Context, now time.Time) {
	limit := time.Duration(w.settings.ExpelMS) * time.Millisecond
	for _, e := range w.view.RequiredPeers() {
		if w.view.SilentFor(e, now) < limit {
			continue
		}
		w.view.RecordExpelAttempt(e)
		w.append(ctx, now, "expel "+e, e, spar.ReasonSilent, &wire.Record{Body: &wire.Record_Expel{Expel: &wire.Expel{Entry: e, Reason: string(spar.ReasonSilent)}}})
	}
}

// append starts an append in the background, unless one with the same description
// is in progress. It does not report the result: if the record had no effect on
// the fold, a later pass starts the append again.
func (w *Watcher) append(ctx context.Context, now time.Time, description, subject string, reason spar.Reason, r *wire.Record) {
	if until, ok := w.inProgress[description]; ok && now.Before(until) {
		return
	}
	w.inProgress[description] = now.Add(appendTimeout)
	for other, until := range w.inProgress {
		if now.After(until) {
			delete(w.inProgress, other)
		}
	}
	r.By = w.name
	if reason != spar.ReasonNone {
		w.AddDecision(subject, description, reason, "")
		w.Info(description, "subject", subject, "reason", reason)
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		if _, err := w.tail.Append(ctx, r); err != nil {
			w.Warn("append to the log not confirmed", "what", description, "err", err)
		}
	}()
}
