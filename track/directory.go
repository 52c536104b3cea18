package track

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// Directory follows the published addresses of the owner and of all entries.
type Directory struct {
	*Follower
	owner   atomic.Pointer[link.EntryRecord]
	changed chan struct{}

	mu sync.Mutex
	// entries holds the addresses of the entries by record key, and removedAt is when the
	// last of them was removed.
	entries   map[string]link.EntryRecord
	removedAt time.Time
}

// NewDirectory returns a directory whose reads wait up to wait for a new record.
// Errors are passed to onError.
func NewDirectory(s spar.Store, wait time.Duration, onError func(error)) *Directory {
	d := &Directory{changed: make(chan struct{}, 1)}
	d.Follower = &Follower{Store: s, Topic: link.OwnerTopic, Wait: wait, OnSnapshot: d.apply, OnRecords: d.apply, OnError: onError}
	return d
}

// Owner returns the newest record of the owner, nil before the first.
func (d *Directory) Owner() *link.EntryRecord { return d.owner.Load() }

// OwnerChanged returns a channel that is signalled after each change of the owner's record.
func (d *Directory) OwnerChanged() <-chan struct{} { return d.changed }

// LastRemoval returns when an entry was last seen to remove its record; zero if none was.
func (d *Directory) LastRemoval() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.removedAt
}

// PeerAddresses returns the addresses at which entries call each other. Some of
// the entries may be gone.
func (d *Directory) PeerAddresses() []string {
	return d.addresses(func(r link.EntryRecord) string { return r.PeerAddress })
}

// AgentAddresses returns the addresses at which agents reach the entries. Some of the
// entries may be gone.
func (d *Directory) AgentAddresses() []string {
	return d.addresses(func(r link.EntryRecord) string { return r.AgentAddress })
}

// LeastJobMemory returns the least memory that an entry has for jobs as the owner, in bytes,
// or 0 if it is not known of any.
func (d *Directory) LeastJobMemory() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	var least int64
	for _, r := range d.entries {
		if r.JobMemory > 0 && (least == 0 || r.JobMemory < least) {
			least = r.JobMemory
		}
	}
	return least
}

// addresses returns the distinct addresses of one kind in their order.
func (d *Directory) addresses(of func(link.EntryRecord) string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, r := range d.entries {
		if a := of(r); a != "" {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

func (d *Directory) applyEntry(r spar.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(r.Value) == 0 {
		if _, known := d.entries[r.Key]; known {
			d.removedAt = time.Now()
		}
		delete(d.entries, r.Key)
		return
	}
	rec, err := link.DecodeEntryRecord(r.Value)
	if err != nil {
		d.OnError(err)
		return
	}
	if d.entries == nil {
		d.entries = map[string]link.EntryRecord{}
	}
	d.entries[r.Key] = rec
}

func (d *Directory) apply(records []spar.Record) {
	for _, r := range records {
		if strings.HasPrefix(r.Key, link.EntryPrefix) {
			d.applyEntry(r)
		}
		if r.Key != link.OwnerKey {
			continue
		}
		rec, err := link.DecodeEntryRecord(r.Value)
		if err != nil {
			d.OnError(err)
			continue
		}
		if old := d.owner.Load(); old != nil && rec.Epoch < old.Epoch {
			continue
		}
		d.owner.Store(&rec)
		select {
		case d.changed <- struct{}{}:
		default:
		}
	}
}
