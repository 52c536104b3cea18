// Package interf learns which images disturb which: from the tail latencies of
// tasks that serve and from the processors in use by the fills beside them, it
// estimates what each filling image takes from each serving image. It is pure
// and knows no workers.
package interf

import "time"

// Share is the part of a worker's processors that an image's fills use, 0 to 1.
type Share struct {
	Image string
	Part  float64
}

// Serving names what serves users: the tasks of a job that run one image. They
// share their load.
type Serving struct{ Job, Image string }

// Model estimates slacks. The slack of a serving task is its target over its
// tail, so that it misses its target below 1. In a queue the reciprocal of the
// response time falls linearly with the load, and so does the slack: with the
// job's own load, which swings, and with what each fill beside it takes. The
// zero value knows nothing and takes every pair for mildly disturbing.
type Model struct {
	pairs map[pair]*weight
	loads map[Serving]*load
}

type pair struct{ serving, filling string }

// weight is the estimate for a pair: the slack that fills on all of a worker's
// processors would take, and the variance of that estimate.
type weight struct{ mean, spread float64 }

// load is what a job's tasks have of slack without any fill.
type load struct {
	// mean is the estimate of this moment, spread its variance.
	mean, spread float64
	// low is the least of the last while, where the load was at its highest.
	low float64
	at  time.Time
}

const (
	// priorCost lets fills of an unknown image try two fifths of a worker.
	priorCost = 2
	// priorSpread makes the first observations of a pair decide.
	priorSpread = 16
	// leastSpread keeps every pair open to change.
	leastSpread = 0.3
	// maxCost bounds an estimate: a fifteenth of a worker is then too much.
	maxCost = 15
	// priorSlack and priorLoadSpread are taken of a job not seen yet.
	priorSlack, priorLoadSpread = 1.9, 1
	// leastSlack and mostSlack bound what a load may be taken for.
	leastSlack, mostSlack = 0.9, 4
	// swing is the variance that a job's load gains in a second.
	swing = 0.2
	// maxStep bounds what one observation moves a load: the job's other tasks
	// share it, and a worker may be slow by itself.
	maxStep = 0.25
	// lowMemory is how long a high load is remembered; loads swing by periods
	// of some seconds.
	lowMemory = 20 * time.Second
	// baseNoise is the variance of an observation, relativeNoise its share of
	// the slack: figures are rough.
	baseNoise, relativeNoise = 0.02, 0.12
	// fullSlack is the slack below which tails have stopped growing: what is
	// observed there is only a bound.
	fullSlack = 0.3
	// leastShare is the share below which a fill tells nothing.
	leastShare = 0.005
)

func (m *Model) weight(serving, filling string) weight {
	if w := m.pairs[pair{serving, filling}]; w != nil {
		return *w
	}
	return weight{mean: priorCost, spread: priorSpread}
}

// Cost is the slack that a fill takes from tasks of a serving image.
func (m *Model) Cost(serving string, f Share) float64 {
	return m.weight(serving, f.Image).mean * f.Part
}

// Costs is the slack that fills take together.
func (m *Model) Costs(serving string, fills []Share) float64 {
	var sum float64
	for _, f := range fills {
		sum += m.Cost(serving, f)
	}
	return sum
}

// Slack is the slack of a job's tasks beside no fill: now, and at the highest
// load of the last while.
func (m *Model) Slack(s Serving) (now, low float64) {
	if l := m.loads[s]; l != nil {
		return l.mean, l.low
	}
	return priorSlack, priorSlack
}

// Observe learns from a serving task's tail, as a multiple of its target, and
// the fills beside it. What was least certain moves most.
func (m *Model) Observe(s Serving, fills []Share, level float64, now time.Time) {
	if level <= 0 {
		return
	}
	l := m.load(s, now)
	seen := 1 / level
	miss := seen - (l.mean - m.Costs(s.Image, fills))
	if seen < fullSlack && miss > 0 {
		return
	}
	rough := relativeNoise * seen
	total := baseNoise + rough*rough + l.spread
	for _, f := range fills {
		total += m.weight(s.Image, f.Image).spread * f.Part * f.Part
	}
	m.shift(s.Image, fills, miss, total)
	gain := l.spread / total
	step := min(max(gain*miss, -maxStep), maxStep)
	l.mean = min(max(l.mean+step, leastSlack), mostSlack)
	l.spread *= 1 - gain
	l.low = min(l.low, l.mean)
}

// load returns the load of a job as it may have become by now.
func (m *Model) load(s Serving, now time.Time) *load {
	l := m.loads[s]
	if l == nil {
		if m.loads == nil {
			m.loads = map[Serving]*load{}
		}
		l = &load{mean: priorSlack, spread: priorLoadSpread, low: priorSlack, at: now}
		m.loads[s] = l
	}
	if d := now.Sub(l.at); d > 0 {
		l.spread = min(l.spread+swing*d.Seconds(), priorLoadSpread)
		l.low += (l.mean - l.low) * min(d.Seconds()/lowMemory.Seconds(), 1)
		l.at = now
	}
	return l
}

// shift moves the estimates of the pairs by their part in a miss.
func (m *Model) shift(serving string, fills []Share, miss, total float64) {
	if m.pairs == nil {
		m.pairs = map[pair]*weight{}
	}
	for _, f := range fills {
		if f.Part < leastShare {
			continue
		}
		w := m.weight(serving, f.Image)
		gain := w.spread * f.Part / total
		w.mean = min(max(w.mean-gain*miss, 0), maxCost)
		w.spread = max(w.spread*(1-gain*f.Part), leastSpread)
		m.pairs[pair{serving, f.Image}] = &w
	}
}

// Forget drops the load of a job that is over.
func (m *Model) Forget(job string) {
	for s := range m.loads {
		if s.Job == job {
			delete(m.loads, s)
		}
	}
}

// Known is the number of pairs that something has been learnt of.
func (m *Model) Known() int { return len(m.pairs) }
