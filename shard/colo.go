package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/clash"
)

const (
	// lookEvery is the least time between two looks at a worker's tails; its
	// figures cover half a second.
	lookEvery = 400 * time.Millisecond
	// afterglow is how long a fill that has ended still shows in the tails.
	afterglow = 600 * time.Millisecond
	// patience is how long a tail may be over its target before fills are
	// taken away: two figures in a row.
	patience = 350 * time.Millisecond
	// settleTime is how long after that the tails are given to settle.
	settleTime = 1200 * time.Millisecond
	// harmLimit is how long a tail may be over its target before all fills are
	// taken away.
	harmLimit = 1900 * time.Millisecond
	// banTime is how long a worker gets no fills after that.
	banTime = 2 * time.Second
	// maxPressure is the pressure up to which fills are placed.
	maxPressure = 0.8
	// restPressure is the pressure that is left when fills are taken away.
	restPressure = 0.5
	// nearlyDone is the percentage from which a fill is left to finish.
	nearlyDone = 85
)

// echo is a fill that ended a moment ago.
type echo struct {
	share clash.Share
	at    time.Time
}

// look learns from a worker's tails, and takes away what disturbs them.
func (c *Core) look(w *worker, now time.Time) {
	if now.Sub(w.looked) < lookEvery {
		return
	}
	w.looked = now
	fills := w.fillShares(now)
	worst := time.Duration(0)
	for r := range w.runs {
		s := r.task.step
		if s.TailTarget == 0 || r.percent < 100 || !r.confirmed {
			r.over = time.Time{}
			continue
		}
		level := float64(r.figure) / float64(s.TailTarget.Milliseconds())
		c.clash.Observe(s.Image, fills, level)
		if level <= 1 {
			r.over = time.Time{}
			continue
		}
		if r.over.IsZero() {
			r.over = now
		}
		worst = max(worst, now.Sub(r.over))
	}
	switch {
	case worst >= harmLimit:
		c.clear(w, now)
	case worst >= patience && now.After(w.settled):
		c.relieve(w, now)
	}
}

// fillShares are the processors in use by each image's fills.
func (w *worker) fillShares(now time.Time) []clash.Share {
	parts := map[string]float64{}
	whole := float64(max(w.info.Size.CPUMilli, 1))
	for r := range w.runs {
		if r.task.step.Fills && r.confirmed {
			parts[r.task.step.Image] += float64(r.figure) / whole
		}
	}
	w.echoes = slices.DeleteFunc(w.echoes, func(e echo) bool { return now.Sub(e.at) > afterglow })
	for _, e := range w.echoes {
		parts[e.share.Image] += e.share.Part
	}
	var out []clash.Share
	for i, p := range parts {
		out = append(out, clash.Share{Image: i, Part: p})
	}
	slices.SortFunc(out, func(a, b clash.Share) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// relieve takes away the fills that press most on a serving task over its
// target, until the rest presses little.
func (c *Core) relieve(w *worker, now time.Time) {
	for r := range w.runs {
		if r.over.IsZero() {
			continue
		}
		serving := r.task.step.Image
		var fills []*run
		var sum float64
		for f := range w.runs {
			if f.task.step.Fills && !f.stopping {
				fills = append(fills, f)
				sum += c.pressure(serving, f)
			}
		}
		slices.SortFunc(fills, func(a, b *run) int {
			if d := cmp.Compare(c.pressure(serving, b), c.pressure(serving, a)); d != 0 {
				return d
			}
			return cmp.Compare(a.task.ref().String(), b.task.ref().String())
		})
		for _, f := range fills {
			if sum <= restPressure {
				break
			}
			sum -= c.pressure(serving, f)
			if f.percent < nearlyDone {
				c.evict(f, "disturbs "+serving, now)
			}
		}
	}
	w.settled = now.Add(settleTime)
}

// clear takes away all fills of a worker.
func (c *Core) clear(w *worker, now time.Time) {
	for r := range w.runs {
		if r.task.step.Fills {
			c.evict(r, "tail over its target for long", now)
		}
	}
	w.noFills = now.Add(banTime)
}

func (c *Core) evict(r *run, why string, now time.Time) {
	if r.stopping {
		return
	}
	c.events(Event{What: "fill taken away", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node, Reason: why})
	r.task.notBefore = now
	c.stop(r)
}

// pressure is what a fill's run presses on a serving image.
func (c *Core) pressure(serving string, r *run) float64 {
	whole := float64(max(r.worker.info.Size.CPUMilli, 1))
	return c.clash.Of(serving, clash.Share{Image: r.task.step.Image, Part: float64(max(r.figure, r.task.step.Size.CPUMilli/2)) / whole})
}

// pressureWith is the highest pressure on a serving task of a worker if a fill
// of a step comes to those that are booked there.
func (c *Core) pressureWith(w *candidate, s *step) float64 {
	whole := float64(max(w.info.Size.CPUMilli, 1))
	var most float64
	for serving := range w.servingImages {
		sum := c.clash.Of(serving, clash.Share{Image: s.Image, Part: float64(s.Size.CPUMilli) / whole})
		for image, milli := range w.fillImages {
			sum += c.clash.Of(serving, clash.Share{Image: image, Part: float64(milli) / whole})
		}
		most = max(most, sum)
	}
	return most
}
