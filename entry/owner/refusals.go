package owner

import "time"

// refusalMemory is how long a refusal counts. It exceeds the longest time for which a
// caller is sent away a few times over.
const refusalMemory = 2 * time.Minute

// refusals counts how often jobs were refused. The zero value is empty.
type refusals struct {
	byID map[string]refusal
}

type refusal struct {
	count int
	at    time.Time
}

// of returns how often a job was refused.
func (r *refusals) of(id string) int { return r.byID[id].count }

// add counts a refusal, and forgets those that are too old once there are many. It
// reports false if there are too many others to count it.
func (r *refusals) add(id string, now time.Time) bool {
	if r.byID == nil {
		r.byID = map[string]refusal{}
	}
	if len(r.byID) >= maxTries {
		for id, e := range r.byID {
			if now.Sub(e.at) > refusalMemory {
				delete(r.byID, id)
			}
		}
	}
	if len(r.byID) >= maxTries && r.byID[id].count == 0 {
		return false
	}
	r.byID[id] = refusal{r.byID[id].count + 1, now}
	return true
}
