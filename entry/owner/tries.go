package owner

import (
	"sync"
	"time"
)

// TryOutcome is what an entry knows of the tries to hand a job in that it has seen.
type TryOutcome int

// Values of TryOutcome.
const (
	// NotTried means that no try can have been stored.
	NotTried TryOutcome = iota
	// InDoubt means that a try is in progress, or had no answer.
	InDoubt
	// Stored means that a try was stored.
	Stored
)

const (
	// triesMemory is how long a try is remembered. Repeats of a try arrive within
	// seconds, and so do writes that the store carries out late.
	triesMemory = 30 * time.Second
	// maxTries bounds the memory that tries take. The oldest are forgotten.
	maxTries = 8192
)

// tries holds the newest tries by the ID of the job. The zero value is empty.
type tries struct {
	mu   sync.Mutex
	byID map[string]*try
	// order holds the IDs from the oldest to the newest, and forgottenAt is when one
	// was last forgotten for want of memory.
	order       []string
	forgottenAt time.Time
}

type try struct {
	open            int
	inDoubt, stored bool
	endedAt         time.Time
}

// begin records that a try begins.
func (t *tries) begin(id string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byID == nil {
		t.byID = map[string]*try{}
	}
	if t.byID[id] == nil {
		t.byID[id] = &try{}
		t.order = append(t.order, id)
	}
	t.byID[id].open++
	t.forget(now)
}

// end records how a try has ended.
func (t *tries) end(id string, o TryOutcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.byID[id]; e != nil {
		e.open--
		e.endedAt = now
		e.stored = e.stored || o == Stored
		e.inDoubt = e.inDoubt || o == InDoubt
	}
}

// of returns what is known of a job.
func (t *tries) of(id string) TryOutcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch e := t.byID[id]; {
	case e == nil:
		return NotTried
	case e.stored:
		return Stored
	case e.inDoubt || e.open > 0:
		return InDoubt
	}
	return NotTried
}

// forget drops the tries that are too old, or too many, but none that is in progress.
func (t *tries) forget(now time.Time) {
	for range len(t.order) {
		id := t.order[0]
		e := t.byID[id]
		isOld := e.open == 0 && now.Sub(e.endedAt) > triesMemory
		if !isOld && len(t.order) <= maxTries {
			return
		}
		t.order = t.order[1:]
		if e.open > 0 {
			t.order = append(t.order, id)
			continue
		}
		if !isOld {
			t.forgottenAt = now
		}
		delete(t.byID, id)
	}
}

// reachesTo returns the time from which on all tries are remembered, if there was none
// before a time.
func (t *tries) reachesTo(begun time.Time) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.forgottenAt.After(begun) {
		return t.forgottenAt
	}
	return begun
}
