package shard

import (
	"cmp"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
	"github.com/berylspar/spar/interf"
	"github.com/berylspar/spar/triage"
	"github.com/cockroachdb/errors"
)

// Limits are the durations that decisions depend on. The owner takes them from
// its settings.
type Limits struct {
	// Lease is the duration of a granted lease, on the agent's clock.
	Lease time.Duration
	// MaxLease is the longest lease that a worker accepts.
	MaxLease time.Duration
	// Retention is how long a job stays readable after its end.
	Retention time.Duration
	// RecordBytes is the largest value of a record that the store accepts, or 0 for
	// defaultRecordBytes.
	RecordBytes int
	// HoldBytes is the memory for jobs, or 0 for DefaultHoldBytes.
	HoldBytes int64
	// Order decides which jobs get room first.
	Order triage.Policy
	// FillHarm is for how many task-seconds a core-second of a fill may bring serving
	// tasks over their targets; 0 has fills keep to slack budgets alone.
	FillHarm float64
}

func (l Limits) recordBytes() int { return cmp.Or(l.RecordBytes, defaultRecordBytes) }

// Scheduler holds the state of a shard and decides for its jobs. Its methods
// must not be called concurrently.
type Scheduler struct {
	limits        Limits
	queues        map[string]spar.Queue
	closedDomains map[string]bool
	jobs          map[string]*job
	activeJobs    map[*job]bool
	retiredJobs   []*job
	// earlyCancels are cancels that arrived before their job, with the time of
	// arrival.
	earlyCancels map[string]time.Time
	// expiredCancels are those whose job has not arrived within the retention.
	expiredCancels []string
	workers        map[string]*worker
	// lifeEnds holds, by node, when the last life began whose end was reported.
	lifeEnds map[string]int64
	// names is set in the first term of a deployment. grantedLives holds, by node, the
	// lives of the stored records that grantedPrefix begins.
	names        namesInTerm
	grantedLives map[string]grantedLife
	// suspects are the tasks with crashes in their history, and trials the slots
	// for their trials that the current Plan has left.
	suspects    map[*task]bool
	trials      trialSlots
	changedJobs map[*job]bool
	// finishedOccurrences are to be released when they have no runs.
	finishedOccurrences []*occurrence
	// needed and held are the sums of the memory of all jobs, and lacking is the number
	// of jobs that wait for memory.
	needed, held int64
	lacking      int
	// startLimit counts the starts of the pass of Plan.
	startLimit startLimit
	// checks counts those of the pass, passCut reports whether it has left steps to the
	// next one, and resumeAt is the index in the queue of the first of them.
	checks   checkBudget
	passCut  bool
	resumeAt int
	// claimedRuns are runs whose start orders are sent once the claims are
	// stored.
	claimedRuns  []*run
	pendingStops map[*run]bool
	pendingPaces map[*run]bool
	pendingAcks  map[*worker]int64
	// droppedKeys are the keys of the records that the next commit drops.
	droppedKeys []string
	// stepsAwaitingAdvice are the steps of queues that require advice which the
	// last Plan could not place, and adviceInFlight counts the unanswered
	// requests.
	stepsAwaitingAdvice []*step
	adviceInFlight      int
	// shortages are the requirements without room in the current Plan. scanAll
	// has Plan try all workers regardless; tests compare the results.
	shortages []shortage
	scanAll   bool
	// pool holds the candidates at poolAt, plannedAt is when Plan last ran.
	pool              []*candidate
	poolAt, plannedAt time.Time
	interference      interf.Model
	// loads is the load of each service at loadAt.
	loads  map[string]admit.Service
	loadAt time.Time
	// swings has observations if harm is limited.
	swings interf.Swings
	// overTarget is the time for which serving tasks were over their targets beside
	// fills since fillsSummarizedAt.
	overTarget        time.Duration
	fillsSummarizedAt time.Time
	// storedModel is the last stored form of interference, and modelCheckedAt
	// the last time at which PrepareCommit compared the two.
	storedModel    []byte
	modelCheckedAt time.Time
	waits          waits
	// runTimes are the run times that were learnt, by queue.
	runTimes map[string]*triage.RunTimes
	// poolRooms are the rooms that were observed.
	poolRooms map[triage.Pool]poolRoom
	// now is the time of the latest Tick or HandleReport call, and wall the time of day
	// at the latest Tick.
	now, wall time.Time
	onEvent   func(Event)
}

// NewScheduler returns the scheduler of an empty shard. It calls onEvent for
// each decision.
func NewScheduler(l Limits, onEvent func(Event)) *Scheduler {
	return &Scheduler{
		limits: l, queues: map[string]spar.Queue{}, closedDomains: map[string]bool{},
		jobs: map[string]*job{}, activeJobs: map[*job]bool{}, earlyCancels: map[string]time.Time{},
		runTimes: map[string]*triage.RunTimes{}, poolRooms: map[triage.Pool]poolRoom{}, workers: map[string]*worker{}, lifeEnds: map[string]int64{}, grantedLives: map[string]grantedLife{}, suspects: map[*task]bool{}, changedJobs: map[*job]bool{},
		pendingStops: map[*run]bool{}, pendingPaces: map[*run]bool{}, pendingAcks: map[*worker]int64{}, onEvent: onEvent,
	}
}

