// Package watch gives up on agents and entries that are silent, ends the waits
// of fences, and keeps a snapshot on the log that retention has not passed over.
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

// Settings are the limits of patience.
type Settings struct {
	// SuspectMS is the silence after which an agent with tasks is fenced.
	SuspectMS int64 `json:"suspect_ms" jsonschema:"minimum=500,maximum=600000,description=silence after which an agent that holds tasks is fenced in ms"`
	// ExpelMS is the silence after which an entry is expelled.
	ExpelMS int64 `json:"expel_ms" jsonschema:"minimum=1000,maximum=600000,description=silence after which an entry is expelled in ms"`
	// RetainMS is how long the log keeps a record.
	RetainMS int64 `json:"retain_ms" jsonschema:"minimum=2000,description=time that the log keeps a record in ms; a snapshot goes on the log at a third of it"`
	// KeepMS is how long what has ended can still be asked for.
	KeepMS int64 `json:"keep_ms" jsonschema:"minimum=1000,description=time that ended jobs and settled requests are remembered in ms"`
}

// DefaultSettings suit a log that keeps a day.
func DefaultSettings() Settings {
	return Settings{SuspectMS: 3000, ExpelMS: 10_000, RetainMS: 86_400_000, KeepMS: 7_200_000}
}

// Times of the loop.
const (
	every       = 200 * time.Millisecond
	appendLimit = 5 * time.Second
	keepEvery   = time.Second
	maxForget   = 200
)

// Watch is the loop.
type Watch struct {
	common.Common
	settings Settings
	name     string
	terms    lease.Terms
	tail     *tail.Tail
	view     *member.View
	table    *agents.Table
	peers    *peers.Peers
	fencedAt map[string]time.Time
	busy     map[string]time.Time
	offsets  offsets
	// snapped is when the last piece of a snapshot was read, in ns.
	snapped   atomic.Int64
	snapAgain time.Time
}

// NewWatch returns the loop of the entry with a session name.
func NewWatch(c common.Common, s Settings, name string, t lease.Terms, l *tail.Tail, v *member.View, a *agents.Table, p *peers.Peers) *Watch {
	w := &Watch{
		Common: c, settings: s, name: name, terms: t, tail: l, view: v, table: a, peers: p,
		fencedAt: map[string]time.Time{}, busy: map[string]time.Time{},
	}
	l.AddListener(w.applied)
	return w
}

// Run watches until the context ends.
func (w *Watch) Run(ctx context.Context) <-chan error {
	kept := time.Now()
	return common.Every(ctx, every, func(now time.Time) {
		w.step(ctx, now)
		if now.Sub(kept) >= keepEvery {
			w.keep(ctx, now)
			kept = now
		}
	})
}

func (w *Watch) step(ctx context.Context, now time.Time) {
	if now.Sub(w.tail.FreshAt()) > w.terms.Fresh() || !w.view.IsMember(now) {
		return
	}
	live := w.peers.Live(now)
	w.fenceSilent(ctx, now, live)
	w.lapse(ctx, now, live)
	w.expelSilent(ctx, now)
}

// fenceSilent gives up on agents that hold tasks and are silent.
func (w *Watch) fenceSilent(ctx context.Context, now time.Time, live []string) {
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

func workerOf(f *fold.State, session string) string {
	for _, id := range f.Running(session) {
		t := f.Job(id.Job).Task(int(id.Index))
		return t.Worker()
	}
	return ""
}

// lapse ends the wait of each fence, once its time has passed since it was
// read here.
func (w *Watch) lapse(ctx context.Context, now time.Time, live []string) {
	var over []fold.Fence
	w.tail.View(func(f *fold.State) {
		for _, n := range f.Fences() {
			at, seen := w.fencedAt[n.Session()]
			switch {
			case n.IsLapsed():
				delete(w.fencedAt, n.Session())
			case !seen:
				w.fencedAt[n.Session()] = now
			case now.Sub(at) > w.terms.FenceWait():
				over = append(over, n)
			}
		}
	})
	for _, n := range over {
		if rendez.Owner(n.Session(), live) == w.name {
			w.append(ctx, now, "lapse "+n.Session(), n.Worker(), spar.ReasonSilent, &wire.Record{Body: &wire.Record_Lapse{Lapse: &wire.Lapse{Session: n.Session()}}})
		}
	}
}

func (w *Watch) expelSilent(ctx context.Context, now time.Time) {
	limit := time.Duration(w.settings.ExpelMS) * time.Millisecond
	for _, e := range w.view.RequiredPeers() {
		if w.view.SilentFor(e, now) < limit {
			continue
		}
		w.view.RecordExpelAttempt(e)
		w.append(ctx, now, "expel "+e, e, spar.ReasonSilent, &wire.Record{Body: &wire.Record_Expel{Expel: &wire.Expel{Entry: e, Reason: string(spar.ReasonSilent)}}})
	}
}

// append starts an append, unless the same one is under way. It reports its end
// to nobody: the next pass sees what the fold made of it.
func (w *Watch) append(ctx context.Context, now time.Time, what, subject string, reason spar.Reason, r *wire.Record) {
	if until, ok := w.busy[what]; ok && now.Before(until) {
		return
	}
	w.busy[what] = now.Add(appendLimit)
	for k, until := range w.busy {
		if now.After(until) {
			delete(w.busy, k)
		}
	}
	r.By = w.name
	if reason != spar.ReasonNone {
		w.AddDecision(subject, what, reason, "")
		w.Info(what, "subject", subject, "reason", reason)
	}
	go func() {
		ctx, cancel := context.WithTimeout(ctx, appendLimit)
		defer cancel()
		if _, err := w.tail.Append(ctx, r); err != nil {
			w.Warn("append not answered", "what", what, "err", err)
		}
	}()
}
