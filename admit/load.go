package admit

import (
	"math/bits"
	"time"
)

// Load is what is known of the services at one moment. The zero value knows nothing.
type Load struct {
	// Age is the time since it was computed.
	Age      time.Duration
	Services map[string]Service
}

// Service is the backlog of the workers of one service. Reserved holds the work that
// takes room of its own, and Filling that which takes what serving tasks leave unused.
type Service struct {
	Reserved Backlog `json:"reserved,omitzero"`
	Filling  Backlog `json:"filling,omitzero"`
}

// Backlog is work that has not started and the rate at which it can be done.
type Backlog struct {
	// DrainMilli is the rate, in thousandths of a processor. 0 is not known.
	DrainMilli int64 `json:"drain_milli,omitempty"`
	// Waiting is the work by queue.
	Waiting []Waiting `json:"waiting,omitempty"`
}

// Waiting is the work of one queue that has not started.
type Waiting struct {
	Queue string `json:"queue,omitempty"`
	// Priority 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Work is the time that it takes on one processor, by its estimates, and Late that of
	// jobs that are past their objective, which goes after all Work of the priority.
	Work time.Duration `json:"work_ns"`
	Late time.Duration `json:"late_ns,omitempty"`
	// Tasks is the number of tasks, and Oldest how long the first of them has waited.
	Tasks  int           `json:"tasks"`
	Oldest time.Duration `json:"oldest_ns"`
	// Sizes splits Work by the size of the job that it belongs to; see SizeOf. What is
	// missing in it goes ahead of everything.
	Sizes [sizes]time.Duration `json:"sizes_ns,omitzero"`
}

// sizes is the number of sizes of jobs.
const sizes = 12

// SizeOf returns the size of a job by its work left, on one processor: sizes double, from
// a quarter of a second on.
func SizeOf(work time.Duration) int {
	return min(bits.Len64(uint64(max(work, 0)/(250*time.Millisecond))), sizes-1)
}

// ahead returns the work that goes before or beside a new job of a priority and size:
// that of higher priorities, and at its own what is in time and no larger. Larger jobs
// have less worth for their work, so they wait.
func (w Waiting) ahead(priority, size int) time.Duration {
	switch {
	case w.Priority > priority:
		return 0
	case w.Priority < priority:
		return w.Work + w.Late
	}
	ahead := w.Work
	for s := size + 1; s < sizes; s++ {
		ahead -= w.Sizes[s]
	}
	return max(ahead, 0)
}

// WaitAt returns how long the backlog takes that goes before or beside a new job of a
// priority and a size, and false if that is not known.
func (b Backlog) WaitAt(priority, size int) (time.Duration, bool) {
	var ahead time.Duration
	for _, w := range b.Waiting {
		ahead += w.ahead(priority, size)
	}
	if ahead <= 0 {
		return 0, true
	}
	if b.DrainMilli <= 0 {
		return 0, false
	}
	return time.Duration(float64(ahead) * 1000 / float64(b.DrainMilli)), true
}
