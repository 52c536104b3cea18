// Package config follows the operators' configuration and the failure domains
// that they have taken out. It decides nothing by them.
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

// Change is what a record of the operators' topic says.
type Change struct {
	Rules  *spar.Rules
	Domain string
	Back   bool
}

// Decode reads a record of the operators' topic.
type Decode func(spar.Record) (Change, error)

// View is what the operators want, at one moment.
type View struct {
	Rules  *spar.Rules
	Closed map[string]bool
}

// Watch follows the operators' topic.
type Watch struct {
	common.Common
	decode Decode
	topic  *track.Topic
	view   atomic.Pointer[View]
	// changed is signalled after each change.
	changed chan struct{}
}

// wait bounds the age of the configuration on a calm day.
const wait = time.Second

// NewWatch returns a watch on a topic of the store.
func NewWatch(c common.Common, s spar.Store, topic string, decode Decode) *Watch {
	w := &Watch{Common: c, decode: decode, changed: make(chan struct{}, 1)}
	w.view.Store(&View{Closed: map[string]bool{}})
	w.topic = &track.Topic{
		Store: s, Name: topic, Wait: wait, Reset: w.reset, Apply: w.apply,
		Failed: func(err error) { w.Warn("configuration not readable", "err", err) },
	}
	return w
}

// Run follows until the context ends.
func (w *Watch) Run(ctx context.Context) <-chan error { return w.topic.Run(ctx) }

// Load returns the newest view. Its rules are nil before the first.
func (w *Watch) Load() *View { return w.view.Load() }

// Changed is signalled after each change.
func (w *Watch) Changed() <-chan struct{} { return w.changed }

// FreshAt is the time up to which all changes are known.
func (w *Watch) FreshAt() time.Time { return w.topic.FreshAt() }

func (w *Watch) reset(records []spar.Record) {
	w.update(View{Rules: w.view.Load().Rules, Closed: map[string]bool{}}, records)
}

func (w *Watch) apply(records []spar.Record) {
	old := w.view.Load()
	w.update(View{Rules: old.Rules, Closed: maps.Clone(old.Closed)}, records)
}

func (w *Watch) update(v View, records []spar.Record) {
	for _, r := range records {
		c, err := w.decode(r)
		switch {
		case err != nil:
			w.Warn("record of the operators not readable", "key", r.Key, "err", err)
		case c.Rules != nil && (v.Rules == nil || c.Rules.Version > v.Rules.Version):
			w.Info("configuration in force", "version", c.Rules.Version, "queues", len(c.Rules.Queues))
			v.Rules = c.Rules
		case c.Domain != "" && c.Back:
			w.Info("failure domain is back", "domain", c.Domain)
			delete(v.Closed, c.Domain)
		case c.Domain != "":
			w.Info("failure domain closed", "domain", c.Domain)
			v.Closed[c.Domain] = true
		}
	}
	w.view.Store(&v)
	select {
	case w.changed <- struct{}{}:
	default:
	}
}
