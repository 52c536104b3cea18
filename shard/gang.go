package shard

import (
	"cmp"
	"slices"
	"time"
)

// placeGang places all tasks of a gang under one run number, or none. It
// returns false only if there is no room for the whole gang.
func (sc *Scheduler) placeGang(s *step, pool []*candidate, now time.Time) bool {
	var lastRun int64
	for _, t := range s.tasks {
		if len(t.runs) > 0 || now.Before(t.notBefore) {
			return true
		}
		lastRun = max(lastRun, t.lastRun)
	}
	if sc.startLimit.full() || !mayFit(s, pool) {
		return false
	}
	checkpoint, before := s.tasks[0].checkpoint, len(sc.claimedRuns)
	var claimed []placement
	place := sc.gangPlacer(s, pool, now)
	for _, t := range s.tasks {
		p, ok := place(t)
		if !ok {
			for _, p := range claimed {
				p.release(sc, s)
			}
			sc.unclaimRuns(before)
			sc.shortages = nil
			return false
		}
		t.checkpoint = checkpoint
		sc.claimRun(t, p, lastRun+1, now)
		claimed = append(claimed, p)
	}
	return true
}

// maxScoredGang is the size of a gang up to which all workers are compared for each task. A
// larger one fills the workers one after another, in a time that grows with its tasks alone.
const maxScoredGang = 256

// gangPlacer returns a function that finds a worker for one task of a gang after another.
func (sc *Scheduler) gangPlacer(s *step, pool []*candidate, now time.Time) func(*task) (placement, bool) {
	if len(s.tasks) <= maxScoredGang {
		return func(t *task) (placement, bool) { return sc.bestPlacement(t, pool, now) }
	}
	rest := slices.Clone(pool)
	slices.SortStableFunc(rest, func(a, b *candidate) int { return cmp.Compare(b.score(s.tasks[0]), a.score(s.tasks[0])) })
	minPace := sc.minPace(s, now)
	return func(t *task) (placement, bool) {
		for len(rest) > 0 {
			if p, ok := sc.bestOf(rest[:1], t, minPace, now); ok {
				return p, true
			}
			rest = rest[1:]
		}
		return placement{}, false
	}
}

// mayFit reports whether the workers have room for all tasks of a step. If not, there is no
// need to claim runs of most of them to find that out, in each pass anew.
func mayFit(s *step, pool []*candidate) bool {
	left := int64(len(s.tasks))
	for _, w := range pool {
		if left <= 0 {
			return true
		}
		if w.info.Service == s.job.policy.Service && w.hasLabel(s) {
			left -= w.maxTasks(s, left)
		}
	}
	return left <= 0
}

// maxTasks returns how many tasks of a step the worker has room for, at most limit.
func (w *candidate) maxTasks(s *step, limit int64) int64 {
	free := w.info.Size.Sub(w.reserved)
	cpu := free.CPUMilli
	if s.Fills {
		cpu = w.freeFillCPU()
	}
	if s.MaxPerWorker > 0 {
		limit = min(limit, int64(s.MaxPerWorker-w.runsOfStep(s)))
	}
	for _, r := range []struct{ free, each int64 }{
		{cpu, s.Size.CPUMilli}, {free.MemoryMB, s.Size.MemoryMB}, {free.Accelerators, s.Size.Accelerators},
	} {
		switch {
		case r.each > r.free:
			return 0
		case r.each > 0:
			limit = min(limit, r.free/r.each)
		}
	}
	return max(limit, 0)
}

// unclaimRuns removes the runs that were claimed last in this pass, all but the first n.
func (sc *Scheduler) unclaimRuns(n int) {
	for _, r := range sc.claimedRuns[n:] {
		sc.removeRun(r)
		sc.startLimit.remove(r)
	}
	clear(sc.claimedRuns[n:])
	sc.claimedRuns = sc.claimedRuns[:n]
}
