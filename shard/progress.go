package shard

import "time"

// progress is the stored form of a job's state, and of the progress of its tasks unless
// that is stored in parts. That of a job that has ended has, in place of its occurrences,
// one whose number is the time of the end in Unix seconds. It and the types below are
// encoded as arrays, whose fields must stay as they are: a record with more or fewer cannot
// be read by another build.
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

// encode returns the stored form of a job's progress as a whole.
func (j *job) encode() []byte {
	p := progress{State: j.state, Begun: j.started}
	for n := range j.lastHeld() {
		o := j.storedOccurrence(n)
		if o == nil {
			continue
		}
		op := occurProgress{Number: n}
		for _, s := range o.steps {
			op.Tasks = appendTasks(op.Tasks, s.tasks, true)
		}
		p.Occurs = append(p.Occurs, op)
	}
	return marshal(&p)
}

// encodeHead returns the stored form of a job's state without its tasks.
func (j *job) encodeHead() []byte {
	p := progress{State: j.state, Begun: j.started}
	if j.hasEnded() {
		// A build that does not know the time of the end ignores the occurrences.
		p.Occurs = []occurProgress{{Number: int(j.endedAt.Unix())}}
	}
	return marshal(&p)
}

// storedEnd returns the time of day of a job's end; zero if it is not stored.
func (p *progress) storedEnd() time.Time {
	if !p.State.isFinal() || len(p.Occurs) != 1 {
		return time.Time{}
	}
	return time.Unix(int64(p.Occurs[0].Number), 0)
}

// encodeTasks returns the stored form of tasks in the order of their occurrences.
func encodeTasks(tasks []*task, checkpoints bool) []occurProgress {
	var out []occurProgress
	for len(tasks) > 0 {
		o := tasks[0].step.occurrence
		n := 1
		for n < len(tasks) && tasks[n].step.occurrence == o {
			n++
		}
		if rows := appendTasks(nil, tasks[:n], checkpoints); len(rows) > 0 {
			out = append(out, occurProgress{Number: o.number, Tasks: rows})
		}
		tasks = tasks[n:]
	}
	return out
}

func appendTasks(out []taskProgress, tasks []*task, checkpoints bool) []taskProgress {
	for _, t := range tasks {
		if t.lastRun == 0 && !t.done {
			continue
		}
		tp := taskProgress{Step: t.step.index, Index: t.index, Done: t.done, Last: t.lastRun, Failed: t.failedRuns}
		if !t.done {
			if checkpoints {
				tp.Saved = t.checkpoint
			}
			for _, r := range t.runs {
				tp.Runs = append(tp.Runs, runProgress{Number: r.number, Node: r.worker.node, Life: r.worker.info.Life.ID, Born: r.worker.info.Life.Born})
			}
		}
		out = append(out, tp)
	}
	return out
}
