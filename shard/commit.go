package shard

import (
	"bytes"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// modelKey is the key of what is known of the images; no job's ID has a
	// hash sign.
	modelKey = "#clash"
	// learnEvery bounds how often that is stored.
	learnEvery = 2 * time.Second
)

// Commit is what has to be stored before its effects may be seen.
type Commit struct {
	// Records go to the progress topic.
	Records []spar.Record
	states  map[*job]State
	orders  []*run
	acks    map[*worker]int64
	// Drops are jobs to be forgotten.
	Drops []string
}

// Empty says that there is nothing to store and nothing that waits for it.
func (c *Commit) Empty() bool {
	return len(c.Records) == 0 && len(c.acks) == 0 && len(c.orders) == 0 && len(c.Drops) == 0
}

// Prepare gathers what has changed since the last commit.
func (c *Core) Prepare() *Commit {
	out := &Commit{states: map[*job]State{}, orders: c.orders, acks: c.acks, Drops: c.drops}
	for j := range c.changed {
		out.Records = append(out.Records, spar.Record{Key: j.ID, Value: j.encode()})
		out.states[j] = j.state
	}
	for _, id := range c.drops {
		out.Records = append(out.Records, spar.Record{Key: id})
	}
	if c.interference.Known() > 0 && c.now.Sub(c.learned) >= learnEvery {
		if v := c.interference.Encode(); !bytes.Equal(v, c.model) {
			out.Records = append(out.Records, spar.Record{Key: modelKey, Value: v})
			c.model = v
		}
		c.learned = c.now
	}
	c.changed, c.orders, c.acks, c.drops = map[*job]bool{}, nil, map[*worker]int64{}, nil
	return out
}

// Committed releases the effects of a stored commit: states become visible,
// orders and acknowledgements may be sent. Orders need the right to give them,
// and the session that they were claimed for; a run without is free again,
// since nobody was told of it. It returns the messages by node.
func (c *Core) Committed(m *Commit, mayOrder bool) map[string]*link.Down {
	out := map[string]*link.Down{}
	for j, s := range m.states {
		if j.visible != Cancelled {
			j.visible = s
		}
	}
	for w, n := range m.acks {
		if w.gone {
			// The numbers of a new life's ends begin anew.
			continue
		}
		if n > w.acked {
			w.acked = n
		}
		if w.token != 0 {
			down(out, w).Acked = w.acked
		}
	}
	for _, r := range m.orders {
		w := r.worker
		if !w.runs[r] {
			continue
		}
		if !mayOrder || w.token != r.token || !w.listed || r.stopping {
			c.free(r)
			continue
		}
		r.ordered = true
		t := r.task
		down(out, w).Starts = append(down(out, w).Starts, spar.StartOrder{
			Task: t.ref(), Run: r.number, Spec: t.step.job.Spec, Checkpoint: t.saved,
			Ticket: t.step.advice.leaves[w.info.Life.ID].ticket,
		})
	}
	return out
}

// Immediate returns the messages that need nothing stored: stops and paces.
// A stop of a run that was claimed and not ordered is settled here.
func (c *Core) Immediate() map[string]*link.Down {
	out := map[string]*link.Down{}
	for r := range c.stops {
		w := r.worker
		if w.token == 0 {
			// The next session lists the run, and the stop is ordered then.
			continue
		}
		d := down(out, w)
		d.Stops = append(d.Stops, link.Stop{Task: r.task.ref(), Run: r.number})
	}
	for r := range c.paces {
		if w := r.worker; w.token != 0 && w.listed {
			d := down(out, w)
			d.Paces = append(d.Paces, link.Pace{Task: r.task.ref(), Run: r.number, Percent: r.pace})
		}
	}
	c.stops, c.paces = map[*run]bool{}, map[*run]bool{}
	return out
}

// orderLimit is how long an order may go without an outcome before the session
// is opened anew, which settles it.
const orderLimit = 6 * time.Second

// Overdue returns the nodes that owe the outcome of an order for too long.
func (c *Core) Overdue(now time.Time) []string {
	var out []string
	for _, w := range c.workers {
		for r := range w.runs {
			if w.token != 0 && w.listed && r.ordered && !r.confirmed && r.token == w.token && now.Sub(r.started) > orderLimit {
				c.events(Event{What: "outcome overdue", Task: r.task.ref().String(), Run: r.number, Node: w.node})
				out = append(out, w.node)
				break
			}
		}
	}
	return out
}

func down(all map[string]*link.Down, w *worker) *link.Down {
	if all[w.node] == nil {
		all[w.node] = &link.Down{}
	}
	return all[w.node]
}

// EncodeJob returns the stored form of a submission.
func EncodeJob(j spar.Job) []byte {
	out, err := msgpack.Marshal(&j)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "job %s", j.ID))
	}
	return out
}

// DecodeJob reads the stored form of a submission.
func DecodeJob(value []byte) (spar.Job, error) {
	var j spar.Job
	err := msgpack.Unmarshal(value, &j)
	return j, errors.Wrap(err, "submission")
}
