package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
	"github.com/cockroachdb/errors"
)

// Limits are the times that decisions depend on; the owner takes them from its
// settings.
type Limits struct {
	// Lease is what a grant is worth on the agent's clock.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// Keep is how long an ended job stays readable.
	Retention time.Duration
}

// Core is the state of a shard. Its methods are called by one goroutine at a
// time.
type Scheduler struct {
	limits        Limits
	queues        map[string]spar.Queue
	closedDomains map[string]bool
	jobs          map[string]*job
	activeJobs    map[*job]bool
	retiredJobs   []*job
	// cancelled are cancels of jobs that have not been seen yet.
	earlyCancels map[string]time.Time
	workers      map[string]*worker
	changedJobs  map[*job]bool
	// orders are to be sent once what they depend on is stored.
	claimedRuns  []*run
	pendingStops map[*run]bool
	pendingPaces map[*run]bool
	pendingAcks  map[*worker]int64
	droppedJobs  []string
	// unadvised are steps that wait for advice, and asking counts the questions
	// in flight.
	stepsAwaitingAdvice []*step
	adviceInFlight      int
	interference        interf.Model
	// model is what was last stored of it, and learned when.
	storedModel    []byte
	modelCheckedAt time.Time
	// now is the time of the call in progress.
	now     time.Time
	onEvent func(Event)
}

// Event is a decision worth a log line.
type Event struct {
	Name   string
	Task   string
	Run    int64
	Node   string
	Reason string
}

// NewCore returns an empty shard. Events are handed to note.
func NewScheduler(l Limits, note func(Event)) *Scheduler {
	return &Scheduler{
		limits: l, queues: map[string]spar.Queue{}, closedDomains: map[string]bool{},
		jobs: map[string]*job{}, activeJobs: map[*job]bool{}, earlyCancels: map[string]time.Time{},
		workers: map[string]*worker{}, changedJobs: map[*job]bool{},
		pendingStops: map[*run]bool{}, pendingPaces: map[*run]bool{}, pendingAcks: map[*worker]int64{}, onEvent: note,
	}
}

// SetRules takes a configuration. Queues that it drops keep their last rules
// for the jobs that are in them.
func (sc *Scheduler) SetRules(r *spar.Rules) {
	for _, q := range r.Queues {
		sc.queues[q.Name] = q
	}
	for j := range sc.activeJobs {
		j.policy = sc.policy(j)
	}
}

func (sc *Scheduler) policy(j *job) spar.Queue {
	if q, ok := sc.queues[j.Queue]; ok {
		return q
	}
	return j.Policy
}

// SetDomains tells which failure domains are closed to starts.
func (sc *Scheduler) SetClosedDomains(closed map[string]bool) { sc.closedDomains = closed }

// Submit adds a job. A job that is known already changes nothing.
func (sc *Scheduler) Submit(s spar.Job, now time.Time) {
	if sc.jobs[s.ID] != nil {
		return
	}
	j := newJob(s, now)
	j.policy = sc.policy(j)
	sc.jobs[s.ID] = j
	sc.activeJobs[j] = true
	if s.Times == 0 {
		j.addOccurrence(0, now)
	}
	if _, ok := sc.earlyCancels[s.ID]; ok {
		sc.Cancel(s.ID, now)
	}
}

// Cancel ends a job; its runs are stopped.
func (sc *Scheduler) Cancel(id string, now time.Time) {
	j := sc.jobs[id]
	if j == nil {
		sc.earlyCancels[id] = now
		return
	}
	if j.hasEnded() {
		return
	}
	sc.endJob(j, Cancelled, now)
	j.reportedState = Cancelled
}

// close brings a job to its last state and stops what is left of it.
func (sc *Scheduler) endJob(j *job, s State, now time.Time) {
	j.state, j.endedAt = s, now
	sc.onEvent(Event{Name: "job " + string(s), Task: j.ID})
	sc.markChanged(j)
	for _, o := range j.occurrences {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				for _, r := range t.runs {
					sc.stopRun(r)
				}
			}
		}
	}
	sc.retireJob(j)
}

