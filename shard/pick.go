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
}

// servingShare is the part of their reservation that serving tasks are taken
// to use when fills are placed beside them.
const servingShare = 0.6

// pressureCost weighs pressure on serving tasks against room, when a worker
// is chosen for a fill.
const pressureCost = 2

// pool returns the workers that may take tasks.
func (c *Core) pool(now time.Time) []*candidate {
	var out []*candidate
	for _, w := range c.workers {
		w.fade(now)
		if w.token == 0 || !w.listed || w.info.Draining || c.closed[w.info.Domain] || now.Before(w.asideUntil) {
			continue
		}
		out = append(out, &candidate{worker: w, usage: w.usage()})
	}
	slices.SortFunc(out, func(a, b *candidate) int { return strings.Compare(a.node, b.node) })
	return out
}

// pick returns the best worker for a task, or nil.
func (c *Core) pick(t *task, pool []*candidate, now time.Time) *candidate {
	s := t.step
	var best *candidate
	var most float64
	for _, w := range pool {
		if w.info.Service != s.job.policy.Service || !w.fits(s) || !w.allows(s) {
			continue
		}
		v := w.value(t)
		if s.Fills {
			if now.Before(w.noFills) {
				continue
			}
			p := c.pressureWith(w, s)
			if p > maxPressure {
				continue
			}
			v -= pressureCost * p
		}
		if best == nil || v > most {
			best, most = w, v
		}
	}
	return best
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
		v -= 1
	}
	switch {
	case s.Standing:
		// Serving tasks of one image gather, so that a fill that disturbs only
		// some images finds workers without them.
		same := w.servingImages[s.Image]
		v += 2*float64(same)/whole - float64(w.serving-same)/whole - 0.5*float64(w.filling)/whole
	case s.Fills:
		v += float64(w.fillRoom()) / whole
	default:
		v += float64(w.info.Size.CPUMilli-w.reserved.CPUMilli)/whole - 0.5*float64(w.filling)/whole
	}
	return v
}

// take books a task of a step.
func (w *candidate) take(s *step) { w.book(s, 1) }

// release takes a booking back.
func (w *candidate) release(s *step) { w.book(s, -1) }

func (w *candidate) book(s *step, n int64) {
	w.reserved.MemoryMB += n * s.Size.MemoryMB
	w.reserved.Accelerators += n * s.Size.Accelerators
	if s.Fills {
		w.filling += n * s.Size.CPUMilli
		w.fillImages[s.Image] += n * s.Size.CPUMilli
		return
	}
	w.reserved.CPUMilli += n * s.Size.CPUMilli
	if s.Standing {
		w.serving += n * s.Size.CPUMilli
		w.servingImages[s.Image] += n * s.Size.CPUMilli
	}
}
