package track

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// Owner follows where the owner of the shard is.
type Owner struct {
	*Topic
	last    atomic.Pointer[link.Record]
	changed chan struct{}

	mu sync.Mutex
	// entries are the addresses at which entries answer each other, by key.
	entries map[string]string
}

// NewOwner returns a follower that waits up to wait in each read. Errors go to
// failed.
func NewOwner(s spar.Store, wait time.Duration, failed func(error)) *Owner {
	o := &Owner{changed: make(chan struct{}, 1)}
	o.Topic = &Topic{Store: s, Name: link.OwnerTopic, Wait: wait, Reset: o.apply, Apply: o.apply, Failed: failed}
	return o
}

// Load returns the newest record, nil before the first.
func (o *Owner) Load() *link.Record { return o.last.Load() }

// Changed is signalled after each change.
func (o *Owner) Changed() <-chan struct{} { return o.changed }

// Entries returns the addresses at which entries answer each other; some may be
// gone.
func (o *Owner) Entries() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Sorted(maps.Values(o.entries))
}

func (o *Owner) applyEntry(r spar.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(r.Value) == 0 {
		delete(o.entries, r.Key)
		return
	}
	rec, err := link.DecodeRecord(r.Value)
	if err != nil {
		o.Failed(err)
		return
	}
	if o.entries == nil {
		o.entries = map[string]string{}
	}
	o.entries[r.Key] = rec.Peers
}

func (o *Owner) apply(records []spar.Record) {
	for _, r := range records {
		if strings.HasPrefix(r.Key, link.EntryPrefix) {
			o.applyEntry(r)
		}
		if r.Key != link.OwnerKey {
			continue
		}
		rec, err := link.DecodeRecord(r.Value)
		if err != nil {
			o.Failed(err)
			continue
		}
		if old := o.last.Load(); old != nil && rec.Epoch < old.Epoch {
			continue
		}
		o.last.Store(&rec)
		select {
		case o.changed <- struct{}{}:
		default:
		}
	}
}
