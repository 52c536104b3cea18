package jobapi

import (
	"sync"
	"time"
)

// outcome is what an entry knows of a job that a caller has handed in to it.
type outcome int

const (
	notSeen outcome = iota
	// doubtful is a job of which a write had no answer, and stored one whose write
	// was answered.
	doubtful
	stored
)

const (
	// outcomeMemory is how long an outcome is kept: repeats arrive within seconds.
	outcomeMemory = 30 * time.Second
	// maxOutcomes bounds the memory that outcomes take. The oldest are forgotten.
	maxOutcomes = 4096
)

// recentOutcomes holds the newest outcomes by the ID of the job. The zero value is empty.
type recentOutcomes struct {
	mu   sync.Mutex
	byID map[string]outcomeAt
	// order holds the IDs from the oldest to the newest.
	order []string
}

type outcomeAt struct {
	outcome outcome
	at      time.Time
}

// of returns what is known of a job.
func (r *recentOutcomes) of(id string, now time.Time) outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok := r.byID[id]
	if !ok || now.Sub(o.at) > outcomeMemory {
		return notSeen
	}
	return o.outcome
}

// record records an outcome. A job that is stored remains so.
func (r *recentOutcomes) record(id string, o outcome, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]outcomeAt{}
	}
	old, seen := r.byID[id]
	r.byID[id] = outcomeAt{max(o, old.outcome), now}
	if !seen {
		r.order = append(r.order, id)
	}
	for len(r.order) > 0 && (len(r.order) > maxOutcomes || now.Sub(r.byID[r.order[0]].at) > outcomeMemory) {
		delete(r.byID, r.order[0])
		r.order = r.order[1:]
	}
}
