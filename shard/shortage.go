package shard

import "github.com/berylspar/spar"

// shortage is a requirement for which no worker had room in the current
// planning pass. Placing tasks only takes room, so until the end of the pass
// there is none for a step that requires at least as much.
type shortage struct {
	service, label string
	fills          bool
	// image is set for fills, which disturb according to their image.
	image string
	// minPace is the lowest pace that a fill would have accepted.
	minPace int
	size    spar.Size
	// overdue reports whether the workers were tried that are a last resort.
	overdue bool
}

// covers reports whether a step requires at least as much as the shortage.
func (sh shortage) covers(o shortage) bool {
	return sh.service == o.service && (sh.label == "" || sh.label == o.label) && sh.fills == o.fills &&
		sh.image == o.image && sh.minPace <= o.minPace && (sh.overdue || !o.overdue) && sh.size.Fits(o.size)
}

// requirement returns what a task of the step requires of a worker.
func (s *step) requirement(minPace int) shortage {
	out := shortage{service: s.job.policy.Service, label: s.Label, fills: s.Fills, size: s.Size}
	if s.Fills {
		out.image, out.minPace = s.Image, minPace
	}
	return out
}

// hasShortage reports whether an earlier step of the pass found no room with a
// requirement that a task of this step does not stay below.
func (sc *Scheduler) hasShortage(r shortage) bool {
	for _, sh := range sc.shortages {
		if !sc.scanAll && sh.covers(r) {
			return true
		}
	}
	return false
}

// maxShortages bounds the requirements that are remembered, each of which is compared
// with those of all later steps.
const maxShortages = 64

// recordShortage remembers that no worker had room for a task of a step. Steps
// whose own limits may have excluded workers with room are left out.
func (sc *Scheduler) recordShortage(s *step, r shortage) {
	if s.MaxPerWorker == 0 && !s.job.policy.Advised && len(sc.shortages) < maxShortages {
		sc.shortages = append(sc.shortages, r)
	}
}
