// Package config follows the operators' configuration and the failure domains
// that they have closed. Other packages act on them.
package config

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/common"
	"github.com/berylspar/spar/track"
)

// Change is the content of a record of the operators' topic: a configuration, or
// a failure domain that was closed or, if Reopened is set, opened again.
type Change struct {
	Rules    *spar.Rules
	Domain   string
	Reopened bool
}

// Decode decodes a record of the operators' topic.
type Decode func(spar.Record) (Change, error)

// Snapshot holds the configuration and the closed failure domains at one moment.
type Snapshot struct {
	Rules         *spar.Rules
	ClosedDomains map[string]bool
}

// Watcher follows the operators' topic.
type Watcher struct {
	common.Common
	decode   Decode
	topic    *track.Follower
	snapshot atomic.Pointer[Snapshot]
	// changed is signalled after each change.
	changed chan struct{}
}

// readWait bounds how long a read of the topic waits. While nothing changes, the age of
// the configuration is up to twice that, which must not exceed the age from which no task
// is started.
const readWait = 800 * time.Millisecond

// NewWatcher returns a watcher of a topic of the store.
func NewWatcher(c common.Common, s spar.Store, topic string, decode Decode) *Watcher {
	w := &Watcher{Common: c, decode: decode, changed: make(chan struct{}, 1)}
	w.snapshot.Store(&Snapshot{ClosedDomains: map[string]bool{}})
	w.topic = &track.Follower{
		Store: s, Topic: topic, Wait: readWait, OnSnapshot: w.reset, OnRecords: w.apply,
		OnError: func(err error) { w.Warn("could not read the operators' topic", "err", err) },
	}
	return w
}

// Run follows until the context ends.
func (w *Watcher) Run(ctx context.Context) <-chan error { return w.topic.Run(ctx) }

// Load returns the newest snapshot. Its rules are nil until a configuration has
// been read.
func (w *Watcher) Load() *Snapshot { return w.snapshot.Load() }

// Changed is signalled after each change.
func (w *Watcher) Changed() <-chan struct{} { return w.changed }

// FreshAt returns the time up to which all changes are known.
func (w *Watcher) FreshAt() time.Time { return w.topic.FreshAt() }

// RepeatRead sends a read without an answer for minAge again; see track.Follower.
func (w *Watcher) RepeatRead(minAge time.Duration) { w.topic.RepeatRead(minAge) }

func (w *Watcher) reset(records []spar.Record) {
	w.update(Snapshot{Rules: w.snapshot.Load().Rules, ClosedDomains: map[string]bool{}}, records)
}

func (w *Watcher) apply(records []spar.Record) {
	old := w.snapshot.Load()
	w.update(Snapshot{Rules: old.Rules, ClosedDomains: maps.Clone(old.ClosedDomains)}, records)
}

func (w *Watcher) update(v Snapshot, records []spar.Record) {
	for _, r := range records {
		c, err := w.decode(r)
		switch {
		case err != nil:
			w.Warn("could not decode a record of the operators' topic", "key", r.Key, "err", err)
		case c.Rules != nil && (v.Rules == nil || c.Rules.Version > v.Rules.Version):
			w.Info("configuration in force", "version", c.Rules.Version, "queues", len(c.Rules.Queues))
			v.Rules = c.Rules
		case c.Domain != "" && c.Reopened:
			w.Info("failure domain opened again", "domain", c.Domain)
			delete(v.ClosedDomains, c.Domain)
		case c.Domain != "":
			w.Info("failure domain closed", "domain", c.Domain)
			v.ClosedDomains[c.Domain] = true
		}
	}
	w.snapshot.Store(&v)
	select {
	case w.changed <- struct{}{}:
	default:
	}
}
