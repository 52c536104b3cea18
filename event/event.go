// Package event keeps the newest decisions of a process in a bounded ring, so
// that a person on call can learn why. What must last is in the log's records.
package event

import (
	"strings"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/wire"
)

// Capacity is the number of decisions kept.
const MaxDecisions = 4096

// Ring keeps decisions. The zero value works.
type Ring struct {
	mu        sync.Mutex
	decisions [MaxDecisions]*wire.Event
	next      int
}

// Add keeps a decision about a subject: a task, a worker or a request.
func (r *Ring) AddDecision(subject, decision string, reason spar.Reason, detail string) {
	e := &wire.Event{UnixUs: time.Now().UnixMicro(), Subject: subject, Decision: decision, Reason: string(reason), Detail: detail}
	r.mu.Lock()
	r.decisions[r.next%MaxDecisions] = e
	r.next++
	r.mu.Unlock()
}

// About returns the decisions whose subject or detail names a subject, the
// oldest first.
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
