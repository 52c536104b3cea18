package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/berylspar/spar/interf"
)

const (
	// lookEvery is the least time between two looks at a worker's tails; its
	// figures cover half a second.
	lookEvery = 400 * time.Millisecond
	// afterglow is how long a fill that has ended still shows in the tails.
	afterglow = 600 * time.Millisecond
	// patience is how long a tail may be over its target before fills are
	// taken away that the model does not expect to disturb: two figures in a
	// row. Those that it does expect to are taken away at the first.
	patience = 350 * time.Millisecond
	// settleTime is how long after that the tails are given to settle.
	settleTime = 1200 * time.Millisecond
	// harmLimit is how long a tail may be over its target before all fills are
	// taken away.
	harmLimit = 1900 * time.Millisecond
	// banTime is how long a worker gets no fills after that.
	banTime = 2 * time.Second
	// slowTime is how long a tail may be over its target without any fill until
	// the worker is taken to be slow by itself; a load's peak is shorter.
	slowTime = 4 * time.Second
	// goalSlack is the slack that fills leave to serving tasks when they are
	// placed; figures that are rough and loads that rise take the rest.
	goalSlack = 1.1
	// tightSlack is the slack below which fills are slowed down before the
	// target is missed.
	tightSlack = 1.1
	// leastRoom keeps pressures finite where a load leaves no slack.
	leastRoom = 0.1
	// leastPace and latePace are the slowest paces, in percent, at which fills
	// are placed: those past their objective must not wait for ever.
	leastPace, latePace = 100, 10
	// lateWait is how long after its objective a fill still waits for a worker
	// that has slack.
	lateWait = 5 * time.Second
	// paceStep is the least change of a pace, in percent.
	paceStep = 20
	// nearlyDone is the percentage from which a fill is left to finish.
	nearlyDone = 85
)

// echo is a fill that ended a moment ago.
type echo struct {
	share interf.Share
	at    time.Time
}

// look learns from a worker's tails, and takes away what disturbs them.
func (c *Core) look(w *worker, now time.Time) {
	if now.Sub(w.looked) < lookEvery {
		return
	}
	w.looked = now
	fills := w.fillShares(now)
	worst, expected := time.Duration(-1), false
	var tight []*run
	for r := range w.runs {
		s := r.task.step
		if s.TailTarget == 0 || r.percent < 100 || !r.confirmed {
			r.over = time.Time{}
			continue
		}
		level := float64(r.figure) / float64(s.TailTarget.Milliseconds())
		expected = expected || level > 1 && c.slackOf(r, fills) < 1
		c.interference.Observe(s.serving(), fills, level, now)
		if c.slackOf(r, fills) < tightSlack {
			tight = append(tight, r)
		}
		if level <= 1 {
			r.over = time.Time{}
			continue
		}
		if r.over.IsZero() {
			r.over = now
		}
		worst = max(worst, now.Sub(r.over))
	}
	c.unstick(w, now)
	c.quicken(w, now)
	switch {
	case worst >= harmLimit:
		c.clear(w, now)
	case (worst >= patience || worst >= 0 && expected) && now.After(w.settled):
		c.relieve(w, now)
	default:
		c.ease(tight, now)
	}
}

// ease slows the fills beside serving tasks that are close to their targets.
func (c *Core) ease(tight []*run, now time.Time) {
	for _, r := range tight {
		c.lighten(r, nil, now)
	}
}

// lighten gives a serving task its slack back: the fills that cost it most go to
// a worker of the pool that will have them, and are slowed down otherwise.
func (c *Core) lighten(r *run, pool []*candidate, now time.Time) {
	slack := c.slack(r)
	fills, sum := c.pressing(r)
	for _, f := range fills {
		if slack-sum >= goalSlack {
			break
		}
		if f.percent < nearlyDone && c.elsewhere(f, pool, now) {
			sum -= c.cost(r, f)
			c.evict(f, "disturbs "+r.task.step.Image, now)
			continue
		}
		sum -= c.slow(r, f, goalSlack-(slack-sum))
	}
}

// slow takes a fill's pace down so far that a serving task gains some slack,
// and returns what it gains.
func (c *Core) slow(r, f *run, gain float64) float64 {
	own := c.cost(r, f)
	if own <= 0 || f.percent >= nearlyDone {
		return 0
	}
	old, least := f.pace, 0
	if f.task.step.late(c.now.Add(-lateWait)) {
		least = latePace
	}
	c.setPace(f, max(int(float64(old)*(own-gain)/own)/10*10, min(old, least)))
	return own * float64(old-f.pace) / float64(max(old, 1))
}

