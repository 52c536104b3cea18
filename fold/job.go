package fold

import "github.com/berylspar/spar/wire"

// Job is the agreed state of one job.
type Job struct {
	id        []byte
	spec      *wire.Spec
	tasks     []Task
	cancelled bool
	submitted int64
	counts    [phaseCount]int
}

// phaseCount is the number of values of wire.Phase.
const phaseCount = 6

// Spec returns the job as it was submitted. Callers must not change it.
func (j *Job) Spec() *wire.Spec { return j.spec }

// ID returns the id of the record that submitted the job.
func (j *Job) ID() []byte { return j.id }

// Len returns the number of tasks.
func (j *Job) Len() int { return len(j.tasks) }

// Task returns a copy of the task at index i.
func (j *Job) Task(i int) Task { return j.tasks[i] }

// IsCancelled reports whether a cancellation was folded.
func (j *Job) IsCancelled() bool { return j.cancelled }

// IsEnded reports whether no task of the job will run again.
func (j *Job) IsEnded() bool {
	return j.counts[wire.Phase_PHASE_WAITING]+j.counts[wire.Phase_PHASE_RUNNING] == 0
}

// Count returns the number of tasks in a phase.
func (j *Job) Count(p wire.Phase) int {
	return j.counts[p]
}

// Submitted returns the offset of the record that submitted the job.
func (j *Job) Submitted() int64 { return j.submitted }

func newJob(id []byte, offset int64, s *wire.Spec) *Job {
	return &Job{id: id, submitted: offset, spec: s, tasks: make([]Task, s.GetTasks())}
}

func (j *Job) fact() *wire.JobFact {
	f := &wire.JobFact{Spec: j.spec, Cancelled: j.cancelled, Id: j.id, Submitted: j.submitted}
	for i := range j.tasks {
		f.Tasks = append(f.Tasks, j.tasks[i].fact())
	}
	return f
}

func jobOf(f *wire.JobFact) *Job {
	j := &Job{id: f.GetId(), spec: f.GetSpec(), cancelled: f.GetCancelled(), submitted: f.GetSubmitted()}
	for _, t := range f.GetTasks() {
		j.tasks = append(j.tasks, taskOf(t))
	}
	return j
}
