package owner

import (
	"strings"

	"github.com/berylspar/spar"
)

// knows reports whether the job of a submission is stored, as far as this entry knows as
// the owner. Neither an expired term nor an old read makes a job unknown.
func (c *Candidate) knows(r spar.Record) bool {
	id, ok := strings.CutPrefix(r.Key, JobPrefix)
	t := c.currentTerm()
	if !ok || t == nil || !t.isReady() {
		return false
	}
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	_, known := t.scheduler.JobState(id)
	return known
}
