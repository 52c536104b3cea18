package shard

import (
	"math"

	"github.com/berylspar/spar/interf"
)

// fillHeadroom tells how much CPU fills of one image may use on a candidate.
type fillHeadroom struct {
	image string
	// costs are the slack that fills of the image on all processors would take
	// from each serving group, in the order of the candidate's groupLoads.
	costs []float64
	// fraction is the largest further CPU use, as a fraction of the worker's
	// processors, that exceeds no slack budget; +Inf if no group is disturbed.
	fraction float64
	// stale is set when fills were placed since fraction was computed.
	stale bool
}

// groupLoad is a serving group on a candidate: the slack that fills may take
// from it, and the slack that the allocated fills take.
type groupLoad struct {
	image          string
	budget, filled float64
	// tasks is the number of its tasks there, and ahead its slack without fills in
	// the time ahead.
	tasks int
	ahead [harmSamples]float64
}

// maxHeadrooms bounds the images whose headroom a candidate remembers, which are searched
// for each fill.
const maxHeadrooms = 64

// headroom returns the headroom for fills of an image. Within a planning pass
// it is computed once for each image and candidate, and again after a fill was
// placed, since a pass tries many steps of few images on each candidate.
func (sc *Scheduler) headroom(w *candidate, image string) *fillHeadroom {
	if w.groupLoads == nil {
		sc.loadGroups(w)
	}
	for _, h := range w.headrooms {
		if h.image == image {
			if h.stale {
				h.update(w.groupLoads)
			}
			return h
		}
	}
	h := &fillHeadroom{image: image, costs: make([]float64, len(w.groupLoads))}
	for i, g := range w.groupLoads {
		h.costs[i] = sc.interference.Cost(g.image, interf.FillUsage{Image: image, CPUFraction: 1})
	}
	h.update(w.groupLoads)
	if len(w.headrooms) < maxHeadrooms {
		w.headrooms = append(w.headrooms, h)
	}
	return h
}

// loadGroups computes the loads of all serving groups on a candidate.
func (sc *Scheduler) loadGroups(w *candidate) {
	w.groupLoads = make([]groupLoad, 0, len(w.serving))
	for _, g := range w.serving {
		w.groupLoads = append(w.groupLoads, groupLoad{image: g.group.Image, budget: sc.slackBudget(g.group), filled: sc.allocatedFillCost(w, g.group.Image), tasks: g.tasks})
		if sc.limitsHarm() {
			w.groupLoads[len(w.groupLoads)-1].ahead = sc.slackAhead(g, w.horizon())
		}
	}
}

// update computes the fraction from the loads of the serving groups.
func (h *fillHeadroom) update(loads []groupLoad) {
	h.fraction, h.stale = math.Inf(1), false
	for i, g := range loads {
		if h.costs[i] > 0 {
			h.fraction = min(h.fraction, (g.budget-g.filled)/h.costs[i])
		}
	}
}

// sustainablePace returns the pace, in percent and in steps of 10, at which a
// fill of a step can run beside the tasks allocated on a worker without
// exceeding the slack budget of any serving task.
func (sc *Scheduler) sustainablePace(w *candidate, s *step) int {
	if sc.limitsHarm() {
		return sc.paceWithinHarm(w, s, 1)
	}
	pace := 1.0
	if f := w.cpuFraction(s.Size.CPUMilli); f > 0 {
		pace = min(pace, sc.headroom(w, s.Image).fraction/f)
	}
	return max(int(pace*10), 0) * 10
}

// pressure returns the highest used share of a slack budget among the serving
// tasks of a worker, if a fill of a step is added at the given pace. If harm is
// limited, it is the share of the fill's limit.
func (sc *Scheduler) pressure(w *candidate, s *step, pace int) float64 {
	var highest float64
	f := w.cpuFraction(s.fillCPU(pace))
	h := sc.headroom(w, s.Image)
	if sc.limitsHarm() {
		return sc.harmShare(w, s, pace)
	}
	for i, g := range w.groupLoads {
		highest = max(highest, (h.costs[i]*f+g.filled)/g.budget)
	}
	return highest
}

// allocate adds a task of a step to the candidate's allocation.
func (p placement) allocate(sc *Scheduler, s *step) { p.change(sc, s, p.pace, 1) }

// release removes a task of a step from the candidate's allocation.
func (p placement) release(sc *Scheduler, s *step) { p.change(sc, s, p.pace, -1) }

// change adds n tasks of a step at a pace to the candidate's allocation and
// brings what was computed from it up to date; n may be negative.
func (w *candidate) change(sc *Scheduler, s *step, pace int, n int64) {
	w.addTasks(s, pace, n)
	if !s.Fills {
		if s.Standing {
			w.groupLoads, w.headrooms = nil, nil
		}
		return
	}
	if w.groupLoads == nil {
		return
	}
	f := float64(n) * w.cpuFraction(s.fillCPU(pace))
	added := sc.headroom(w, s.Image)
	for i := range w.groupLoads {
		w.groupLoads[i].filled += added.costs[i] * f
	}
	for _, h := range w.headrooms {
		h.stale = true
	}
}
