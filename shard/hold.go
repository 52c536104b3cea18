package shard

import (
	"cmp"
	"slices"
	"time"
)

// The tasks of a job are held by occurrences. One that is due is held when there is
// memory for it, and released when its tasks are done: a job may have many more
// occurrences than there is memory for at a time.

const (
	// maxUnstarted bounds the occurrences of a job that are held and of which no task
	// has started: no more could start before the next commit.
	maxUnstarted = maxClaimsPerCommit
	// maxHeldPerTick bounds the memory in bytes of the occurrences that a Tick adds beside
	// the first ones of their jobs, and so its duration.
	maxHeldPerTick = 4 << 20
)

// countDue counts the occurrences that are due at a time of day.
func (j *job) countDue(wall time.Time) int {
	switch {
	case j.Times == 0:
		return 1
	case wall.Before(j.First):
		return 0
	case j.Interval == 0:
		return j.Times
	}
	return int(min(wall.Sub(j.First)/j.Interval+1, time.Duration(j.Times)))
}

// nextDue returns the first occurrence that is due and neither held nor finished, and
// false if there is none.
func (j *job) nextDue() (int, bool) {
	for j.next < j.due && (j.finished.has(j.next) || j.heldOccurrence(j.next) != nil) {
		j.next++
	}
	return j.next, j.next < j.due
}

// heldOccurrence returns the occurrence with a number, or nil if it is not held.
func (j *job) heldOccurrence(number int) *occurrence {
	i, found := j.findOccurrence(number)
	if !found {
		return nil
	}
	return j.occurrences[i]
}

func (j *job) findOccurrence(number int) (int, bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int { return o.number - n })
}

// hold adds an occurrence with all its tasks to a job.
func (sc *Scheduler) hold(j *job, number int, due time.Time) *occurrence {
	o := j.newOccurrence(number, due)
	i, _ := j.findOccurrence(number)
	j.occurrences = slices.Insert(j.occurrences, i, o)
	j.due = max(j.due, number+1)
	j.unstarted++
	sc.charge(j)
	return o
}

// release forgets the tasks of an occurrence that are all done and have no runs.
func (sc *Scheduler) release(o *occurrence) {
	j := o.job
	i, found := j.findOccurrence(o.number)
	if !found || j.occurrences[i] != o || o.hasRuns() {
		return
	}
	j.occurrences = slices.Delete(j.occurrences, i, i+1)
	j.finished.add(o.number)
	o.markStarted()
	sc.forgetSuspects(o)
	sc.charge(j)
}

func (sc *Scheduler) forgetSuspects(o *occurrence) {
	if len(sc.suspects) == 0 {
		return
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			delete(sc.suspects, t)
		}
	}
}

// releaseFinished releases the occurrences whose tasks are done, but for those with runs
// that are being stopped. The tasks of a job with a single occurrence end with the job.
func (sc *Scheduler) releaseFinished() {
	left := sc.finishedOccurrences[:0]
	for _, o := range sc.finishedOccurrences {
		switch {
		case o.job.hasEnded():
		case o.hasRuns():
			left = append(left, o)
		default:
			sc.release(o)
		}
	}
	clear(sc.finishedOccurrences[len(left):])
	sc.finishedOccurrences = left
}

// holdDue holds the occurrences that are due, as far as there is memory: first one of
// each job, the oldest jobs first, then further ones in turn.
func (sc *Scheduler) holdDue(now, wall time.Time) {
	var first, further []*job
	for j := range sc.activeJobs {
		j.due = max(j.due, j.countDue(wall))
		if _, ok := j.nextDue(); !ok {
			continue
		}
		if len(j.occurrences) == 0 {
			first = append(first, j)
		} else {
			further = append(further, j)
		}
	}
	slices.SortFunc(first, compareArrival)
	lacking := 0
	for _, j := range first {
		if !sc.holdFirst(j, now) {
			lacking++
		} else if _, ok := j.nextDue(); ok {
			further = append(further, j)
		}
	}
	sc.reportLacking(lacking)
	slices.SortFunc(further, compareArrival)
	sc.holdFurther(further, now)
}

// compareArrival orders jobs by their arrival.
func compareArrival(a, b *job) int {
	return cmp.Or(a.firstSeen.Compare(b.firstSeen), cmp.Compare(a.ID, b.ID))
}

// holdFirst holds an occurrence of a job that holds none, and reports whether there was
// memory for it. Jobs that an owner with more memory has accepted wait for others to end.
func (sc *Scheduler) holdFirst(j *job, now time.Time) bool {
	number, ok := j.nextDue()
	if !ok {
		return true
	}
	room := Room{Capacity: sc.limits.holdBytes(), Held: sc.held}
	if !room.Fits(j.occurrence) && sc.occurrencesHeld() {
		return false
	}
	due := now
	if j.Times == 0 {
		due = j.firstSeen
	}
	sc.hold(j, number, due)
	return true
}

// occurrencesHeld reports whether any job holds an occurrence.
func (sc *Scheduler) occurrencesHeld() bool {
	for j := range sc.activeJobs {
		if len(j.occurrences) > 0 {
			return true
		}
	}
	return false
}

// holdFurther holds further occurrences of jobs that hold one, in turn. They leave room
// for the jobs to come.
func (sc *Scheduler) holdFurther(jobs []*job, now time.Time) {
	most := sc.limits.holdBytes() * extraShare / 100
	for added := int64(0); len(jobs) > 0 && added < maxHeldPerTick; {
		left := jobs[:0]
		for _, j := range jobs {
			number, ok := j.nextDue()
			if !ok || j.unstarted >= maxUnstarted || sc.needed+j.occurrence > most {
				continue
			}
			sc.hold(j, number, now)
			added += j.occurrence
			left = append(left, j)
		}
		jobs = left
	}
}

// reportLacking reports how many jobs wait for memory when that changes between some and
// none.
func (sc *Scheduler) reportLacking(jobs int) {
	if (jobs > 0) != (sc.lacking > 0) {
		name := "jobs wait for memory"
		if jobs == 0 {
			name = "no jobs wait for memory"
		}
		sc.onEvent(Event{Name: name, Reason: sc.Room().String()})
	}
	sc.lacking = jobs
}