func (sc *Scheduler) retireJob(j *job) {
	if sc.activeJobs[j] {
		delete(sc.activeJobs, j)
		sc.interference.ForgetJob(j.ID)
		sc.retiredJobs = append(sc.retiredJobs, j)
	}
}

// stop orders a run to end; it stays on its worker until the end is listed.
func (sc *Scheduler) stopRun(r *run) {
	if !r.stopping {
		r.stopping = true
		sc.pendingStops[r] = true
	}
}

func (sc *Scheduler) markChanged(j *job) {
	sc.changedJobs[j] = true
}

// free takes a run off its worker and its task.
func (sc *Scheduler) removeRun(r *run) {
	delete(r.worker.runs, r)
	delete(sc.pendingStops, r)
	delete(sc.pendingPaces, r)
	if r.task.step.Fills {
		r.worker.lastFillEnded = sc.now
	}
	if s := r.task.step; s.Fills && r.measured > 0 && r.worker.info.Size.CPUMilli > 0 {
		part := float64(r.measured) / float64(r.worker.info.Size.CPUMilli)
		r.worker.recentFills = append(r.worker.recentFills, endedFill{usage: interf.FillUsage{Image: s.Image, CPUFraction: part}, at: sc.now})
	}
	for i, o := range r.task.runs {
		if o == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			sc.markChanged(r.task.step.job)
			return
		}
	}
	panic(errors.AssertionFailedf("run %d of task %s is on worker %s but not on its task", r.number, r.task.ref(), r.worker.node))
}

// endLife frees all that was on a worker whose life is over or whose leases
// have ended.
func (sc *Scheduler) endLife(w *worker) {
	for r := range w.runs {
		sc.onEvent(Event{Name: "run lost", Task: r.task.ref().String(), Run: r.number, Node: w.node})
		sc.removeRun(r)
	}
	w.lifeEnded = true
	if sc.workers[w.node] == w {
		delete(sc.workers, w.node)
	}
}

// StateOf returns a job's stored state.
func (sc *Scheduler) JobState(id string) (State, bool) {
	j := sc.jobs[id]
	if j == nil {
		return "", false
	}
	if j.reportedState == Queued && j.started {
		return Active, true
	}
	return j.reportedState, true
}

// Waiting counts the jobs of a queue that no task of has started.
func (sc *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for j := range sc.activeJobs {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}

// Tick does what time brings: leases that end, occurrences that come due,
// ended jobs that are forgotten. wall is the time of day.
func (sc *Scheduler) Tick(now, wall time.Time) {
	sc.now = now
	for _, w := range sc.workers {
		// Also with a session: an agent that can't hold its worker asks for no
		// grant.
		if now.After(w.leasesExpire) && (w.token == 0 || len(w.runs) > 0) {
			sc.onEvent(Event{Name: "leases ended", Node: w.node})
			sc.endLife(w)
		}
	}
	for j := range sc.activeJobs {
		for k := len(j.occurrences); k < j.Times; k++ {
			due := j.First.Add(time.Duration(k) * j.Interval)
			if wall.Before(due) {
				break
			}
			j.addOccurrence(k, now)
		}
	}
	for len(sc.retiredJobs) > 0 && now.Sub(sc.retiredJobs[0].endedAt) > sc.limits.Retention {
		j := sc.retiredJobs[0]
		if sc.hasRuns(j) {
			break
		}
		sc.retiredJobs = sc.retiredJobs[1:]
		delete(sc.jobs, j.ID)
		delete(sc.changedJobs, j)
		sc.droppedJobs = append(sc.droppedJobs, j.ID)
	}
	for id, at := range sc.earlyCancels {
		if now.Sub(at) > sc.limits.Retention {
			delete(sc.earlyCancels, id)
		}
	}
}

func (sc *Scheduler) hasRuns(j *job) bool {
	for _, o := range j.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				if len(t.runs) > 0 {
					return true
				}
			}
		}
	}
	return false
}
