package shard

import (
	"fmt"
	"strings"
	"time"

	"github.com/berylspar/spar"
)

// maxPlanAge is the time without a Plan from which that is a reason for a wait.
const maxPlanAge = time.Second

// exclusion is why a worker cannot take a task. The zero value is none.
type exclusion int

const (
	notExcluded exclusion = iota
	otherService
	outOfTouch
	notListed
	draining
	domainClosed
	avoided
	keptForTrial
	tooManyOfStep
	withoutTicket
	withoutRoom
	besideSlowTasks
	wouldDisturb
	exclusionCount
)

var exclusionNames = [exclusionCount]string{
	"could take it", "of another service or label", "out of touch", "not listed", "draining", "in a closed domain",
	"avoided", "kept for a trial", "with too many of its step", "without a ticket", "without room", "beside slow tasks",
	"with serving tasks that it would disturb",
}

// waitReason describes what keeps a task from running: what holds the task itself, how
// many workers cannot take it and why, and what takes their room without running.
func (sc *Scheduler) waitReason(t *task, now time.Time) string {
	parts := sc.holds(t, now)
	var counts [exclusionCount]int
	var unconfirmed, stopping, silent spar.Size
	for _, w := range sc.workers {
		e := sc.exclusion(w, t, now)
		counts[e]++
		if e == otherService {
			continue
		}
		for r := range w.runs {
			size := r.task.step.reservedSize()
			switch {
			case w.token == 0:
				silent = silent.Add(size)
			case r.stopping:
				stopping = stopping.Add(size)
			case !r.confirmed:
				unconfirmed = unconfirmed.Add(size)
			}
		}
	}
	workers := fmt.Sprintf("%d workers", len(sc.workers))
	for e, n := range counts {
		if n > 0 {
			workers += fmt.Sprintf(", %d %s", n, exclusionNames[e])
		}
	}
	parts = append(parts, workers)
	for _, held := range []struct {
		by   string
		size spar.Size
	}{{"unconfirmed runs", unconfirmed}, {"stopping runs", stopping}, {"workers out of touch", silent}} {
		if held.size != (spar.Size{}) {
			parts = append(parts, fmt.Sprintf("%s hold %s", held.by, held.size))
		}
	}
	return strings.Join(parts, "; ")
}

// holds describes what keeps a task from being placed at all.
func (sc *Scheduler) holds(t *task, now time.Time) []string {
	var out []string
	if age := now.Sub(sc.plannedAt); sc.plannedAt.IsZero() {
		out = append(out, "no plan yet")
	} else if age > maxPlanAge {
		out = append(out, "no plan for "+rounded(age))
	}
	for _, r := range t.runs {
		out = append(out, fmt.Sprintf("run %d on %s %s", r.number, r.worker.node, r.describe(now)))
	}
	if now.Before(t.notBefore) {
		out = append(out, "not before "+rounded(t.notBefore.Sub(now)))
	}
	if node := sc.staysWith(t, now); node != "" {
		out = append(out, "stays with "+node+", which may carry out an earlier start late")
	}
	switch s := t.step; {
	case len(t.runs) > 0:
	case t.history().isSuspect():
		out = append(out, "suspect: "+t.history().String())
		if s.hasTrial(t.isOverdue(now), now) {
			out = append(out, "a task of its step is on trial")
		}
	case s.hasLikelyCause():
		out = append(out, "a task of its step has crashed a worker alone")
	}
	return out
}

// describe tells what is known of a run that is not confirmed on a worker in touch.
func (r *run) describe(now time.Time) string {
	switch {
	case r.worker.token == 0:
		return "out of touch, leases end in " + rounded(r.worker.leasesExpire.Sub(now))
	case r.stopping:
		return "is being stopped"
	case !r.worker.listed:
		return "not listed yet"
	case !r.ordered:
		return "not stored yet, claimed " + rounded(now.Sub(r.started)) + " ago"
	case !r.confirmed:
		return "not answered, ordered " + rounded(now.Sub(r.started)) + " ago"
	}
	return "runs"
}

// exclusion returns why a worker cannot take a task, in the order in which Plan checks it.
func (sc *Scheduler) exclusion(w *worker, t *task, now time.Time) exclusion {
	s := t.step
	switch {
	case w.info.Service != "" && w.info.Service != s.job.policy.Service || !w.hasLabel(s) && w.token != 0:
		return otherService
	case w.token == 0:
		return outOfTouch
	case !w.listed:
		return notListed
	case w.info.Draining:
		return draining
	case sc.closedDomains[w.info.Domain]:
		return domainClosed
	case now.Before(w.avoidUntil), now.Before(w.failingUntil) && !t.isOverdue(now):
		return avoided
	case len(sc.suspects) > 0 && w.hasTrialBeside(t, now), sc.isReserved(w, now) && !t.isOverdue(now):
		return keptForTrial
	case !w.allowsStep(s):
		return tooManyOfStep
	case !s.mayStartOn(w, now):
		return withoutTicket
	}
	c := &candidate{worker: w, allocation: w.allocation(now), mayBeDisturbed: w.mayBeDisturbed(now)}
	switch {
	case !c.fits(s):
		return withoutRoom
	case !sc.canRun(c, t, now):
		return besideSlowTasks
	case s.Fills && sc.startPace(c, s, sc.minPace(s, now)) == 0:
		return wouldDisturb
	}
	return notExcluded
}
