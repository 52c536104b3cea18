package admit

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// minReturn is the shortest time for which a caller is sent away.
	minReturn = time.Second
	// minSpread is the shortest time over which returns are spread: callers that are
	// refused together would else return together.
	minSpread = time.Second
)

// Return returns when a refused caller should come back if the cause of its refusal
// lasts for a time. Returns are spread over half of that after its end, by a hash of
// the job's ID; those of a higher priority and a shorter objective use less of the
// spread. A caller is not sent away beyond its own patience, nor beyond MaxReturn.
func (r Rules) Return(after time.Duration, q Request) time.Duration {
	limit := max(r.MaxReturn, minReturn)
	if q.Patience > 0 {
		limit = min(limit, max(q.Patience, minReturn))
	}
	// The spread ends at the limit.
	after = min(max(after, minReturn), max(limit*2/3, minReturn))
	spread := max(after/2, minSpread)
	p := float64(max(q.Priority, 0))
	share := (p + 1) / (p + 2) * urgency(q.Objective)
	return min(after+time.Duration(float64(spread)*share*fraction(q.ID)), limit)
}

// urgency is the part of its share of the spread that a job uses, from a half for a
// short objective to all of it.
func urgency(objective time.Duration) float64 {
	s := max(objective, 0).Seconds()
	return 0.5 + 0.5*s/(s+1)
}

// fraction returns a number from 0 up to 1 that depends on the ID alone.
func fraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // it never fails
	// The low bits of the sum are better mixed than the high ones.
	return float64(h.Sum64()&math.MaxUint32) / (1 << 32)
}

// Seconds returns a time in whole seconds, at least 1. Rounding up would send those
// away for twice as long whose return was put just behind the first second.
func Seconds(d time.Duration) int { return max(int(d.Round(time.Second)/time.Second), 1) }
