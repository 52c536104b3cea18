package triage

import (
	"fmt"
	"time"
)

// Describe returns the inputs that decide over a job, for a log.
func (j *Job) Describe(room Room) string {
	out := fmt.Sprintf("objective in %s, counts for %s, chain %s, work %s, worth %.1f", tenths(j.Due), tenths(j.Last), tenths(j.Path), tenths(j.Work), j.Worth)
	if r, ok := room[j.Pool]; ok {
		out += fmt.Sprintf(", too little room: %.0f processors", r)
	}
	return out
}

func tenths(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
