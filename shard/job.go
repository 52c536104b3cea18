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
	reportedState State
	occurrences   []*occurrence
	// begun says that a task has started.
	started bool
	// closed is when the job came to its last state.
	endedAt time.Time
	// arrived is when this owner first saw the job.
	firstSeen time.Time
}

// occur is one occurrence of a job's steps.
type occurrence struct {
	number int
	steps  []*step
	due    time.Time
	// longest is the longest chain of declared work through the steps.
	criticalPath time.Duration
}

// step is a step of an occurrence.
type step struct {
	spar.Step
	job        *job
	occurrence *occurrence
	index      int
	tasks      []*task
	unfinished int
	// advice is used in queues that need it.
	advice advice
}

// task is a task of a step.
type task struct {
	step  *step
	index int
	done  bool
	// last is the highest run number given out.
	lastRun int64
	// failed are the runs that ended by their own fault.
	failedRuns []int64
	checkpoint string
	// runs are those that may be on a worker; more than one only as copies.
	runs []*run
	// notBefore holds a task back after a refusal.
	notBefore time.Time
	// shy is the node where the task last failed.
	lastFailedNode string
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
	progressedAt time.Time
	measured     int64
	// over is since when the tail has been over its target.
	overTargetSince time.Time
}

func newJob(j spar.Job, now time.Time) *job {
	return &job{Job: j, policy: j.Policy, state: Queued, reportedState: Queued, firstSeen: now}
}

// newOccur adds an occurrence to a job.
func (j *job) addOccurrence(number int, due time.Time) *occurrence {
	o := &occurrence{number: number, due: due}
	for i, s := range j.Steps {
		p := &step{Step: s, job: j, occurrence: o, index: i, unfinished: s.Count}
		for k := range s.Count {
			p.tasks = append(p.tasks, &task{step: p, index: k})
		}
		o.steps = append(o.steps, p)
	}
	o.criticalPath = o.longestPath()
	j.occurrences = append(j.occurrences, o)
	return o
}

// find returns a task of a job, or nil.
func (j *job) findTask(t spar.TaskRef) *task {
	for _, o := range j.occurrences {
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
func (j *job) hasEnded() bool {
	return j.state == Completed || j.state == Failed || j.state == Cancelled
}

// ready tells whether the steps that come before are done.
func (s *step) isReady() bool {
	for _, a := range s.After {
		if s.occurrence.steps[a].unfinished > 0 {
			return false
		}
	}
	return true
}

// remaining estimates the work left in a step, as time on one processor.
func (s *step) remainingWork() time.Duration {
	return time.Duration(s.unfinished) * s.Estimate * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
}

// chain is the longest chain of declared work through an occurrence's steps.
func (o *occurrence) longestPath() time.Duration {
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
	return spar.TaskRef{Job: t.step.job.ID, Occur: t.step.occurrence.number, Step: t.step.index, Index: t.index}
}

func (t *task) runByNumber(number int64) *run {
	for _, r := range t.runs {
		if r.number == number {
			return r
		}
	}
	return nil
}
