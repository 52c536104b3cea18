package spar

import (
	"fmt"
	"time"
)

// Job is a batch job or a standing job as a caller has submitted it.
type Job struct {
	ID    string `msgpack:"i"`
	Queue string `msgpack:"q"`
	// Spec is handed to the worker unread.
	Spec  string `msgpack:"p"`
	Steps []Step `msgpack:"s"`
	// Times is the number of scheduled occurrences, 0 for a job that runs once
	// and at once. Occurrence k is due at First + k*Interval.
	Times    int           `msgpack:"t,omitempty"`
	First    time.Time     `msgpack:"f,omitempty"`
	Interval time.Duration `msgpack:"v,omitempty"`
	// Accepted is the time of day at the entry that took the job.
	Accepted time.Time `msgpack:"a"`
	// Policy is the queue as it was when the job was accepted; it stands in
	// when a later configuration no longer has the queue.
	Policy Queue `msgpack:"o"`
}

// Step is a set of like tasks.
type Step struct {
	Count int  `msgpack:"n"`
	Size  Size `msgpack:"z"`
	// Estimate is the declared run time of a task; it is often far off.
	Estimate time.Duration `msgpack:"e,omitempty"`
	// After are the steps whose tasks must all be done first.
	After []int `msgpack:"a,omitempty"`
	// Checkpoints says that progress is saved and a new run resumes from it.
	Checkpoints bool `msgpack:"c,omitempty"`
	// Gang says that the tasks run only all together.
	Gang bool `msgpack:"g,omitempty"`
	// SameRack says that a gang is slower across racks.
	SameRack bool `msgpack:"k,omitempty"`
	// Label must be among the worker's labels, where it is not empty.
	Label string `msgpack:"l,omitempty"`
	// Rack holds the data; the task is slower elsewhere.
	Rack string `msgpack:"r,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 is unbounded.
	MaxPerWorker int `msgpack:"w,omitempty"`
	// AllowCopies says that a task may run more than once at the same time.
	AllowCopies bool `msgpack:"o,omitempty"`
	// Standing says that the tasks run until the job is cancelled.
	Standing bool `msgpack:"d,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image string `msgpack:"m,omitempty"`
	// TailTarget bounds the tail latency of a task that serves users.
	TailTarget time.Duration `msgpack:"x,omitempty"`
	// Fills says that the processors asked for are not reserved.
	Fills bool `msgpack:"u,omitempty"`
	// MaxUnavailable is how many tasks of a standing step may be away at a time.
	MaxUnavailable int `msgpack:"y,omitempty"`
}

// TaskRef names a task of a job.
type TaskRef struct {
	Job   string `msgpack:"j"`
	Occur int    `msgpack:"k,omitempty"`
	Step  int    `msgpack:"s,omitempty"`
	Index int    `msgpack:"i,omitempty"`
}

// String prints job.occurrence.step.index.
func (t TaskRef) String() string { return fmt.Sprintf("%s.%d.%d.%d", t.Job, t.Occur, t.Step, t.Index) }

// StepRef names a step of a job's occurrence.
type StepRef struct {
	Job   string
	Occur int
	Step  int
}

// String prints job.occurrence.step.
func (s StepRef) String() string { return fmt.Sprintf("%s.%d.%d", s.Job, s.Occur, s.Step) }

// Life is one start of a worker: its name may come back after a restart, the
// time of birth does not.
type Life struct {
	ID string `msgpack:"i"`
	// Born is the worker's start in Unix milliseconds.
	Born int64 `msgpack:"b"`
}

// WorkerInfo is what a worker tells of itself.
type WorkerInfo struct {
	Life    Life     `msgpack:"l"`
	Service string   `msgpack:"s"`
	Domain  string   `msgpack:"d"`
	Size    Size     `msgpack:"z"`
	Labels  []string `msgpack:"a"`
	// Draining says that the worker leaves soon and must get nothing new.
	Draining bool `msgpack:"r,omitempty"`
	// Leaves is the least time left of a worker that drains.
	MinTimeLeft time.Duration `msgpack:"t,omitempty"`
}

// Running is a row of what runs on a worker.
type Running struct {
	Task       TaskRef `msgpack:"t"`
	Run        int64   `msgpack:"r"`
	Checkpoint string  `msgpack:"s,omitempty"`
	// Percent is the share of the work done; of a standing task 100 means at
	// work.
	Percent int `msgpack:"p,omitempty"`
	// Measurement covers the last half second: the tail latency in ms of a task
	// that serves, the processors in use in thousandths of any other.
	Measurement int64 `msgpack:"f,omitempty"`
}

// Ending tells how a run ended.
type Ending string

// The ways in which a run ends.
const (
	EndDone    Ending = "done"
	EndFailed  Ending = "failed"
	EndStopped Ending = "stopped"
	EndLapsed  Ending = "lapsed"
	EndBroken  Ending = "broken"
	EndAlone   Ending = "alone"
)

// Ended is a row of what has ended on a worker and was not acknowledged.
type Ended struct {
	// Number counts the ends of a life of the worker, from 1.
	Number     int64   `msgpack:"n"`
	Task       TaskRef `msgpack:"t"`
	Run        int64   `msgpack:"r"`
	Ending     Ending  `msgpack:"h"`
	Checkpoint string  `msgpack:"s,omitempty"`
}

// Queue is a queue of the operators' configuration.
type Queue struct {
	Name    string `msgpack:"n"`
	Host    string `msgpack:"-"`
	Prefix  string `msgpack:"-"`
	Service string `msgpack:"s"`
	// Priority 0 comes first.
	Priority    int `msgpack:"p,omitempty"`
	MaxAttempts int `msgpack:"m,omitempty"`
	// Stretch times the longest chain of work, plus Slack, is the objective.
	Stretch float64       `msgpack:"x,omitempty"`
	Slack   time.Duration `msgpack:"k,omitempty"`
	// Advised says that only the adviser knows which workers may run a step.
	Advised bool `msgpack:"a,omitempty"`
}

// Rules are the operators' configuration in force.
type Rules struct {
	Version int64
	Queues  []Queue
	// AdmissionControlled holds the services whose workers refuse what does not fit.
	AdmissionControlled map[string]bool
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int
}
