package triage

import "time"

// Job is what is known of a job that waits for room. Times are from now on.
type Job struct {
	// Priority is that of the job's queue; the lowest goes first.
	Priority int
	// Pool is the room that the job draws on.
	Pool Pool
	// Due is the time to the job's objective, and Last the time from which its
	// completion is worth nothing to its caller; negative once they have passed.
	Due, Last time.Duration
	// Path is the longest chain of work left: the shortest time in which the job
	// can complete.
	Path time.Duration
	// Work is the CPU time left, on one processor.
	Work time.Duration
	// Worth is what completion by Due is worth to the caller, in any unit that is
	// the same for all jobs of a priority.
	Worth float64
	// Age and then ID order jobs between which nothing else decides.
	Age time.Duration
	ID  string
}

// Pool is a room that jobs share: what is not reserved on a service's workers, or
// what its serving tasks leave of their reservations, which others fill.
type Pool struct {
	Service string
	Fills   bool
}

// Prospect is what a caller can still gain from a job.
type Prospect int

// The prospects, best first.
const (
	// InTime is a job that can meet its objective.
	InTime Prospect = iota
	// SetBack is a job that could meet its objective, for which there is no room
	// beside jobs that are worth more for their work.
	SetBack
	// Late is a job that cannot meet its objective, whose completion still counts.
	Late
	// Expired is a job whose completion comes too late to count.
	Expired
)

var prospectNames = [...]string{"in time", "set back", "late", "expired"}

func (p Prospect) String() string { return prospectNames[p] }

// prospect tells what can still be gained if the job gets all the room it wants.
func (j Job) prospect() Prospect {
	switch {
	case j.Path <= j.Due:
		return InTime
	case j.Path <= j.Last:
		return Late
	}
	return Expired
}

// leastWork bounds the work left from below, so that a job without an estimate
// does not divide by zero.
const leastWork = time.Millisecond

// density is the worth for each second of work left.
func (j Job) density() float64 {
	return max(j.Worth, 0) / max(j.Work, leastWork).Seconds()
}

// isStarved reports whether a job goes ahead of the others of its priority.
func (j Job) isStarved() bool { return j.Last <= -MaxWait }

// MaxWait is how long after the time from which its completion is worth nothing a job
// goes ahead of the others of its priority until it completes, one job at a time.
const MaxWait = 15 * time.Second
