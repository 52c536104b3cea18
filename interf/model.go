// Package interf learns which images disturb which: from the tail latencies of
// tasks that serve and from the processors in use by the fills beside them, it
// estimates what each filling image takes from each serving image. It is pure
// and knows no workers.
package interf

import "time"

// Share is the part of a worker's processors that an image's fills use, 0 to 1.
type FillUsage struct {
	Image       string
	CPUFraction float64
}

// Serving names what serves users: the tasks of a job that run one image. They
// share their load.
type ServingGroup struct{ Job, Image string }

// Model estimates slacks. The slack of a serving task is its target over its
// tail, so that it misses its target below 1. In a queue the reciprocal of the
// response time falls linearly with the load, and so does the slack: with the
// job's own load, which swings, and with what each fill beside it takes. The
// zero value knows nothing and takes every pair for mildly disturbing.
type Model struct {
	costs  map[imagePair]*costEstimate
	slacks map[ServingGroup]*slackEstimate
}

type imagePair struct{ serving, fill string }

// weight is the estimate for a pair: the slack that fills on all of a worker's
// processors would take, and the variance of that estimate.
type costEstimate struct{ mean, variance float64 }

// load is what a job's tasks have of slack without any fill.
type slackEstimate struct {
	// mean is the estimate of this moment, spread its variance.
	mean, variance float64
	// low is the least of the last while, where the load was at its highest.
	lowest    float64
	updatedAt time.Time
}

const (
	// priorCost lets fills of an unknown image try two fifths of a worker.
	priorCost = 2
	// priorSpread makes the first observations of a pair decide.
	priorCostVariance = 16
	// leastSpread keeps every pair open to change.
	minCostVariance = 0.3
	// maxCost bounds an estimate: a fifteenth of a worker is then too much.
	maxCost = 15
	// priorSlack and priorLoadSpread are taken of a job not seen yet.
	priorSlack, priorSlackVariance = 1.9, 1
	// leastSlack and mostSlack bound what a load may be taken for.
	minSlack, maxSlack = 0.9, 4
	// swing is the variance that a job's load gains in a second.
	slackVariancePerSecond = 0.2
	// maxStep bounds what one observation moves a load: the job's other tasks
	// share it, and a worker may be slow by itself.
	maxSlackStep = 0.25
	// lowMemory is how long a high load is remembered; loads swing by periods
	// of some seconds.
	lowestSlackMemory = 20 * time.Second
	// baseNoise is the variance of an observation, relativeNoise its share of
	// the slack: figures are rough.
	noiseVariance, relativeNoiseStdDev = 0.02, 0.12
	// fullSlack is the slack below which tails have stopped growing: what is
	// observed there is only a bound.
	saturatedSlack = 0.3
	// leastShare is the share below which a fill tells nothing.
	minCPUFraction = 0.005
)

func (m *Model) costEstimate(serving, filling string) costEstimate {
	if w := m.costs[imagePair{serving, filling}]; w != nil {
		return *w
	}
	return costEstimate{mean: priorCost, variance: priorCostVariance}
}

// Cost is the slack that a fill takes from tasks of a serving image.
func (m *Model) Cost(serving string, f FillUsage) float64 {
	return m.costEstimate(serving, f.Image).mean * f.CPUFraction
}

// Costs is the slack that fills take together.
func (m *Model) TotalCost(serving string, fills []FillUsage) float64 {
	var sum float64
	for _, f := range fills {
		sum += m.Cost(serving, f)
	}
	return sum
}

// Slack is the slack of a job's tasks beside no fill: now, and at the highest
// load of the last while.
func (m *Model) Slack(s ServingGroup) (now, low float64) {
	if l := m.slacks[s]; l != nil {
		return l.mean, l.lowest
	}
	return priorSlack, priorSlack
}

// Observe learns from a serving task's tail, as a multiple of its target, and
// the fills beside it. What was least certain moves most.
func (m *Model) Observe(s ServingGroup, fills []FillUsage, level float64, now time.Time) {
	if level <= 0 {
		return
	}
	l := m.slackAt(s, now)
	seen := 1 / level
	miss := seen - (l.mean - m.TotalCost(s.Image, fills))
	if seen < saturatedSlack && miss > 0 {
		return
	}
	rough := relativeNoiseStdDev * seen
	total := noiseVariance + rough*rough + l.variance
	for _, f := range fills {
		total += m.costEstimate(s.Image, f.Image).variance * f.CPUFraction * f.CPUFraction
	}
	m.updateCosts(s.Image, fills, miss, total)
	gain := l.variance / total
	step := min(max(gain*miss, -maxSlackStep), maxSlackStep)
	l.mean = min(max(l.mean+step, minSlack), maxSlack)
	l.variance *= 1 - gain
	l.lowest = min(l.lowest, l.mean)
}

// load returns the load of a job as it may have become by now.
func (m *Model) slackAt(s ServingGroup, now time.Time) *slackEstimate {
	l := m.slacks[s]
	if l == nil {
		if m.slacks == nil {
			m.slacks = map[ServingGroup]*slackEstimate{}
		}
		l = &slackEstimate{mean: priorSlack, variance: priorSlackVariance, lowest: priorSlack, updatedAt: now}
		m.slacks[s] = l
	}
	if d := now.Sub(l.updatedAt); d > 0 {
		l.variance = min(l.variance+slackVariancePerSecond*d.Seconds(), priorSlackVariance)
		l.lowest += (l.mean - l.lowest) * min(d.Seconds()/lowestSlackMemory.Seconds(), 1)
		l.updatedAt = now
	}
	return l
}

// shift moves the estimates of the pairs by their part in a miss.
func (m *Model) updateCosts(serving string, fills []FillUsage, miss, total float64) {
	if m.costs == nil {
		m.costs = map[imagePair]*costEstimate{}
	}
	for _, f := range fills {
		if f.CPUFraction < minCPUFraction {
			continue
		}
		w := m.costEstimate(serving, f.Image)
		gain := w.variance * f.CPUFraction / total
		w.mean = min(max(w.mean-gain*miss, 0), maxCost)
		w.variance = max(w.variance*(1-gain*f.CPUFraction), minCostVariance)
		m.costs[imagePair{serving, f.Image}] = &w
	}
}

// Forget drops the load of a job that is over.
func (m *Model) ForgetJob(job string) {
	for s := range m.slacks {
		if s.Job == job {
			delete(m.slacks, s)
		}
	}
}

// Known is the number of pairs that something has been learnt of.
func (m *Model) PairCount() int { return len(m.costs) }
