package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/triage"
)

// rankSteps returns the steps that are ready to run: standing steps, then the others in
// the order of triage.
func (sc *Scheduler) rankSteps(now time.Time) []queuedStep {
	var queue []queuedStep
	var ranked []*occurrence
	var jobs []triage.Job
	var last occurrenceWork
	for s := range sc.readySteps() {
		q := queuedStep{step: s}
		if s.Standing {
			q.workLeft = last.left(s.occurrence)
		} else if o := s.occurrence; len(ranked) == 0 || ranked[len(ranked)-1] != o {
			// readySteps iterates over one occurrence after the other.
			sc.updateForecast(o, now)
			ranked, jobs = append(ranked, o), append(jobs, s.triageJob(now))
		}
		queue = append(queue, q)
	}
	weighByWork(jobs)
	room := sc.knownRoom()
	for i, r := range triage.Order(jobs, room) {
		o := ranked[r.Index]
		o.rank, o.prospect = i, r.Prospect
		sc.reportProspect(o, &jobs[r.Index], r.Prospect, room)
	}
	slices.SortFunc(queue, func(a, b queuedStep) int {
		switch {
		case a.Standing || b.Standing:
			return compareSteps(a, b)
		case a.occurrence != b.occurrence:
			return a.occurrence.rank - b.occurrence.rank
		}
		return a.index - b.index
	})
	return queue
}

// expiryFactor is the multiple of its objective within which the completion of an
// occurrence still counts.
const expiryFactor = 3

// triageJob describes the step's occurrence.
func (s *step) triageJob(now time.Time) triage.Job {
	o, j := s.occurrence, s.job
	due, objective := o.due.Sub(now), s.objective()
	return triage.Job{
		Priority: j.policy.Priority, Pool: s.pool(), ID: j.ID, Age: now.Sub(j.firstSeen),
		Due: due + objective, Last: due + expiryFactor*objective,
		Path: o.forecast.path, Work: o.forecast.work, Worth: o.forecast.total.Seconds(),
	}
}

// weighByWork adds the same worth to each job of a priority, the mean of their work: a
// job counts by its caller and by its work.
func weighByWork(jobs []triage.Job) {
	type sum struct{ worth, count float64 }
	sums := map[int]sum{}
	for i := range jobs {
		s := sums[jobs[i].Priority]
		sums[jobs[i].Priority] = sum{s.worth + jobs[i].Worth, s.count + 1}
	}
	for i := range jobs {
		s := sums[jobs[i].Priority]
		jobs[i].Worth += s.worth / s.count
	}
}

// reportProspect reports once each that an occurrence is set back, that it will be late,
// and that it no longer counts.
func (sc *Scheduler) reportProspect(o *occurrence, j *triage.Job, p triage.Prospect, room triage.Room) {
	if p <= o.reported {
		return
	}
	o.reported = p
	ref := spar.StepRef{Job: j.ID, Occur: o.number}
	sc.onEvent(Event{Name: "job " + p.String(), Task: ref.String(), Queue: o.steps[0].job.Queue, Reason: j.Describe(room)})
}

// compareGain orders runs by what the completion of their jobs still gains, least first.
func (sc *Scheduler) compareGain(a, b *run) int {
	return int(b.task.step.occurrence.prospect - a.task.step.occurrence.prospect)
}

// slowedFills returns the fills on a worker that are paced down, those first whose jobs
// gain most from completion.
func (sc *Scheduler) slowedFills(w *worker) []*run {
	var out []*run
	for r := range w.runs {
		if r.task.step.Fills && r.pace < 100 && !r.stopping {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b *run) int { return sc.compareGain(b, a) })
	return out
}
