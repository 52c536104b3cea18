package shard

import (
	"maps"
	"slices"
)

// copier copies what a pass of Plan reads and changes. Each job, run and worker is
// copied once.
type copier struct {
	jobs    map[*job]*job
	tasks   map[*task]*task
	runs    map[*run]*run
	workers map[*worker]*worker
}

// copyForPlan returns a scheduler with the active jobs and the workers of this one, whose
// decisions have no effect on this one and are not reported. It must not be used after
// the state of this one has changed, since it shares what a pass of Plan only reads.
func (sc *Scheduler) copyForPlan() *Scheduler {
	c := copier{jobs: map[*job]*job{}, tasks: map[*task]*task{}, runs: map[*run]*run{}, workers: map[*worker]*worker{}}
	out := *sc
	out.onEvent = func(Event) {}
	out.workers = make(map[string]*worker, len(sc.workers))
	for node, w := range sc.workers {
		out.workers[node] = c.worker(w)
	}
	out.jobs, out.activeJobs = make(map[string]*job, len(sc.activeJobs)), make(map[*job]bool, len(sc.activeJobs))
	for j := range sc.activeJobs {
		cj := c.job(j)
		out.jobs[j.ID], out.activeJobs[cj] = cj, true
	}
	out.suspects = make(map[*task]bool, len(sc.suspects))
	for t := range sc.suspects {
		c.job(t.step.job)
		out.suspects[c.tasks[t]] = true
	}
	out.changedJobs, out.pendingStops, out.pendingPaces, out.pendingAcks = map[*job]bool{}, map[*run]bool{}, map[*run]bool{}, map[*worker]int64{}
	out.retiredJobs, out.claimedRuns, out.droppedKeys, out.expiredCancels = nil, nil, nil, nil
	out.stepsAwaitingAdvice, out.shortages, out.pool, out.waits = nil, nil, nil, waits{}
	out.earlyCancels, out.runTimes, out.poolRooms = maps.Clone(sc.earlyCancels), maps.Clone(sc.runTimes), maps.Clone(sc.poolRooms)
	return &out
}

func (c *copier) job(j *job) *job {
	if out := c.jobs[j]; out != nil {
		return out
	}
	out := *j
	c.jobs[j] = &out
	out.storage = newStorage(j.Steps)
	out.occurrences = nil
	for _, o := range j.occurrences {
		out.occurrences = append(out.occurrences, c.occurrence(o, &out))
	}
	// Runs refer to workers, and those to runs of other jobs.
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				ct := c.tasks[t]
				// The job's count of runs was copied.
				ct.runs = nil
				for _, r := range t.runs {
					ct.runs = append(ct.runs, c.run(r))
				}
			}
		}
	}
	return &out
}

func (c *copier) occurrence(o *occurrence, j *job) *occurrence {
	out := *o
	out.job = j
	out.steps = make([]*step, len(o.steps))
	for i, s := range o.steps {
		cs := *s
		cs.job, cs.occurrence, cs.tasks = j, &out, make([]*task, len(s.tasks))
		for k, t := range s.tasks {
			ct := *t
			ct.step, ct.crashes, ct.dismissed = &cs, slices.Clone(t.crashes), slices.Clone(t.dismissed)
			cs.tasks[k], c.tasks[t] = &ct, &ct
		}
		out.steps[i] = &cs
	}
	return &out
}

func (c *copier) run(r *run) *run {
	if out := c.runs[r]; out != nil {
		return out
	}
	out := *r
	c.runs[r] = &out
	c.job(r.task.step.job)
	out.task, out.worker = c.tasks[r.task], c.worker(r.worker)
	return &out
}

func (c *copier) worker(w *worker) *worker {
	if out := c.workers[w]; out != nil {
		return out
	}
	out := *w
	c.workers[w] = &out
	out.recentFills = slices.Clone(w.recentFills)
	if w.previous != nil {
		out.previous = c.worker(w.previous)
	}
	out.runs, out.stepRuns = make(map[*run]bool, len(w.runs)), nil
	for r := range w.runs {
		out.runs[c.run(r)] = true
	}
	return &out
}
