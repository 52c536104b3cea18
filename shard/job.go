package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/triage"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Active    State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

func (s State) isFinal() bool { return s == Completed || s == Failed || s == Cancelled }

// job is a submitted job with its progress.
type job struct {
	spar.Job
	policy spar.Queue
	state  State
	// reportedState is the state that callers see: the last stored one, or
	// Cancelled from the time when the cancel is read.
	reportedState State
	// occurrences are those that are held, by number. Of the due ones, whose number due
	// is, the others are finished, or wait for memory; none below next waits.
	occurrences []*occurrence
	finished    numberSet
	due, next   int
	// dependents holds, by step, those that depend on it.
	dependents [][]int32
	// runs counts the runs of all tasks.
	runs int
	// unstarted counts the occurrences that are held and of which no task has started.
	unstarted int
	memory
	// started reports whether any task of the job has started.
	started bool
	// failure says why the job has failed.
	failure string
	// endedAt is when the job reached its final state, or when that was stored, which
	// endStored reports; submissionDropped reports whether the submission was dropped since.
	endedAt                      time.Time
	endStored, submissionDropped bool
	// storedEnd is the time of day of the end that an earlier owner has stored, if any.
	storedEnd time.Time
	// runsUnknownUntil is the time until which runs of a job that an earlier owner has ended
	// may be on workers that have not connected.
	runsUnknownUntil time.Time
	// firstSeen is when this owner first saw the job.
	firstSeen time.Time
	storage
}

// occurrence is one execution of a job's steps. A job that runs once has one, a
// job on a schedule one per due time.
type occurrence struct {
	job    *job
	number int
	steps  []*step
	due    time.Time
	// unfinished counts the steps with tasks that are not done.
	unfinished int
	// started reports whether a run of a task was claimed.
	started bool
	// criticalPath is the longest path through the steps, by their estimates or
	// by forecast.
	criticalPath time.Duration
	forecast     forecast
	// rank and prospect are those of the last Plan, and reported is the worst prospect
	// that was reported.
	rank     int
	prospect triage.Prospect
	reported triage.Prospect
}

// step is a step of an occurrence.
type step struct {
	spar.Step
	job        *job
	occurrence *occurrence
	index      int
	tasks      []*task
	// unfinished counts the tasks that are not done, and blockers the steps that must be
	// done first.
	unfinished, blockers int
	// stoppedRun is the number of the last run of a gang that was stopped as a whole.
	stoppedRun int64
	// advice is used in queues that require an adviser.
	advice advice
	// taskTime is the likely run time of a task; see stepTime.
	taskTime time.Duration
	ended    runTimeSum
}

type task struct {
	step  *step
	index int
	done  bool
	// lastRun is the highest run number assigned so far.
	lastRun int64
	// failedRuns are the numbers of the runs that failed by the fault of the
	// task.
	failedRuns []int64
	checkpoint string
	crashHistory
	// runs are the runs that may exist on a worker. Beside the current one
	// these are superseded runs that are being stopped.
	runs []*run
	// notBefore is the earliest time of the next start. It delays a task after
	// a refusal.
	notBefore time.Time
	// stray, if not nil, keeps the task with a worker; see staysWith.
	stray *strayStart
	// idleSince is since when the task has had no confirmed run: the end of the last one,
	// or the arrival of its job or of this owner.
	idleSince time.Time
	// lastFailedNode is the node on which the task last failed, stalled or was
	// refused as unhealthy.
	lastFailedNode string
}

// run is one run of a task on a worker.
type run struct {
	task   *task
	worker *worker
	number int64
	// confirmed reports whether the worker has answered for the run.
	confirmed bool
	// ordered reports whether the start order was sent, by this owner or an
	// earlier one. token is the session under which the run was claimed or last
	// confirmed.
	ordered bool
	token   int64
	// stopping reports whether a stop was ordered.
	stopping bool
	// strayUntil is the time until which a start call that was not answered may be carried
	// out in the worker's next life; zero if there is none. See keepStray.
	strayUntil time.Time
	// pace is the ordered share of full speed, in percent.
	pace int
	// started is when the run was claimed, ordered and confirmed, whichever was last.
	started time.Time
	percent int
	// idle is the time at work since percent last changed; see countIdleTime.
	idle time.Duration
	// worked is the time at work at full pace up to the worker's last list.
	worked time.Duration
	// resumed is set if the run began from a checkpoint.
	resumed bool
	// measured is the latest reported figure: the tail latency in ms of a
	// serving task, the CPU use in thousandths of a processor of any other.
	measured int64
	// crash describes the crash of the worker that ended the run, if the agent
	// reported one.
	crash string
	// overTargetSince is when the tail latency began to exceed its target; zero
	// while it does not.
	overTargetSince time.Time
	// roughlyOver reports whether the last tail latency exceeded its target against
	// what the model says.
	roughlyOver bool
}

