package shard

import (
	"time"

	"github.com/berylspar/spar"
)

// State is how far a job is.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Active    State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// job is a job and its progress.
type job struct {
	spar.Job
	policy spar.Queue
	state  State
	// visible is the state as it is stored; callers are told no other.
	visible State
	occurs  []*occur
	// begun says that a task has started.
	begun bool
	// closed is when the job came to its last state.
	closed time.Time
	// arrived is when this owner first saw the job.
	arrived time.Time
}

// occur is one occurrence of a job's steps.
type occur struct {
	number int
	steps  []*step
	due    time.Time
	// longest is the longest chain of declared work through the steps.
	longest time.Duration
}

// step is a step of an occurrence.
type step struct {
	spar.Step
	job   *job
	occur *occur
	index int
	tasks []*task
	open  int
	// advice is used in queues that need it.
	advice advice
}

// task is a task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// last is the highest run number given out.
	last int64
	// failed are the runs that ended by their own fault.
	failed []int64
	saved  string
	// runs are those that may be on a worker; more than one only as copies.
	runs []*run
	// notBefore holds a task back after a refusal.
	notBefore time.Time
	// shy is the node where the task last failed.
	shy string
}

// run is one run of a task on a worker.
type run struct {
	task   *task
	worker *worker
	number int64
	// confirmed says that the worker has the run.
	confirmed bool
	// ordered says that the order was sent in the worker's session token.
	ordered bool
	token   int64
	// stopping says that a stop was ordered.
	stopping bool
	pace     int
	started  time.Time
	percent  int
	// moved is when the percentage last rose.
	moved  time.Time
	figure int64
	// over is since when the tail has been over its target.
	over time.Time
}

func newJob(j spar.Job, now time.Time) *job {
	return &job{Job: j, policy: j.Policy, state: Queued, visible: Queued, arrived: now}
}

// newOccur adds an occurrence to a job.
func (j *job) newOccur(number int, due time.Time) *occur {
	o := &occur{number: number, due: due}
	for i, s := range j.Steps {
		p := &step{Step: s, job: j, occur: o, index: i, open: s.Count}
		for k := range s.Count {
			p.tasks = append(p.tasks, &task{step: p, index: k})
		}
		o.steps = append(o.steps, p)
	}
	o.longest = o.chain()
	j.occurs = append(j.occurs, o)
	return o
}

// find returns a task of a job, or nil.
func (j *job) find(t spar.TaskRef) *task {
	for _, o := range j.occurs {
		if o.number != t.Occur {
			continue
		}
		if t.Step < 0 || t.Step >= len(o.steps) || t.Index < 0 || t.Index >= len(o.steps[t.Step].tasks) {
			return nil
		}
		return o.steps[t.Step].tasks[t.Index]
	}
	return nil
}

// ended tells whether the job came to its last state.
func (j *job) ended() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// ready tells whether the steps that come before are done.
func (s *step) ready() bool {
	for _, a := range s.After {
		if s.occur.steps[a].open > 0 {
			return false
		}
	}
	return true
}

// remaining estimates the work left in a step, as time on one processor.
func (s *step) remaining() time.Duration {
	return time.Duration(s.open) * s.Estimate * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
}

// chain is the longest chain of declared work through an occurrence's steps.
func (o *occur) chain() time.Duration {
	longest := make([]time.Duration, len(o.steps))
	var most time.Duration
	for i, s := range o.steps {
		var before time.Duration
		for _, a := range s.After {
			before = max(before, longest[a])
		}
		longest[i] = before + s.Estimate
		most = max(most, longest[i])
	}
	return most
}

func (t *task) ref() spar.TaskRef {
	return spar.TaskRef{Job: t.step.job.ID, Occur: t.step.occur.number, Step: t.step.index, Index: t.index}
}

func (t *task) run(number int64) *run {
	for _, r := range t.runs {
		if r.number == number {
			return r
		}
	}
	return nil
}
