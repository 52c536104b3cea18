package exec

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// unackedEnds holds the ends of one life that the worker lists and no owner has
// acknowledged. The zero value is empty.
type unackedEnds struct {
	// listed are in the order of their numbers.
	listed []listedEnd
	// acked is the number of the last end that an owner has acknowledged.
	acked int64
}

// listedEnd is an end and the time at which the worker first listed it.
type listedEnd struct {
	spar.Ended
	at time.Duration
}

// update replaces the ends by those that the worker lists now.
func (u *unackedEnds) update(ends []spar.Ended, now time.Duration) {
	at := make(map[int64]time.Duration, len(u.listed))
	for _, e := range u.listed {
		at[e.Number] = e.at
	}
	u.listed = nil
	for _, e := range ends {
		first, ok := at[e.Number]
		if !ok {
			first = now
		}
		if e.Number > u.acked {
			u.listed = append(u.listed, listedEnd{e, first})
		}
	}
}

// acknowledge removes the ends up to a number. The worker may still list them until it is
// told.
func (u *unackedEnds) acknowledge(number int64) {
	u.acked = max(u.acked, number)
	u.listed = slices.DeleteFunc(u.listed, func(e listedEnd) bool { return e.Number <= u.acked })
}

// age returns how long ago the first of the ends was listed, or 0 if there is none.
func (u *unackedEnds) age(now time.Duration) time.Duration {
	if len(u.listed) == 0 {
		return 0
	}
	return now - u.listed[0].at
}

func (u *unackedEnds) all() []spar.Ended {
	var out []spar.Ended
	for _, e := range u.listed {
		out = append(out, e.Ended)
	}
	return out
}
