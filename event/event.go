// Package event keeps the most recent decisions of a process in a ring buffer, so
// that operators can find out why something happened. It is not persistent; the
// records of the log are.
package event

import (
	"strings"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// MaxDecisions is the number of decisions kept.
const MaxDecisions = 4096

// Ring is a ring buffer of decisions. The zero value is empty and ready to use. It
// is safe for concurrent use.
type Ring struct {
	mu        sync.Mutex
	decisions [MaxDecisions]*wire.Event
	next      int
}

// AddDecision adds a decision about a subject: a task, a worker or a request. It
// replaces the oldest one if the ring is full.
func (r *Ring) AddDecision(subject, decision string, reason spar.Reason, detail string) {
	e := &wire.Event{UnixUs: time.Now().UnixMicro(), Subject: subject, Decision: decision, Reason: string(reason), Detail: detail}
	r.mu.Lock()
	r.decisions[r.next%MaxDecisions] = e
	r.next++
	r.mu.Unlock()
}

// DecisionsAbout returns the decisions whose subject is the given one or below it,
// or whose detail contains it, the oldest first.
func (r *Ring) DecisionsAbout(subject string) []*wire.Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*wire.Event
	for i := range MaxDecisions {
		e := r.decisions[(r.next+i)%MaxDecisions]
		if e == nil {
			continue
		}
		if e.GetSubject() == subject || strings.HasPrefix(e.GetSubject(), subject+"/") || strings.Contains(e.GetDetail(), subject) {
			out = append(out, e)
		}
	}
	return out
}
