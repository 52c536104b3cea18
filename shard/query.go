package shard

// JobFailure returns why a job has failed, or "" if it has not or the reason was
// not stored.
func (sc *Scheduler) JobFailure(id string) string {
	if j := sc.jobs[id]; j != nil && j.reportedState == Failed {
		return j.failure
	}
	return ""
}

// JobState returns the state of a job as it is stored, and whether the job is
// known.
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

// WaitingJobs counts the jobs of a queue of which no task has started.
func (sc *Scheduler) WaitingJobs(queue string) int {
	n := 0
	for j := range sc.activeJobs {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}
