package link

import (
	"time"

	"github.com/berylspar/spar"
)

// Departure is what the agent of a worker that leaves tells all entries, since the owner
// may end before it has stored it. It stays true whoever owns the shard.
type Departure struct {
	// Node is the name of the agent's instance.
	Node string `msgpack:"n"`
	// Life is the worker's life that the departure is about. Other lives of the worker
	// are not affected.
	Life spar.Life `msgpack:"l"`
	// Ended holds ends of runs that the worker has listed and no owner has acknowledged.
	Ended []spar.Ended `msgpack:"e,omitempty"`
	// Left reports that the worker has signed off and no longer answers, so that every
	// run on it is over.
	Left bool `msgpack:"q,omitempty"`
	// LeaseLeft is the longest time that leases on the life can still run, from when this
	// was sent. It is set for a worker that has signed off and is not known to have ended:
	// the agent extends no lease on it any more.
	LeaseLeft *time.Duration `msgpack:"v,omitempty"`
}

// Split returns departures that together say the same and fit into a frame each. Ends come
// in their order, and Left and LeaseLeft are in the last one, so that they take effect
// after all ends.
func (d *Departure) Split() []*Departure {
	var s splitter[Departure]
	for _, e := range d.Ended {
		p := s.message(len(e.Checkpoint) + len(e.Task.Job))
		p.Ended = append(p.Ended, e)
	}
	last := s.current
	last.Left, last.LeaseLeft = d.Left, d.LeaseLeft
	out := append(s.full, &last)
	for _, p := range out {
		p.Node, p.Life = d.Node, d.Life
	}
	return out
}

// After returns the departure as it is to be told some time after it was made.
func (d *Departure) After(elapsed time.Duration) *Departure {
	later := *d
	if d.LeaseLeft != nil {
		left := max(*d.LeaseLeft-elapsed, 0)
		later.LeaseLeft = &left
	}
	return &later
}
