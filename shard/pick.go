package shard

import (
	"slices"
	"strings"
	"time"
)

// candidate is a worker that may take tasks in this pass.
type candidate struct {
	*worker
	usage
	disturbed bool
}

// servingShare is the part of their reservation that serving tasks are taken
// to use when fills are placed beside them.
const servingShare = 0.45

// pressureCost weighs pressure on serving tasks against room, when a worker
// is chosen for a fill.
const pressureCost = 2

// slowCost weighs a slower pace against room.
const slowCost = 3

// pool returns the workers that may take tasks.
func (c *Core) pool(now time.Time) []*candidate {
	var out []*candidate
	for _, w := range c.workers {
		w.fade(now)
		if w.token == 0 || !w.listed || w.info.Draining || c.closed[w.info.Domain] || now.Before(w.asideUntil) {
			continue
		}
		out = append(out, &candidate{worker: w, usage: w.usage(now), disturbed: w.isDisturbed(now)})
	}
	slices.SortFunc(out, func(a, b *candidate) int { return strings.Compare(a.node, b.node) })
	return out
}

// place is where a task may run, and at which pace in percent.
type place struct {
	*candidate
	pace int
}

// pick returns the best place for a task, or none.
func (c *Core) pick(t *task, pool []*candidate, now time.Time) (place, bool) {
	var best place
	var most float64
	for _, w := range pool {
		if !c.accepts(w, t, now) {
			continue
		}
		pace, v := 100, w.value(t)
		if t.step.Fills {
			if pace = c.startPace(w, t.step, now); pace == 0 {
				continue
			}
			v -= pressureCost*c.pressureWith(w, t.step, pace) + slowCost*float64(100-pace)/100
		}
		if best.candidate == nil || v > most {
			best, most = place{w, pace}, v
		}
	}
	return best, best.candidate != nil
}

// accepts tells whether a worker may take a task.
func (c *Core) accepts(w *candidate, t *task, now time.Time) bool {
	s := t.step
	return w.info.Service == s.job.policy.Service && w.fits(s) && w.allows(s) && s.permits(w.worker, now) && (!s.Fills || !w.disturbed && !now.Before(w.noFills))
}

// startPace is the pace, in percent, at which a fill of a step may start on a
// worker, or 0 where it has to wait. Past its objective it accepts a slow one, and
// after a while more it waits for nothing.
func (c *Core) startPace(w *candidate, s *step, now time.Time) int {
	pace := c.paceWith(w, s)
	switch {
	case s.late(now.Add(-lateWait)):
		return max(pace, latePace)
	case s.late(now) && pace >= latePace, pace >= leastPace:
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
		return s.Size.CPUMilli <= w.fillRoom()
	}
	return s.Size.CPUMilli <= free.CPUMilli
}

// fillRoom is what fills may still use, in thousandths of a processor.
func (w *candidate) fillRoom() int64 {
	busy := w.reserved.CPUMilli - w.serving + int64(servingShare*float64(w.serving))
	return w.info.Size.CPUMilli - busy - w.filling
}

// value rates a worker for a task; the highest wins.
func (w *candidate) value(t *task) float64 {
	s := t.step
	whole := float64(max(w.info.Size.CPUMilli, 1))
	v := -w.trouble
	if t.shy == w.node {
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
		for o, milli := range w.servings {
			if o.Image == s.Image {
				same += milli
			}
		}
		v += 2*float64(same)/whole - float64(w.serving-same)/whole - 0.5*float64(w.filling)/whole
	case s.Fills:
		v += float64(w.fillRoom()) / whole
	default:
		v += float64(w.info.Size.CPUMilli-w.reserved.CPUMilli)/whole - 0.5*float64(w.filling)/whole
	}
	return v
}

// take books a task of a step.
func (w place) take(s *step) { w.book(s, w.pace, 1) }

// release takes a booking back.
func (w place) release(s *step) { w.book(s, w.pace, -1) }
