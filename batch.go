package spar

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Job is a batch job or a standing job as submitted by a caller.
type Job struct {
	ID    string `msgpack:"i"`
	Queue string `msgpack:"q"`
	// Spec is passed to the worker without being interpreted.
	Spec  string `msgpack:"p"`
	Steps []Step `msgpack:"s"`
	// Times is the number of scheduled occurrences, or 0 for a job that runs
	// once and immediately. Occurrence k is due at First + k*Interval.
	Times    int           `msgpack:"t,omitempty"`
	First    time.Time     `msgpack:"f,omitempty"`
	Interval time.Duration `msgpack:"v,omitempty"`
	// Accepted is the wall-clock time of the entry that accepted the job.
	Accepted time.Time `msgpack:"a"`
	// Policy is a copy of the queue at the time the job was accepted. It is used
	// when a later configuration no longer contains the queue.
	Policy Queue `msgpack:"o"`
}

// MaxTasks is the largest number of tasks of a job, over all its occurrences. The
// owner holds each of them in memory, so that a job without a bound could take
// down one owner after another.
const MaxTasks = 50_000

// Check returns an error that names the field if a job cannot be planned: it has
// no task or too many, or a size or time below zero.
func (j *Job) Check() error {
	if len(j.Steps) == 0 {
		return errors.New("steps: none given")
	}
	if j.Times < 0 || j.Times > MaxTasks {
		return errors.Newf("times: %d is not between 0 and %d", j.Times, MaxTasks)
	}
	if j.Interval < 0 {
		return errors.Newf("interval: %s is below 0", j.Interval)
	}
	tasks := 0
	for i, s := range j.Steps {
		if err := s.check(i); err != nil {
			return errors.Wrapf(err, "steps[%d]", i)
		}
		if tasks += s.Count * max(j.Times, 1); tasks > MaxTasks {
			return errors.Newf("steps[%d].count: more than %d tasks in all", i, MaxTasks)
		}
	}
	return nil
}

// check returns an error that names the field if the step with the given index
// cannot be planned.
func (s *Step) check(index int) error {
	if s.Count <= 0 || s.Count > MaxTasks {
		return errors.Newf("count: %d is not between 1 and %d", s.Count, MaxTasks)
	}
	for _, a := range s.After {
		if a < 0 || a >= index {
			return errors.Newf("after: %d is not an earlier step", a)
		}
	}
	if s.Size.IsNegative() {
		return errors.Newf("size: %s is below 0", s.Size)
	}
	if s.Estimate < 0 || s.TailTarget < 0 {
		return errors.Newf("estimate %s or tail target %s: below 0", s.Estimate, s.TailTarget)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return errors.Newf("tasks per worker %d or unavailable tasks %d: below 0", s.MaxPerWorker, s.MaxUnavailable)
	}
	return nil
}

// Step is a set of identical tasks.
type Step struct {
	Count int  `msgpack:"n"`
	Size  Size `msgpack:"z"`
	// Estimate is the run time of a task as declared by the caller. It is often
	// far from the real run time.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After lists the indexes of the steps whose tasks must all be done before
	// this step starts.
	After []int `msgpack:"a,omitempty"`
	// Checkpoints is set when tasks save their progress and a new run resumes
	// from it.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Gang is set when the tasks of the step have to run at the same time.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack is set when a gang is slower if it spans several racks.
	SameRack bool `msgpack:"k,omitempty"`
	// Label, if not empty, restricts the step to workers that have this label.
	Label string `msgpack:"l,omitempty"`
	// Rack is the rack that holds the input data. Tasks are slower elsewhere.
	Rack string `msgpack:"r,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker. 0 is no limit.
	MaxPerWorker int `msgpack:"w,omitempty"`
	// AllowCopies is set when several runs of one task may overlap.
	AllowCopies bool `msgpack:"o,omitempty"`
	// Standing is set when the tasks run until the job is cancelled.
	Standing bool `msgpack:"d,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image are
	// expected to interfere with others in the same way.
	Image string `msgpack:"m,omitempty"`
	// TailTarget is the tail latency objective of a serving task.
	TailTarget time.Duration `msgpack:"x,omitempty"`
	// Fills is set when the tasks run on processors that serving tasks leave
	// unused. The requested processors are not reserved.
	Fills bool `msgpack:"u,omitempty"`
	// MaxUnavailable is the number of tasks of a standing step that may be down
	// at the same time.
	MaxUnavailable int `msgpack:"y,omitempty"`
}

