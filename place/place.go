// Package place chooses a worker for a batch task. It keeps no state: from a list
// of candidates it returns a worker, or the reason why none is suitable.
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
	// Avoids lists the batch kinds that interfere with the worker's service.
	Avoids []string
	// Suspect is set for a worker whose recently started tasks failed.
	Suspect bool
}

// Task holds the placement constraints of a batch task.
type Task struct {
	Kind    string
	Size    spar.Size
	Domains []string
	Urgent  bool
	// CrashedOn is the worker on which the task crashed last, if any.
	CrashedOn string
}

// sampleSize is the number of suitable workers that are compared.
const sampleSize = 3

// Pick returns the index of the worker for a task, or -1 and the reason why none
// is suitable. isOpen reports whether a failure domain is open.
func Pick(t Task, candidates []Candidate, isOpen func(domain string) bool, random *rand.Rand) (int, spar.Reason) {
	reason := spar.ReasonNoWorker
	best, found := -1, 0
	tooLargeForAll := true
	for _, i := range random.Perm(len(candidates)) {
		c := &candidates[i]
		rejection := rejectReason(t, c, len(candidates) > 1, isOpen)
		if rejection != spar.ReasonTooLarge {
			tooLargeForAll = false
		}
		if rejection != spar.ReasonNone {
			reason = reasonToReport(reason, rejection)
			continue
		}
		if best < 0 || hasMoreFreeCPU(c, &candidates[best]) {
			best = i
		}
		if found++; found == sampleSize {
			break
		}
	}
	if best >= 0 {
		return best, spar.ReasonNone
	}
	if tooLargeForAll && len(candidates) > 0 {
		return -1, spar.ReasonTooLarge
	}
	return -1, reason
}

// rejectReason returns why a worker is not suitable for a task, or
// spar.ReasonNone. A task returns to the worker on which it crashed only if there
// are no others. An urgent task needs no free room, since it may evict others.
func rejectReason(t Task, c *Candidate, hasOthers bool, isOpen func(string) bool) spar.Reason {
	switch {
	case !t.Size.Fits(c.Total):
		return spar.ReasonTooLarge
	case !isOpen(c.Domain):
		return spar.ReasonDomainClosed
	case !fleet.Allows(t.Domains, c.Domain):
		return spar.ReasonDomainExcluded
	case c.Suspect, t.CrashedOn == c.Worker && hasOthers:
		return spar.ReasonCrashes
	case slices.Contains(c.Avoids, t.Kind):
		return spar.ReasonHurtsService
	case !t.Urgent && !t.Size.Fits(c.Free):
		return spar.ReasonNoRoom
	}
	return spar.ReasonNone
}

// hasMoreFreeCPU reports whether a has a larger share of its processors free than
// b. Preferring such workers spreads batch work.
func hasMoreFreeCPU(a, b *Candidate) bool {
	return float64(a.Free.CPUMilli)/float64(max(a.Total.CPUMilli, 1)) > float64(b.Free.CPUMilli)/float64(max(b.Total.CPUMilli, 1))
}

// reasonToReport returns the reason that is more useful to report. A temporary
// reason, such as a lack of room, takes precedence over one that an operator must
// resolve.
func reasonToReport(a, b spar.Reason) spar.Reason {
	order := []spar.Reason{
		spar.ReasonNoWorker, spar.ReasonTooLarge, spar.ReasonDomainExcluded,
		spar.ReasonDomainClosed, spar.ReasonCrashes, spar.ReasonHurtsService, spar.ReasonNoRoom,
	}
	if slices.Index(order, b) > slices.Index(order, a) {
		return b
	}
	return a
}
