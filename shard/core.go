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
	Keep time.Duration
}

// Core is the state of a shard. Its methods are called by one goroutine at a
// time.
type Core struct {
	limits  Limits
	queues  map[string]spar.Queue
	closed  map[string]bool
	jobs    map[string]*job
	active  map[*job]bool
	retired []*job
	// cancelled are cancels of jobs that have not been seen yet.
	cancelled map[string]time.Time
	workers   map[string]*worker
	changed   map[*job]bool
	// orders are to be sent once what they depend on is stored.
	orders []*run
	stops  map[*run]bool
	paces  map[*run]bool
	acks   map[*worker]int64
	drops  []string
	// unadvised are steps that wait for advice, and asking counts the questions
	// in flight.
	unadvised    []*step
	asking       int
	interference interf.Model
	// model is what was last stored of it, and learned when.
	model   []byte
	learned time.Time
	// now is the time of the call in progress.
	now    time.Time
	events func(Event)
}

// Event is a decision worth a log line.
type Event struct {
	What   string
	Task   string
	Run    int64
	Node   string
	Reason string
}

// NewCore returns an empty shard. Events are handed to note.
func NewCore(l Limits, note func(Event)) *Core {
	return &Core{
		limits: l, queues: map[string]spar.Queue{}, closed: map[string]bool{},
		jobs: map[string]*job{}, active: map[*job]bool{}, cancelled: map[string]time.Time{},
		workers: map[string]*worker{}, changed: map[*job]bool{},
		stops: map[*run]bool{}, paces: map[*run]bool{}, acks: map[*worker]int64{}, events: note,
	}
}

// SetRules takes a configuration. Queues that it drops keep their last rules
// for the jobs that are in them.
func (c *Core) SetRules(r *spar.Rules) {
	for _, q := range r.Queues {
		c.queues[q.Name] = q
	}
	for j := range c.active {
		j.policy = c.policy(j)
	}
}

func (c *Core) policy(j *job) spar.Queue {
	if q, ok := c.queues[j.Queue]; ok {
		return q
	}
	return j.Policy
}

// SetDomains tells which failure domains are closed to starts.
func (c *Core) SetDomains(closed map[string]bool) { c.closed = closed }

// Submit adds a job. A job that is known already changes nothing.
func (c *Core) Submit(s spar.Job, now time.Time) {
	if c.jobs[s.ID] != nil {
		return
	}
	j := newJob(s, now)
	j.policy = c.policy(j)
	c.jobs[s.ID] = j
	c.active[j] = true
	if s.Times == 0 {
		j.newOccur(0, now)
	}
	if _, ok := c.cancelled[s.ID]; ok {
		c.Cancel(s.ID, now)
	}
}

// Cancel ends a job; its runs are stopped.
func (c *Core) Cancel(id string, now time.Time) {
	j := c.jobs[id]
	if j == nil {
		c.cancelled[id] = now
		return
	}
	if j.ended() {
		return
	}
	c.close(j, Cancelled, now)
	j.visible = Cancelled
}

// close brings a job to its last state and stops what is left of it.
func (c *Core) close(j *job, s State, now time.Time) {
	j.state, j.closed = s, now
	c.events(Event{What: "job " + string(s), Task: j.ID})
	c.dirty(j)
	for _, o := range j.occurs {
		for _, p := range o.steps {
			for _, t := range p.tasks {
				for _, r := range t.runs {
					c.stop(r)
				}
			}
		}
	}
	c.retire(j)
}

func (c *Core) retire(j *job) {
	if c.active[j] {
		delete(c.active, j)
		c.interference.Forget(j.ID)
		c.retired = append(c.retired, j)
	}
}

// stop orders a run to end; it stays on its worker until the end is listed.
func (c *Core) stop(r *run) {
	if !r.stopping {
		r.stopping = true
		c.stops[r] = true
	}
}

func (c *Core) dirty(j *job) {
	c.changed[j] = true
}

// free takes a run off its worker and its task.
func (c *Core) free(r *run) {
	delete(r.worker.runs, r)
	delete(c.stops, r)
	delete(c.paces, r)
	if r.task.step.Fills {
		r.worker.filled = c.now
	}
	if s := r.task.step; s.Fills && r.figure > 0 && r.worker.info.Size.CPUMilli > 0 {
		part := float64(r.figure) / float64(r.worker.info.Size.CPUMilli)
		r.worker.echoes = append(r.worker.echoes, echo{share: interf.Share{Image: s.Image, Part: part}, at: c.now})
	}
	for i, o := range r.task.runs {
		if o == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			c.dirty(r.task.step.job)
			return
		}
	}
	panic(errors.AssertionFailedf("run %d of task %s is on worker %s but not on its task", r.number, r.task.ref(), r.worker.node))
}

// endLife frees all that was on a worker whose life is over or whose leases
// have ended.
func (c *Core) endLife(w *worker) {
	for r := range w.runs {
		c.events(Event{What: "run lost", Task: r.task.ref().String(), Run: r.number, Node: w.node})
		c.free(r)
	}
	w.gone = true
	if c.workers[w.node] == w {
		delete(c.workers, w.node)
	}
}

// StateOf returns a job's stored state.
func (c *Core) StateOf(id string) (State, bool) {
	j := c.jobs[id]
	if j == nil {
		return "", false
	}
	if j.visible == Queued && j.begun {
		return Active, true
	}
	return j.visible, true
}

// Waiting counts the jobs of a queue that no task of has started.
func (c *Core) Waiting(queue string) int {
	n := 0
	for j := range c.active {
		if j.Queue == queue && !j.begun {
			n++
		}
	}
	return n
}

// Tick does what time brings: leases that end, occurrences that come due,
// ended jobs that are forgotten. wall is the time of day.
func (c *Core) Tick(now, wall time.Time) {
	c.now = now
	for _, w := range c.workers {
		// Also with a session: an agent that can't hold its worker asks for no
		// grant.
		if now.After(w.expires) && (w.token == 0 || len(w.runs) > 0) {
			c.events(Event{What: "leases ended", Node: w.node})
			c.endLife(w)
		}
	}
	for j := range c.active {
		for k := len(j.occurs); k < j.Times; k++ {
			due := j.First.Add(time.Duration(k) * j.Interval)
			if wall.Before(due) {
				break
			}
			j.newOccur(k, now)
		}
	}
	for len(c.retired) > 0 && now.Sub(c.retired[0].closed) > c.limits.Keep {
		j := c.retired[0]
		if c.hasRuns(j) {
			break
		}
		c.retired = c.retired[1:]
		delete(c.jobs, j.ID)
		delete(c.changed, j)
		c.drops = append(c.drops, j.ID)
	}
	for id, at := range c.cancelled {
		if now.Sub(at) > c.limits.Keep {
			delete(c.cancelled, id)
		}
	}
}

func (c *Core) hasRuns(j *job) bool {
	for _, o := range j.occurs {
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