// SetRules applies a configuration. A queue that is missing from it keeps its
// last configuration, for the jobs that are still in it.
func (sc *Scheduler) SetRules(r *spar.Rules) {
	for _, q := range r.Queues {
		sc.queues[q.Name] = q
	}
	for j := range sc.activeJobs {
		j.policy = sc.policy(j)
	}
}

// policy returns the configuration of a job's queue, or the one stored with the
// job if this owner has never seen the queue configured.
func (sc *Scheduler) policy(j *job) spar.Queue {
	if q, ok := sc.queues[j.Queue]; ok {
		return q
	}
	return j.Policy
}

// SetClosedDomains replaces the set of failure domains in which no task may
// start.
func (sc *Scheduler) SetClosedDomains(closed map[string]bool) { sc.closedDomains = closed }

// Submit adds a job. It ignores a job that is already known.
func (sc *Scheduler) Submit(s spar.Job, now time.Time) {
	if j := sc.addJob(s, now); j != nil && s.Times == 0 && !j.hasEnded() {
		sc.holdFirst(j, now)
	}
}

// addJob adds a job without holding its tasks. It returns nil if the job is already known.
func (sc *Scheduler) addJob(s spar.Job, now time.Time) *job {
	if sc.jobs[s.ID] != nil {
		return nil
	}
	j := newJob(s, now)
	j.policy = sc.policy(j)
	sc.jobs[s.ID] = j
	sc.activeJobs[j] = true
	j.due = j.countDue(sc.wall)
	sc.charge(j)
	if _, ok := sc.earlyCancels[s.ID]; ok {
		sc.Cancel(s.ID, now)
	}
	return j
}

// maxArrivalAge bounds the age of a job that SubmitEarlier believes: the time of day of
// two entries may differ.
const maxArrivalAge = time.Minute

// SubmitEarlier adds a job that was accepted before this owner's term. Its wait counts
// from then: a job that each owner lets wait anew may never start if owners change often.
// wall is the time of day. Its tasks are held by Restore, or by the next Tick.
func (sc *Scheduler) SubmitEarlier(s spar.Job, now, wall time.Time) {
	age := min(max(wall.Sub(s.Accepted), 0), maxArrivalAge)
	sc.addJob(s, now.Add(-age))
}

// Cancel ends a job and stops its runs. A cancel of an unknown job is kept for
// the time when the job arrives.
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

// endJob moves a job to a final state and stops its remaining runs.
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

// retireJob takes a job off the active ones and queues it for deletion after
// its retention.
func (sc *Scheduler) retireJob(j *job) {
	if sc.activeJobs[j] {
		delete(sc.activeJobs, j)
		sc.interference.ForgetJob(j.ID)
		sc.swings.ForgetJob(j.ID)
		sc.retiredJobs = append(sc.retiredJobs, j)
		sc.charge(j)
	}
}

// stopRun orders a run to stop. The run stays on its worker until the worker
// reports its end.
func (sc *Scheduler) stopRun(r *run) {
	if !r.stopping {
		r.stopping = true
		sc.pendingStops[r] = true
	}
}

// removeRun removes a run from its worker and its task.
func (sc *Scheduler) removeRun(r *run) {
	r.worker.removeRun(r)
	if r.confirmed {
		r.task.idleSince = sc.now
	}
	delete(sc.pendingStops, r)
	delete(sc.pendingPaces, r)
	if r.task.step.Fills {
		r.worker.lastFillEnded = sc.now
	}
	if s := r.task.step; s.Fills && r.measured > 0 && r.worker.info.Size.CPUMilli > 0 {
		cpuFraction := float64(r.measured) / float64(r.worker.info.Size.CPUMilli)
		r.worker.recentFills = append(r.worker.recentFills, endedFill{usage: interf.FillUsage{Image: s.Image, CPUFraction: cpuFraction}, endedAt: sc.now})
	}
	if r.task.dropRun(r) {
		sc.markTaskChanged(r.task)
		return
	}
	panic(errors.AssertionFailedf("run %d of task %s is on worker %s but not among the runs of its task", r.number, r.task.ref(), r.worker.node))
}

// Tick removes workers whose leases have expired, holds occurrences that are due and
// reports standing tasks that do not run.
// now is a monotonic time and wall the time of day.
func (sc *Scheduler) Tick(now, wall time.Time) {
	sc.now, sc.wall = now, wall
	for _, w := range sc.workers {
		if p := w.previous; p != nil && now.After(p.leasesExpire) {
			sc.onEvent(Event{Name: "leases ended", Node: w.node, Reason: p.info.Life.ID})
			sc.endPrevious(w, "leases ended")
		}
		sc.expireStrays(w, now)
		// This also applies to a worker with a session: an agent that cannot
		// renew the leases on its worker requests no grants.
		if now.After(w.leasesExpire) && (w.token == 0 || len(w.runs) > 0) {
			sc.onEvent(Event{Name: "leases ended", Node: w.node})
			sc.endLife(w, "leases ended")
		}
	}
	sc.releaseFinished()
	sc.holdDue(now, wall)
	for id, at := range sc.earlyCancels {
		if now.Sub(at) > sc.limits.Retention {
			delete(sc.earlyCancels, id)
			sc.expiredCancels = append(sc.expiredCancels, id)
		}
	}
	sc.reportWaits(now)
}