// fillShares are the processors in use by each image's fills.
func (w *worker) fillShares(now time.Time) []interf.Share {
	parts := map[string]float64{}
	for r := range w.runs {
		if r.task.step.Fills && r.confirmed {
			parts[r.task.step.Image] += w.part(r.figure)
		}
	}
	w.echoes = slices.DeleteFunc(w.echoes, func(e echo) bool { return now.Sub(e.at) > afterglow })
	for _, e := range w.echoes {
		parts[e.share.Image] += e.share.Part
	}
	var out []interf.Share
	for i, p := range parts {
		out = append(out, interf.Share{Image: i, Part: p})
	}
	slices.SortFunc(out, func(a, b interf.Share) int { return cmp.Compare(a.Image, b.Image) })
	return out
}

// isDisturbed tells whether a serving task on the worker is over its target, and
// fills may be the cause: one is there, or was until a moment ago. A worker that
// is slow by itself must not keep fills waiting for ever.
func (w *worker) isDisturbed(now time.Time) bool {
	over, fills := false, now.Sub(w.filled) < settleTime
	for r := range w.runs {
		over = over || !r.over.IsZero()
		fills = fills || r.task.step.Fills
	}
	return over && fills
}

// isSlow tells whether a serving task misses its target whatever the fills do:
// it has done so for a while, and none was there.
func (w *worker) isSlow(r *run, now time.Time) bool {
	if r.over.IsZero() || now.Sub(r.over) < slowTime || now.Sub(w.filled) < slowTime {
		return false
	}
	for f := range w.runs {
		if f.task.step.Fills {
			return false
		}
	}
	return true
}

// relieve takes weight off the serving tasks over their targets.
func (c *Core) relieve(w *worker, now time.Time) {
	pool := c.pool(now)
	for r := range w.runs {
		if r.over.IsZero() {
			continue
		}
		c.lighten(r, pool, now)
	}
	w.settled = now.Add(settleTime)
}

// pressing returns the fills beside a serving task, those that cost it most
// first, and the slack that they take together.
func (c *Core) pressing(r *run) ([]*run, float64) {
	var fills []*run
	var sum float64
	for f := range r.worker.runs {
		if f.task.step.Fills && !f.stopping {
			fills = append(fills, f)
			sum += c.cost(r, f)
		}
	}
	slices.SortFunc(fills, func(a, b *run) int {
		if d := cmp.Compare(c.cost(r, b), c.cost(r, a)); d != 0 {
			return d
		}
		return cmp.Compare(a.task.ref().String(), b.task.ref().String())
	})
	return fills, sum
}

// elsewhere tells whether another worker would take a fill at full pace.
func (c *Core) elsewhere(f *run, pool []*candidate, now time.Time) bool {
	for _, w := range pool {
		if w.worker != f.worker && c.accepts(w, f.task, now) && c.paceWith(w, f.task.step) >= 100 {
			return true
		}
	}
	return false
}

// setPace orders a run to work at a share of its speed.
func (c *Core) setPace(r *run, percent int) {
	percent = min(max(percent, 0), 100)
	if r.pace != percent {
		r.pace = percent
		c.paces[r] = true
	}
}

// quicken lets slowed fills work faster as far as the pressure allows.
func (c *Core) quicken(w *worker, now time.Time) {
	for f := range w.runs {
		if !f.task.step.Fills || f.pace >= 100 || f.stopping {
			continue
		}
		o := &candidate{worker: w, usage: w.usage(now)}
		o.fills[f.task.step.Image] -= f.task.step.milli(f.pace)
		if p := c.paceWith(o, f.task.step); p >= f.pace+paceStep || p >= 100 {
			c.setPace(f, p)
		}
	}
}

// clear takes away all fills of a worker.
func (c *Core) clear(w *worker, now time.Time) {
	for r := range w.runs {
		if r.task.step.Fills {
			c.evict(r, "tail over its target for long", now)
			w.noFills = now.Add(banTime)
		}
	}
}

func (c *Core) evict(r *run, why string, now time.Time) {
	if r.stopping {
		return
	}
	c.events(Event{What: "fill taken away", Task: r.task.ref().String(), Run: r.number, Node: r.worker.node, Reason: why})
	r.task.notBefore = now
	// A pace takes effect much sooner than a stop.
	c.setPace(r, 0)
	c.stop(r)
}
