// Package place chooses a worker for a batch task. It is pure: candidates in, a
// worker or a reason out.
package place

import (
	"math/rand/v2"
	"slices"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fleet"
)

// Candidate is a worker that may take a task.
type Candidate struct {
	Worker  string
	Session string
	Domain  string
	Total   spar.Size
	Free    spar.Size
	// Avoids are the batch kinds that hurt the worker's service.
	Avoids []string
	// Suspect workers failed what they started lately.
	Suspect bool
}

// Task is what is to be placed.
type Task struct {
	Kind      string
	Size      spar.Size
	Domains   []string
	Urgent    bool
	CrashedOn string
}

// sample is how many fitting workers are compared.
const sampleSize = 3

// Pick returns the index of the worker for a task, or -1 and why none will do.
func Pick(t Task, all []Candidate, open func(domain string) bool, random *rand.Rand) (int, spar.Reason) {
	reason := spar.ReasonNoWorker
	best, found := -1, 0
	large := true
	for _, i := range random.Perm(len(all)) {
		c := &all[i]
		why := rejectReason(t, c, len(all) > 1, open)
		if why != spar.ReasonTooLarge {
			large = false
		}
		if why != spar.ReasonNone {
			reason = moreSpecific(reason, why)
			continue
		}
		if best < 0 || hasMoreFreeCPU(c, &all[best]) {
			best = i
		}
		if found++; found == sampleSize {
			break
		}
	}
	if best >= 0 {
		return best, spar.ReasonNone
	}
	if large && len(all) > 0 {
		return -1, spar.ReasonTooLarge
	}
	return -1, reason
}

// fits tells why a worker won't do. A task goes back to the worker that it
// crashed on only where there are no others.
func rejectReason(t Task, c *Candidate, others bool, open func(string) bool) spar.Reason {
	switch {
	case !t.Size.Fits(c.Total):
		return spar.ReasonTooLarge
	case !open(c.Domain):
		return spar.ReasonDomainClosed
	case !fleet.Allows(t.Domains, c.Domain):
		return spar.ReasonDomainExcluded
	case c.Suspect, t.CrashedOn == c.Worker && others:
		return spar.ReasonCrashes
	case slices.Contains(c.Avoids, t.Kind):
		return spar.ReasonHurtsService
	case !t.Urgent && !t.Size.Fits(c.Free):
		return spar.ReasonNoRoom
	}
	return spar.ReasonNone
}

// roomier prefers the worker with the larger free share of processors, so that
// batch work spreads.
func hasMoreFreeCPU(a, b *Candidate) bool {
	return float64(a.Free.CPUMilli)/float64(max(a.Total.CPUMilli, 1)) > float64(b.Free.CPUMilli)/float64(max(b.Total.CPUMilli, 1))
}

// worse returns the reason that tells most: one that passes by itself comes
// before one that needs a person.
func moreSpecific(a, b spar.Reason) spar.Reason {
	order := []spar.Reason{
		spar.ReasonNoWorker, spar.ReasonTooLarge, spar.ReasonDomainExcluded,
		spar.ReasonDomainClosed, spar.ReasonCrashes, spar.ReasonHurtsService, spar.ReasonNoRoom,
	}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
