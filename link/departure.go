package link

import "github.com/berylspar/spar"

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
}

// Split returns departures that together say the same and fit into a frame each. Ends come
// in their order, and Left is in the last one, so that it takes effect after all ends.
func (d *Departure) Split() []*Departure {
	var s splitter[Departure]
	for _, e := range d.Ended {
		p := s.message(len(e.Checkpoint) + len(e.Task.Job))
		p.Ended = append(p.Ended, e)
	}
	last := s.current
	last.Left = d.Left
	out := append(s.full, &last)
	for _, p := range out {
		p.Node, p.Life = d.Node, d.Life
	}
	return out
}
