package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// progress is the stored form of a job's progress.
type progress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	State    State
	Begun    bool
	Occurs   []occurProgress
}

type occurProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   int
	Tasks    []taskProgress
}

// taskProgress is stored for the tasks of which there is something to tell.
type taskProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Step     int
	Index    int
	Done     bool
	Last     int64
	Failed   []int64
	Saved    string
	Runs     []runProgress
}

type runProgress struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec
	Number   int64
	Node     string
	Life     string
	Born     int64
}

func (j *job) encode() []byte {
	p := progress{State: j.state, Begun: j.begun}
	for _, o := range j.occurs {
		op := occurProgress{Number: o.number}
		if !j.ended() {
			op.Tasks = o.encode()
		}
		p.Occurs = append(p.Occurs, op)
	}
	out, err := msgpack.Marshal(&p)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "progress of job %s", j.ID))
	}
	return out
}

func (o *occur) encode() []taskProgress {
	var out []taskProgress
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.last == 0 && !t.done {
				continue
			}
			tp := taskProgress{Step: s.index, Index: t.index, Done: t.done, Last: t.last, Failed: t.failed}
			if !t.done {
				tp.Saved = t.saved
				for _, r := range t.runs {
					tp.Runs = append(tp.Runs, runProgress{Number: r.number, Node: r.worker.node, Life: r.worker.info.Life.ID, Born: r.worker.info.Life.Born})
				}
			}
			out = append(out, tp)
		}
	}
	return out
}

// Restore takes over a record of the stored progress. Runs that it names count as
// being on their workers until these answer, or until expires.
func (c *Core) Restore(id string, value []byte, now, expires time.Time) error {
	if id == modelKey {
		m, err := interf.Decode(value)
		if err == nil {
			c.interference, c.model = m, value
		}
		return err
	}
	j := c.jobs[id]
	if j == nil {
		return errors.Newf("progress of job %s, which is not known", id)
	}
	var p progress
	if err := msgpack.Unmarshal(value, &p); err != nil {
		return errors.Wrapf(err, "progress of job %s", id)
	}
	j.state, j.visible, j.begun = p.State, p.State, p.Begun
	if j.ended() {
		j.closed = now
		c.retire(j)
	}
	for _, op := range p.Occurs {
		o := j.occurAt(op.Number)
		for _, tp := range op.Tasks {
			t := j.find(spar.TaskRef{Job: id, Occur: o.number, Step: tp.Step, Index: tp.Index})
			if t == nil {
				return errors.Newf("progress of job %s names task %d.%d.%d, which it does not have", id, o.number, tp.Step, tp.Index)
			}
			c.restoreTask(t, tp, expires)
		}
	}
	return nil
}

func (c *Core) restoreTask(t *task, p taskProgress, expires time.Time) {
	t.last, t.failed, t.saved = p.Last, p.Failed, p.Saved
	if p.Done {
		t.done = true
		t.step.open--
		return
	}
	for _, rp := range p.Runs {
		life := spar.Life{ID: rp.Life, Born: rp.Born}
		w := c.workers[rp.Node]
		if w == nil {
			w = &worker{node: rp.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, expires: expires}
			c.workers[rp.Node] = w
		}
		if w.info.Life != life && w.info.Life.ID != life.ID {
			if w.info.Life.Born > life.Born {
				continue
			}
			// A later life of another name: what ran in the earlier is over.
			c.endLife(w)
			w = &worker{node: rp.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, expires: expires}
			c.workers[rp.Node] = w
		}
		w.info.Life.Born = max(w.info.Life.Born, life.Born)
		r := &run{task: t, worker: w, number: rp.Number, ordered: true, pace: 100, started: expires, moved: expires}
		t.runs = append(t.runs, r)
		w.runs[r] = true
	}
}

// occurAt returns an occurrence, made anew where it is not there yet.
func (j *job) occurAt(number int) *occur {
	for _, o := range j.occurs {
		if o.number == number {
			return o
		}
	}
	return j.newOccur(number, j.First.Add(time.Duration(number)*j.Interval))
}
