package triage

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Room is the number of processors that a pool gives to jobs. A pool that is missing
// is taken to have room for all.
type Room map[Pool]float64

// Rank is a job's place in the order.
type Rank struct {
	// Index is that of the job in the argument of Order.
	Index int
	Prospect
	// Starved is set if the job goes ahead because it has waited for too long.
	Starved bool
	density float64
}

// Order returns the jobs in the order in which they get room: by priority; within
// one, the job that has waited for too long, then by prospect, and within a
// prospect by worth for the work left. Expired jobs go by their arrival.
func Order(jobs []Job, room Room) []Rank {
	ranks := make([]Rank, len(jobs))
	for i, j := range jobs {
		ranks[i] = Rank{Index: i, Prospect: j.prospect(), density: j.density()}
	}
	setBack(jobs, ranks, room)
	markStarved(jobs, ranks)
	slices.SortFunc(ranks, func(a, b Rank) int { return compare(jobs, a, b) })
	return ranks
}

func compare(jobs []Job, a, b Rank) int {
	x, y := &jobs[a.Index], &jobs[b.Index]
	switch {
	case x.Priority != y.Priority:
		return cmp.Compare(x.Priority, y.Priority)
	case a.Starved != b.Starved:
		if a.Starved {
			return -1
		}
		return 1
	case a.Prospect != b.Prospect:
		return cmp.Compare(a.Prospect, b.Prospect)
	case a.Prospect != Expired && a.density != b.density:
		return cmp.Compare(b.density, a.density)
	}
	return compareAge(x, y)
}

// markStarved marks the job of each priority that has waited for too long, and longest.
func markStarved(jobs []Job, ranks []Rank) {
	longest := map[int]int{}
	for i := range jobs {
		if !jobs[i].isStarved() {
			continue
		}
		p := jobs[i].Priority
		if k, known := longest[p]; !known || compareLast(&jobs[i], &jobs[k]) < 0 {
			longest[p] = i
		}
	}
	for _, i := range longest {
		ranks[i].Starved = true
	}
}

func compareLast(x, y *Job) int {
	return cmp.Or(cmp.Compare(x.Last, y.Last), compareAge(x, y))
}

// setBack is the method of Moore and Hodgson with weights: jobs are added by their
// objective, and whenever the work up to one exceeds what the pool does until then,
// the job that is worth least for its work is set back. Priorities that go first
// take their room first.
func setBack(jobs []Job, ranks []Rank, room Room) {
	if len(room) == 0 {
		return
	}
	byPool := map[Pool][]int{}
	for i := range jobs {
		if _, limited := room[jobs[i].Pool]; limited && ranks[i].Prospect == InTime {
			byPool[jobs[i].Pool] = append(byPool[jobs[i].Pool], i)
		}
	}
	for pool, list := range byPool {
		slices.SortFunc(list, func(a, b int) int { return compareDue(jobs, a, b) })
		kept := make(worthHeap, 0, len(list))
		var work time.Duration
		for _, i := range list {
			kept.push(keptJob{Job: &jobs[i], index: i, density: ranks[i].density})
			work += jobs[i].Work
			for float64(work) > room[pool]*float64(jobs[i].Due) && len(kept) > 1 {
				out := kept.pop().index
				ranks[out].Prospect = SetBack
				work -= jobs[out].Work
			}
		}
	}
}

func compareDue(jobs []Job, a, b int) int {
	x, y := &jobs[a], &jobs[b]
	return cmp.Or(cmp.Compare(x.Due, y.Due), compareAge(x, y))
}

func compareAge(x, y *Job) int {
	return cmp.Or(cmp.Compare(y.Age, x.Age), strings.Compare(x.ID, y.ID))
}
