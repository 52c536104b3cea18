package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/admit"
)

// loadInterval is the shortest time between two computations of the load, each of which
// looks at all unfinished tasks.
const loadInterval = 250 * time.Millisecond

// serviceLoad is the load of a service while it is summed up.
type serviceLoad struct {
	reservedDrain, fillingDrain int64
	reserved, filling           map[string]*admit.Waiting
}

// Load returns what waits for the workers of each service and how fast they can do it.
// It computes that at most once in loadInterval; Age says how long ago.
func (sc *Scheduler) Load(now time.Time) admit.Load {
	if sc.loadAt.IsZero() || now.Sub(sc.loadAt) >= loadInterval {
		sc.loads, sc.loadAt = sc.computeLoads(now), now
	}
	return admit.Load{Age: now.Sub(sc.loadAt), Services: sc.loads}
}

func (sc *Scheduler) computeLoads(now time.Time) map[string]admit.Service {
	sums := map[string]*serviceLoad{}
	of := func(service string) *serviceLoad {
		if sums[service] == nil {
			sums[service] = &serviceLoad{reserved: map[string]*admit.Waiting{}, filling: map[string]*admit.Waiting{}}
		}
		return sums[service]
	}
	for _, w := range sc.workers {
		if w.isOpen(sc) {
			reserved, filling := w.drains()
			l := of(w.info.Service)
			l.reservedDrain += reserved
			l.fillingDrain += filling
		}
	}
	var last occurrenceWork
	for j := range sc.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.unfinished > 0 && !s.Standing {
					of(j.policy.Service).add(s, last.left(o), now)
				}
			}
		}
	}
	out := map[string]admit.Service{}
	for name, l := range sums {
		out[name] = admit.Service{Reserved: backlog(l.reservedDrain, l.reserved), Filling: backlog(l.fillingDrain, l.filling)}
	}
	return out
}

// isOpen reports whether tasks may start on the worker, as far as it alone decides.
func (w *worker) isOpen(sc *Scheduler) bool {
	return w.token != 0 && w.listed && !w.info.Draining && !sc.closedDomains[w.info.Domain]
}

// drains returns the rates, in thousandths of a processor, at which the worker does work
// that ends: its processors that no standing task holds, and those that fills use now.
func (w *worker) drains() (reserved, filling int64) {
	reserved = w.info.Size.CPUMilli
	for r := range w.runs {
		switch s := r.task.step; {
		case s.Fills && r.measured > 0:
			filling += r.measured
		case s.Fills:
			filling += s.fillCPU(r.pace)
		case s.Standing:
			reserved -= s.Size.CPUMilli
		}
	}
	return max(reserved, 0), filling
}

// add adds the tasks of a step that have no run, also those that wait for earlier steps.
// workLeft is that of the step's occurrence.
func (l *serviceLoad) add(s *step, workLeft time.Duration, now time.Time) {
	tasks := 0
	for _, t := range s.tasks {
		if !t.done && len(t.runs) == 0 {
			tasks++
		}
	}
	if tasks == 0 {
		return
	}
	byQueue := l.reserved
	if s.Fills {
		byQueue = l.filling
	}
	w := byQueue[s.job.Queue]
	if w == nil {
		w = &admit.Waiting{Queue: s.job.Queue, Priority: s.job.policy.Priority}
		byQueue[s.job.Queue] = w
	}
	work := time.Duration(tasks) * s.Estimate * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
	if s.isLate(now) {
		w.Late += work
	} else {
		w.Work += work
		w.Sizes[admit.SizeOf(workLeft)] += work
	}
	w.Tasks += tasks
	w.Oldest = max(w.Oldest, now.Sub(s.occurrence.due))
}

func backlog(drain int64, byQueue map[string]*admit.Waiting) admit.Backlog {
	b := admit.Backlog{DrainMilli: drain}
	for _, w := range byQueue {
		b.Waiting = append(b.Waiting, *w)
	}
	slices.SortFunc(b.Waiting, func(a, c admit.Waiting) int { return cmp.Or(a.Priority-c.Priority, strings.Compare(a.Queue, c.Queue)) })
	return b
}

// ShortestPath returns the longest chain of a job's steps, by their estimates: the
// shortest time in which it can be done.
func ShortestPath(steps []spar.Step) time.Duration {
	pathTo := make([]time.Duration, len(steps))
	var longest time.Duration
	for i, s := range steps {
		var before time.Duration
		for _, a := range s.After {
			before = max(before, pathTo[a])
		}
		pathTo[i] = before + s.Estimate
		longest = max(longest, pathTo[i])
	}
	return longest
}
