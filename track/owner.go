package track

import (
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

func (o *Owner) apply(records []spar.Record) {
	for _, r := range records {
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