// TaskRef identifies a task of a job.
type TaskRef struct {
	Job   string `msgpack:"j"`
	Occur int    `msgpack:"k,omitempty"`
	Step  int    `msgpack:"s,omitempty"`
	Index int    `msgpack:"i,omitempty"`
}

// String formats the reference as job.occurrence.step.index.
func (t TaskRef) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occur, t.Step, t.Index) }

// StepRef identifies a step of a job occurrence.
type StepRef struct {
	Job   string
	Occur int
	Step  int
}

// String formats the reference as job.occurrence.step.
func (s StepRef) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occur, s.Step) }

// Life identifies one start of a worker. A restarted worker may reuse its ID but
// has a different Born.
type Life struct {
	ID string `msgpack:"i"`
	// Born is the start time of the worker in Unix milliseconds.
	Born int64 `msgpack:"b"`
}

// WorkerInfo is what a worker reports about itself.
type WorkerInfo struct {
	Life    Life     `msgpack:"l"`
	Service string   `msgpack:"s"`
	Domain  string   `msgpack:"d"`
	Size    Size     `msgpack:"z"`
	Labels  []string `msgpack:"a"`
	// Draining is set when the worker is about to leave and must not be given
	// new runs.
	Draining bool `msgpack:"r,omitempty"`
	// MinTimeLeft is the minimum time until a draining worker leaves.
	MinTimeLeft time.Duration `msgpack:"t,omitempty"`
}

// Running is one run in the list of those in progress on a worker.
type Running struct {
	Task       TaskRef `msgpack:"t"`
	Run        int64   `msgpack:"r"`
	Checkpoint string  `msgpack:"s,omitempty"`
	// Percent is the completed share of the work. A standing task reports 100
	// once it is in service.
	Percent int `msgpack:"p,omitempty"`
	// Measurement covers the last half second. It is the tail latency in ms for
	// a serving task, and the CPU usage in thousandths of a processor for any
	// other task.
	Measurement int64 `msgpack:"f,omitempty"`
}

// Ending is the way in which a run ended.
type Ending string

// Values of Ending. EndLapsed means that the run's lease ended.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	EndBroken  Ending = "broken"
	EndAlone   Ending = "alone"
)

// Ended is one ended run in the list of those that a worker keeps until they
// are acknowledged.
type Ended struct {
	// Number is the sequence number of the end within the worker's life, from 1.
	Number     int64   `msgpack:"n"`
	Task       TaskRef `msgpack:"t"`
	Run        int64   `msgpack:"r"`
	Ending     Ending  `msgpack:"h"`
	Checkpoint string  `msgpack:"s,omitempty"`
}

// Queue is a queue in the operators' configuration.
type Queue struct {
	Name    string `msgpack:"n"`
	Host    string `msgpack:"-"`
	Prefix  string `msgpack:"-"`
	Service string `msgpack:"s"`
	// Priority orders the queues. 0 is the highest priority.
	Priority    int `msgpack:"p,omitempty"`
	MaxAttempts int `msgpack:"m,omitempty"`
	// Stretch and Slack define the objective for a job's duration: Stretch times
	// the length of its critical path, plus Slack.
	Stretch float64       `msgpack:"x,omitempty"`
	Slack   time.Duration `msgpack:"k,omitempty"`
	// Advised is set when only the adviser knows which workers may run a step.
	Advised bool `msgpack:"a,omitempty"`
}

// Objective returns the time in which a job should complete whose critical path takes a
// given time.
func (q Queue) Objective(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Slack
}

// Rules is the operators' configuration in force.
type Rules struct {
	Version int64
	Queues  []Queue
	// AdmissionControlled marks the services whose workers refuse tasks that do
	// not fit.
	AdmissionControlled map[string]bool
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int
}
