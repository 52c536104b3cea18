package owner

import (
	"sync"
	"time"

	"github.com/berylspar/spar/shard"
)

const (
	// allowanceShare is the part of the free memory, as a divisor, that the allowances of
	// all entries take together. What is left is for jobs that the owner is asked about.
	allowanceShare = 2
	// firstAllowance is the part of its own memory for jobs, as a divisor, that an entry
	// has as its allowance until it has heard from an owner.
	firstAllowance = 32
	// unseenTime is how old a job may be that the owner has not read when it answers.
	unseenTime = 2 * time.Second
)

// allowance is the memory that an entry may fill with jobs without asking the owner. It
// does not grow while the owner is away.
type allowance struct {
	mu sync.Mutex
	// room is as the owner has told it last, and entries the number of those that share it.
	room    shard.Room
	entries int
	// used is the memory of the jobs since then, and of those that the owner had not read.
	used int64
	// recent are the jobs of the last unseenTime.
	recent []admittedJob
}

type admittedJob struct {
	at   time.Time
	need int64
}

// newAllowance returns the allowance of an entry that has not heard from an owner.
func newAllowance(capacity int64) allowance {
	return allowance{room: shard.Room{Capacity: capacity / firstAllowance}, entries: 1}
}

// take takes memory for a job from the allowance, and reports whether it was enough.
func (a *allowance) take(need int64, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if need > a.room.FreeFor(need)/int64(allowanceShare*a.entries)-a.used {
		return false
	}
	a.used += need
	for len(a.recent) > 0 && now.Sub(a.recent[0].at) > unseenTime {
		a.recent = a.recent[1:]
	}
	a.recent = append(a.recent, admittedJob{now, need})
	return true
}

// renew applies what the owner has answered to a question.
func (a *allowance) renew(room shard.Room, entries int, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.room, a.entries, a.used = room, max(entries, 1), 0
	for _, j := range a.recent {
		if asked.Sub(j.at) <= unseenTime {
			a.used += j.need
		}
	}
}
