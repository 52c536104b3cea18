package shard

import (
	"slices"
	"time"
)

// EndedSubmissions returns ended jobs whose submissions are to be dropped, at most limit.
// The stored state tells all that is asked about them, and a new owner need not read the
// rest. A job that has a run, or may have one on a worker that has not connected, is left
// out, so that the size of the run is known until it ends.
func (sc *Scheduler) EndedSubmissions(limit int, now time.Time) []string {
	var out []string
	for _, j := range sc.retiredJobs {
		if len(out) == limit {
			break
		}
		if j.endStored && !j.submissionDropped && now.After(j.runsUnknownUntil) && !sc.hasRuns(j) {
			out = append(out, j.ID)
		}
	}
	return out
}

// SubmissionsDropped records that the submissions of ended jobs were dropped.
func (sc *Scheduler) SubmissionsDropped(ids []string) {
	for _, id := range ids {
		if j := sc.jobs[id]; j != nil {
			j.submissionDropped = true
			sc.forgetTasks(j)
		}
	}
}

// forgetTasks forgets all of an ended job but what is told of it, if it has no runs.
func (sc *Scheduler) forgetTasks(j *job) {
	if sc.hasRuns(j) {
		return
	}
	for _, o := range j.occurrences {
		sc.forgetSuspects(o)
	}
	crashesStored := j.crashesStored
	j.occurrences, j.Steps, j.dependents, j.Spec, j.storage = nil, nil, nil, "", newStorage(nil)
	j.crashesStored = crashesStored
	sc.addMemory(j, endedFootprint, endedFootprint)
}

// ExpiredCancels returns cancels of jobs that have not arrived within the retention, at most
// limit. They are to be dropped.
func (sc *Scheduler) ExpiredCancels(limit int) []string {
	return sc.expiredCancels[:min(limit, len(sc.expiredCancels))]
}

// CancelsDropped records that the first expired cancels were dropped.
func (sc *Scheduler) CancelsDropped(number int) { sc.expiredCancels = sc.expiredCancels[number:] }

// ExpiredJobs returns ended jobs whose retention is over, at most limit. Their submissions
// are to be dropped, also those that a caller has repeated since the end, and after that
// the jobs forgotten: an owner that finds the submission of a job without its progress
// starts the job.
func (sc *Scheduler) ExpiredJobs(limit int, now time.Time) []string {
	var out []string
	for _, j := range sc.retiredJobs {
		if !j.endStored {
			continue
		}
		if len(out) == limit || now.Sub(j.endedAt) <= sc.limits.Retention || sc.hasRuns(j) {
			break
		}
		out = append(out, j.ID)
	}
	return out
}

// ForgetJobs forgets jobs whose submissions were dropped, and has the next commit drop
// their other records. A job of which a run was found meanwhile is kept until that has
// ended, and expires again.
func (sc *Scheduler) ForgetJobs(ids []string) {
	for _, id := range ids {
		j := sc.jobs[id]
		if j == nil || sc.hasRuns(j) {
			continue
		}
		delete(sc.jobs, id)
		delete(sc.changedJobs, j)
		sc.addMemory(j, 0, 0)
		sc.droppedKeys = append(sc.droppedKeys, id)
		if j.crashesStored {
			sc.droppedKeys = append(sc.droppedKeys, crashPrefix+id)
		}
	}
	sc.retiredJobs = slices.DeleteFunc(sc.retiredJobs, func(j *job) bool { return sc.jobs[j.ID] != j })
}

func (sc *Scheduler) hasRuns(j *job) bool { return j.runs > 0 }
