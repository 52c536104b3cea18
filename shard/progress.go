package shard

import (
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/interf"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// progress is the stored form of a job's progress. It and the types below are
// encoded as arrays, whose fields must stay as they are: a record with more or fewer
// cannot be read by another build.
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

// taskProgress is stored for tasks that are done or have been claimed at least
// once.
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

// encode returns the stored form of a job's progress. Tasks of an ended job are
// left out.
func (j *job) encode() []byte {
	p := progress{State: j.state, Begun: j.started}
	for _, o := range j.occurrences {
		op := occurProgress{Number: o.number}
		if !j.hasEnded() {
			op.Tasks = o.encode()
		}
		p.Occurs = append(p.Occurs, op)
	}
	out, err := msgpack.Marshal(&p)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode progress of job %s", j.ID))
	}
	return out
}

func (o *occurrence) encode() []taskProgress {
	var out []taskProgress
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if t.lastRun == 0 && !t.done {
				continue
			}
			tp := taskProgress{Step: s.index, Index: t.index, Done: t.done, Last: t.lastRun, Failed: t.failedRuns}
			if !t.done {
				tp.Saved = t.checkpoint
				for _, r := range t.runs {
					tp.Runs = append(tp.Runs, runProgress{Number: r.number, Node: r.worker.node, Life: r.worker.info.Life.ID, Born: r.worker.info.Life.Born})
				}
			}
			out = append(out, tp)
		}
	}
	return out
}

// Restore loads a record of the progress topic. The runs that it names count as
// present on their workers until the workers report, or until expires.
func (sc *Scheduler) Restore(id string, value []byte, now, expires time.Time) error {
	if id == modelKey {
		m, err := interf.Decode(value)
		if err == nil {
			sc.interference, sc.storedModel = m, value
		}
		return err
	}
	if job, ok := strings.CutPrefix(id, crashPrefix); ok {
		return sc.restoreCrashes(job, value)
	}
	j := sc.jobs[id]
	if j == nil {
		return errors.Newf("restore progress of job %s: the job is not among the submissions", id)
	}
	p, err := codec.Decode[progress](value)
	if err != nil {
		return errors.Wrapf(err, "decode progress of job %s", id)
	}
	j.state, j.reportedState, j.started = p.State, p.State, p.Begun
	if j.hasEnded() {
		j.endedAt = now
		sc.retireJob(j)
	}
	for _, op := range p.Occurs {
		o := j.ensureOccurrence(op.Number)
		for _, tp := range op.Tasks {
			t := j.findTask(spar.TaskRef{Job: id, Occur: o.number, Step: tp.Step, Index: tp.Index})
			if t == nil {
				return errors.Newf("restore progress of job %s: the job has no task %d.%d.%d", id, o.number, tp.Step, tp.Index)
			}
			sc.restoreTask(t, tp, expires)
		}
	}
	return nil
}

// restoreTask loads the stored progress of a task and assigns its runs to their
// workers.
func (sc *Scheduler) restoreTask(t *task, p taskProgress, expires time.Time) {
	t.lastRun, t.failedRuns, t.checkpoint = p.Last, p.Failed, p.Saved
	if p.Done {
		t.done = true
		t.step.unfinished--
		return
	}
	for _, rp := range p.Runs {
		life := spar.Life{ID: rp.Life, Born: rp.Born}
		w := sc.workers[rp.Node]
		if w == nil {
			w = &worker{node: rp.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, leasesExpire: expires}
			sc.workers[rp.Node] = w
		}
		if w.info.Life != life && w.info.Life.ID != life.ID {
			if w.info.Life.Born > life.Born {
				continue
			}
			// The node has a later life under another name, so the runs of the
			// earlier one are over.
			sc.endLife(w, "worker in a new life")
			w = &worker{node: rp.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, leasesExpire: expires}
			sc.workers[rp.Node] = w
		}
		w.info.Life.Born = max(w.info.Life.Born, life.Born)
		r := &run{task: t, worker: w, number: rp.Number, ordered: true, pace: 100, started: expires}
		t.runs = append(t.runs, r)
		w.runs[r] = true
	}
}

// ensureOccurrence returns an occurrence, added if it does not exist yet.
func (j *job) ensureOccurrence(number int) *occurrence {
	for _, o := range j.occurrences {
		if o.number == number {
			return o
		}
	}
	return j.addOccurrence(number, j.First.Add(time.Duration(number)*j.Interval))
}
