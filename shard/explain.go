package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// maxExplainedTasks bounds the tasks of the active jobs of a shard that is copied to explain a job,
// and so the time that the owner takes for an explanation.
const maxExplainedTasks = 30_000

// Explanation tells what the next pass of Plan would do with a job.
type Explanation struct {
	Job   string `json:"job"`
	Queue string `json:"queue"`
	State State  `json:"state"`
	// Priority is that of the queue. Objective is the time in which the job should
	// complete, Path its longest chain of steps, both by its estimates or by what was
	// learnt, and Age the time since it arrived.
	Priority  int           `json:"priority"`
	Objective time.Duration `json:"objective_ns"`
	Path      time.Duration `json:"path_ns"`
	Age       time.Duration `json:"age_ns"`
	// JobsAhead are the jobs with ready steps that get room first, and WorkAhead their
	// work left, as time on one processor by its estimates.
	JobsAhead int             `json:"jobs_ahead"`
	WorkAhead time.Duration   `json:"work_ahead_ns"`
	Steps     []StepPlacement `json:"steps"`
}

// StepPlacement tells where the tasks of a step of an occurrence would go.
type StepPlacement struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step"`
	// Done and Running are tasks, and Waiting those that have no run now.
	Done    int `json:"done"`
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// After are the steps that must be done first.
	After []int `json:"after,omitempty"`
	// Starts are the waiting tasks that the next pass starts, by worker.
	Starts []WorkerStarts `json:"starts,omitempty"`
	// Held says what keeps the first task that stays waiting from being placed
	// whatever the workers are.
	Held []string `json:"held,omitempty"`
	// Excluded counts the workers that could not take that task, by reason.
	Excluded map[string]int `json:"excluded,omitempty"`
	// Nearest is the worker without room that lacks least, and Lacks what.
	Nearest string    `json:"nearest,omitempty"`
	Lacks   spar.Size `json:"lacks,omitzero"`
}

// WorkerStarts are tasks that would start on a worker at a pace in percent.
type WorkerStarts struct {
	Node  string `json:"worker"`
	Tasks int    `json:"tasks"`
	Pace  int    `json:"pace"`
}

// Explain returns what the next pass of Plan would do with a job that is known, or that
// would be submitted now, without any effect. It returns false if the shard is too large
// to be copied, or if the job has ended.
func (sc *Scheduler) Explain(s spar.Job, now time.Time) (Explanation, bool) {
	if j := sc.jobs[s.ID]; sc.countTasks() > maxExplainedTasks || j != nil && j.hasEnded() {
		return Explanation{}, false
	}
	trial := sc.copyForPlan()
	trial.Submit(s, now)
	j := trial.jobs[s.ID]
	out := Explanation{Job: j.ID, Queue: j.Queue, State: j.reportedState, Priority: j.policy.Priority, Age: now.Sub(j.firstSeen)}
	out.countAhead(trial.queueSteps(now), j)
	trial.Plan(now)
	claimed := map[*run]bool{}
	for _, r := range trial.claimedRuns {
		claimed[r] = true
	}
	for _, o := range j.occurrences {
		out.Path = o.criticalPath
		out.Objective = j.policy.Objective(o.criticalPath)
		for _, st := range o.steps {
			out.Steps = append(out.Steps, trial.explainStep(st, claimed, now))
		}
	}
	return out, true
}

// countTasks counts the tasks of the active jobs.
func (sc *Scheduler) countTasks() int {
	n := 0
	for j := range sc.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				n += len(s.tasks)
			}
		}
	}
	return n
}

// countAhead counts the jobs that come before a job in the queue.
func (e *Explanation) countAhead(queue []queuedStep, j *job) {
	counted := map[*job]bool{}
	for _, q := range queue {
		if q.job == j {
			return
		}
		e.WorkAhead += q.remainingWork()
		if !counted[q.job] {
			counted[q.job] = true
			e.JobsAhead++
		}
	}
}

// explainStep tells what a pass of Plan that has just been made did with a step. claimed are
// the runs that it has claimed.
func (sc *Scheduler) explainStep(s *step, claimed map[*run]bool, now time.Time) StepPlacement {
	out := StepPlacement{Occurrence: s.occurrence.number, Step: s.index, After: s.unfinishedDependencies()}
	var first *task
	for _, t := range s.tasks {
		switch {
		case t.done:
			out.Done++
		case len(t.runs) > 0 && !t.hasRun(func(r *run) bool { return claimed[r] }):
			out.Running++
		case len(t.runs) > 0:
			out.Waiting++
			out.addStart(t.runs[len(t.runs)-1])
		default:
			out.Waiting++
			if first == nil {
				first = t
			}
		}
	}
	slices.SortFunc(out.Starts, func(a, b WorkerStarts) int { return b.Tasks - a.Tasks })
	if first != nil && len(out.After) == 0 {
		sc.explainWait(&out, first, now)
	}
	return out
}

func (s *step) unfinishedDependencies() []int {
	var out []int
	for _, a := range s.After {
		if s.occurrence.steps[a].unfinished > 0 {
			out = append(out, a)
		}
	}
	return out
}

func (p *StepPlacement) addStart(r *run) {
	for i := range p.Starts {
		if w := &p.Starts[i]; w.Node == r.worker.node && w.Pace == r.pace {
			w.Tasks++
			return
		}
	}
	p.Starts = append(p.Starts, WorkerStarts{Node: r.worker.node, Tasks: 1, Pace: r.pace})
}

// explainWait tells why a task waits after a pass of Plan.
func (sc *Scheduler) explainWait(out *StepPlacement, t *task, now time.Time) {
	out.Held = sc.holds(t, now)
	if sc.startLimit.full() {
		out.Held = append(out.Held, "the pass has started as many tasks as one may")
	}
	if t.step.Gang {
		out.Held = append(out.Held, "a gang starts only when there is room for all of its tasks")
	}
	out.Excluded = map[string]int{}
	lacking := false
	for node, w := range sc.workers {
		e := sc.exclusion(w, t, now)
		out.Excluded[exclusionNames[e]]++
		if e != withoutRoom {
			continue
		}
		c := &candidate{worker: w, allocation: w.allocation(now)}
		lacks := c.lacks(t.step)
		if d := compareSizes(lacks, out.Lacks); !lacking || d < 0 || d == 0 && node < out.Nearest {
			out.Nearest, out.Lacks, lacking = node, lacks, true
		}
	}
}

// lacks returns what a worker lacks to take a task of a step.
func (w *candidate) lacks(s *step) spar.Size {
	free := w.info.Size.Sub(w.reserved)
	if s.Fills {
		free.CPUMilli = w.freeFillCPU()
	}
	return spar.Size{
		CPUMilli: max(s.Size.CPUMilli-free.CPUMilli, 0), MemoryMB: max(s.Size.MemoryMB-free.MemoryMB, 0),
		Accelerators: max(s.Size.Accelerators-free.Accelerators, 0),
	}
}

// compareSizes orders sizes by accelerators, processors and memory, the scarcest first.
func compareSizes(a, b spar.Size) int {
	switch {
	case a.Accelerators != b.Accelerators:
		return int(a.Accelerators - b.Accelerators)
	case a.CPUMilli != b.CPUMilli:
		return int(a.CPUMilli - b.CPUMilli)
	}
	return int(a.MemoryMB - b.MemoryMB)
}
