package shard

import (
	"slices"
	"strings"
	"time"
)

// candidate is a worker that may take tasks in this pass.
type candidate struct {
	*worker
	allocation
	mayBeDisturbed bool
}

// servingShare is the part of their reservation that serving tasks are taken
// to use when fills are placed beside them.
const servingCPUShare = 0.45

// pressureCost weighs pressure on serving tasks against room, when a worker
// is chosen for a fill.
const pressureWeight = 2

// slowCost weighs a slower pace against room.
const slowPaceWeight = 3

// pool returns the workers that may take tasks.
func (sc *Scheduler) candidates(now time.Time) []*candidate {
	var out []*candidate
	for _, w := range sc.workers {
		w.decayFailureScore(now)
		if w.token == 0 || !w.listed || w.info.Draining || sc.closedDomains[w.info.Domain] || now.Before(w.avoidUntil) {
			continue
		}
		out = append(out, &candidate{worker: w, allocation: w.allocation(now), mayBeDisturbed: w.mayBeDisturbed(now)})
	}
	slices.SortFunc(out, func(a, b *candidate) int { return strings.Compare(a.node, b.node) })
	return out
}

// place is where a task may run, and at which pace in percent.
type placement struct {
	*candidate
	pace int
}

// pick returns the best place for a task, or none.
func (sc *Scheduler) bestPlacement(t *task, pool []*candidate, now time.Time) (placement, bool) {
	var best placement
	var most float64
	for _, w := range pool {
		if !sc.canAccept(w, t, now) {
			continue
		}
		pace, v := 100, w.score(t)
		if t.step.Fills {
			if pace = sc.startPace(w, t.step, now); pace == 0 {
				continue
			}
			v -= pressureWeight*sc.pressure(w, t.step, pace) + slowPaceWeight*float64(100-pace)/100
		}
		if best.candidate == nil || v > most {
			best, most = placement{w, pace}, v
		}
	}
	return best, best.candidate != nil
}

// accepts tells whether a worker may take a task.
func (sc *Scheduler) canAccept(w *candidate, t *task, now time.Time) bool {
	s := t.step
	return w.info.Service == s.job.policy.Service && w.fits(s) && w.allowsStep(s) && s.mayStartOn(w.worker, now) && (!s.Fills || !w.mayBeDisturbed && !now.Before(w.noFillsUntil))
}

// startPace is the pace, in percent, at which a fill of a step may start on a
// worker, or 0 where it has to wait. Past its objective it accepts a slow one, and
// after a while more it waits for nothing.
func (sc *Scheduler) startPace(w *candidate, s *step, now time.Time) int {
	pace := sc.sustainablePace(w, s)
	switch {
	case s.isLate(now.Add(-maxWaitPastObjective)):
		return max(pace, minLatePace)
	case s.isLate(now) && pace >= minLatePace, pace >= minStartPace:
		return pace
	}
	return 0
}

// fits tells whether the worker has room for a task of a step.
func (w *candidate) fits(s *step) bool {
	free := w.info.Size.Sub(w.reserved)
	if s.Size.MemoryMB > free.MemoryMB || s.Size.Accelerators > free.Accelerators {
		return false
	}
	if s.Fills {
		return s.Size.CPUMilli <= w.freeFillCPU()
	}
	return s.Size.CPUMilli <= free.CPUMilli
}

// fillRoom is what fills may still use, in thousandths of a processor.
func (w *candidate) freeFillCPU() int64 {
	busy := w.reserved.CPUMilli - w.servingCPU + int64(servingCPUShare*float64(w.servingCPU))
	return w.info.Size.CPUMilli - busy - w.fillCPU
}

// value rates a worker for a task; the highest wins.
func (w *candidate) score(t *task) float64 {
	s := t.step
	whole := float64(max(w.info.Size.CPUMilli, 1))
	v := -w.failureScore
	if t.lastFailedNode == w.node {
		v -= 2
	}
	if s.Rack != "" && !slices.Contains(w.info.Labels, s.Rack) {
		v--
	}
	switch {
	case s.Standing:
		// Serving tasks of one image gather, so that a fill that disturbs only
		// some images finds workers without them.
		var same int64
		for o, milli := range w.cpuByServingGroup {
			if o.Image == s.Image {
				same += milli
			}
		}
		v += 2*float64(same)/whole - float64(w.servingCPU-same)/whole - 0.5*float64(w.fillCPU)/whole
	case s.Fills:
		v += float64(w.freeFillCPU()) / whole
	default:
		v += float64(w.info.Size.CPUMilli-w.reserved.CPUMilli)/whole - 0.5*float64(w.fillCPU)/whole
	}
	return v
}

// take books a task of a step.
func (w placement) book(s *step) { w.addTasks(s, w.pace, 1) }

// release takes a booking back.
func (w placement) unbook(s *step) { w.addTasks(s, w.pace, -1) }
