package admit

import (
	"time"

	"github.com/berylspar/spar"
)

// History is what is known of earlier tries to hand a job in.
type History int

const (
	// MayBeAccepted is the history of a job of which an earlier try may have been
	// stored. It is the zero value, so that what is not known is never refused.
	MayBeAccepted History = iota
	// NeverAccepted is the history of a job of which no try can have been stored.
	NeverAccepted
)

// Request is a job that a caller hands in.
type Request struct {
	ID       string `json:"id"`
	Service  string `json:"service"`
	Priority int    `json:"priority,omitempty"`
	// Work is the time that the job takes on one processor.
	Work time.Duration `json:"work_ns"`
	// Objective is the time in which the job should complete.
	Objective time.Duration `json:"objective_ns"`
	// Standing is set if a part of the job runs until it is cancelled.
	Standing bool `json:"standing,omitempty"`
	// Reserves and Fills are set if a part of the job takes room of its own, or what
	// serving tasks leave unused.
	Reserves bool `json:"reserves,omitempty"`
	Fills    bool `json:"fills,omitempty"`
	// History is not passed on: who decides has to know it.
	History History `json:"-"`
	// Refusals is how often the job was refused before.
	Refusals int `json:"-"`
	// Patience is how long the caller goes on trying; 0 is not known.
	Patience time.Duration `json:"patience_ns,omitempty"`
}

// NewRequest describes a job by its steps and the objective of its queue. shortestPath
// is the longest chain of its steps, by their estimates.
func NewRequest(j *spar.Job, shortestPath time.Duration) Request {
	q := j.Policy
	r := Request{ID: j.ID, Service: q.Service, Priority: q.Priority, Objective: q.Objective(shortestPath)}
	for _, s := range j.Steps {
		r.Standing = r.Standing || s.Standing
		r.Work += time.Duration(s.Count) * s.Estimate * time.Duration(max(s.Size.CPUMilli, 1)) / 1000
		r.Fills = r.Fills || s.Fills
		r.Reserves = r.Reserves || !s.Fills
	}
	// An occurrence in the future meets another backlog than today's.
	r.Standing = r.Standing || j.Times > 0
	return r
}