func newJob(j spar.Job, now time.Time) *job {
	out := &job{Job: j, policy: j.Policy, state: Queued, reportedState: Queued, firstSeen: now}
	out.storage = newStorage(j.Steps)
	out.footprint = footprintOf(&out.Job)
	out.dependents = dependents(j.Steps)
	return out
}

// newEndedJob returns a job of which only the final state is known.
func newEndedJob(id string, p *progress, now time.Time) *job {
	out := newJob(spar.Job{ID: id}, now)
	out.state, out.reportedState, out.started, out.endedAt, out.storedEnd = p.State, p.State, p.Begun, now, p.storedEnd()
	out.endStored, out.submissionDropped = true, true
	return out
}

// newOccurrence returns an occurrence with all its tasks, of which none has begun.
func (j *job) newOccurrence(number int, due time.Time) *occurrence {
	o := &occurrence{job: j, number: number, due: due, unfinished: len(j.Steps)}
	for i, s := range j.Steps {
		st := &step{Step: s, job: j, occurrence: o, index: i, unfinished: s.Count, blockers: len(s.After)}
		for k := range s.Count {
			st.tasks = append(st.tasks, &task{step: st, index: k, idleSince: due})
		}
		o.steps = append(o.steps, st)
	}
	o.criticalPath = o.longestPath()
	return o
}

// newFinishedOccurrence returns an occurrence whose tasks are done.
func (j *job) newFinishedOccurrence(number int) *occurrence {
	o := j.newOccurrence(number, time.Time{})
	for _, s := range o.steps {
		for _, t := range s.tasks {
			t.lastRun = 1
			t.markDone()
		}
	}
	return o
}

// markDone marks a task as done, which may finish its step and its occurrence.
func (t *task) markDone() {
	s := t.step
	t.done = true
	if s.unfinished--; s.unfinished > 0 {
		return
	}
	s.occurrence.unfinished--
	for _, d := range s.job.dependents[s.index] {
		s.occurrence.steps[d].blockers--
	}
}

// addRun adds a run to a task.
func (t *task) addRun(r *run) {
	t.runs = append(t.runs, r)
	t.step.job.runs++
	t.step.occurrence.markStarted()
}

// dropRun drops a run from its task, and reports whether the task had it.
func (t *task) dropRun(r *run) bool {
	i := slices.Index(t.runs, r)
	if i < 0 {
		return false
	}
	t.runs = append(t.runs[:i], t.runs[i+1:]...)
	t.step.job.runs--
	return true
}

// markStarted records that a run of the occurrence was claimed.
func (o *occurrence) markStarted() {
	if !o.started {
		o.started = true
		o.job.unstarted--
	}
}

func (o *occurrence) hasRuns() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.runs) > 0 {
				return true
			}
		}
	}
	return false
}

// findTask returns the named task, or nil if the job does not have it or does not hold it.
func (j *job) findTask(ref spar.TaskRef) *task {
	o := j.heldOccurrence(ref.Occur)
	if o == nil || ref.Step < 0 || ref.Step >= len(o.steps) || ref.Index < 0 || ref.Index >= len(o.steps[ref.Step].tasks) {
		return nil
	}
	return o.steps[ref.Step].tasks[ref.Index]
}

// hasEnded reports whether the job is in a final state.
func (j *job) hasEnded() bool { return j.state.isFinal() }

// isReady reports whether all steps that this one depends on are done.
func (s *step) isReady() bool { return s.blockers == 0 }

// dependents returns, by step, the steps that depend on it. One that names it twice is in
// its list twice.
func dependents(steps []spar.Step) [][]int32 {
	out := make([][]int32, len(steps))
	for i, s := range steps {
		for _, a := range s.After {
			out[a] = append(out[a], int32(i))
		}
	}
	return out
}

// remainingWork estimates the CPU time left in the step, as time on one
// processor.
func (s *step) remainingWork() time.Duration {
	return time.Duration(s.unfinished) * s.Estimate * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
}

// longestPath returns the length of the longest path through the steps, by
// their estimates.
func (o *occurrence) longestPath() time.Duration {
	steps := make([]spar.Step, len(o.steps))
	for i, s := range o.steps {
		steps[i] = s.Step
	}
	return ShortestPath(steps)
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
