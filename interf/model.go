// Package interf models interference between images that share a worker. From
// the tail latencies of serving tasks and the CPU use of the fills beside them
// it estimates how much latency slack the fills of each image take from the
// serving tasks of each image. It does no I/O, reads no clock and holds no state
// per worker.
package interf

import "time"

// FillUsage is the CPU use of all fills of one image on a worker, as a fraction
// (0 to 1) of the worker's processors.
type FillUsage struct {
	Image       string
	CPUFraction float64
}

// ServingGroup identifies the serving tasks of one job that run one image. They
// share the load of the job.
type ServingGroup struct{ Job, Image string }

// Model estimates latency slack. The slack of a serving task is its target
// latency divided by its tail latency, so a task misses its target when the
// slack is below 1. In a queue the reciprocal of the response time falls
// linearly with the load, and so does the slack: both with the job's own load,
// which varies over time, and with the CPU use of each fill beside the task.
// The zero value has no observations and assumes a moderate cost for every pair
// of images.
type Model struct {
	costs  map[imagePair]*costEstimate
	slacks map[ServingGroup]*slackEstimate
}

type imagePair struct{ serving, fill string }

// costEstimate is the estimate for a pair of images: the slack that fills on
// all of a worker's processors would take, and the variance of that estimate.
type costEstimate struct {
	mean, variance float64
	// observedAt is the time of the last observation; zero for a restored estimate.
	observedAt time.Time
}

const (
	// priorCost is the assumed cost of an image pair without observations. With
	// priorSlack, and a slack of 1.1 left to serving tasks, it admits fills of
	// an unknown image on two fifths of a worker's processors.
	priorCost = 2
	// priorCostVariance is high so that the first observations of a pair
	// determine its estimate.
	priorCostVariance = 16
	// minCostVariance keeps each estimate open to later observations.
	minCostVariance = 0.3
	// maxCost is the upper bound of a cost estimate. At this cost a fill on a
	// fifteenth of a worker already takes a slack of 1.
	maxCost = 15
	// noiseVariance is the constant part of the variance of an observed slack,
	// and relativeNoiseStdDev a standard deviation relative to the slack.
	// Reported tail latencies are rough.
	noiseVariance, relativeNoiseStdDev = 0.02, 0.12
	// saturatedSlack is the slack below which tail latencies no longer grow
	// with the load. An observed slack that low is only an upper bound of the
	// real one.
	saturatedSlack = 0.3
	// minCPUFraction is the CPU use below which a fill has no measurable effect
	// on a tail latency.
	minCPUFraction = 0.005
	// maxPairs is the number of image pairs that are kept. Callers choose the names
	// of images, so there may be any number of them.
	maxPairs = 8192
)

func (m *Model) costEstimate(serving, fill string) costEstimate {
	if estimate := m.costs[imagePair{serving, fill}]; estimate != nil {
		return *estimate
	}
	return costEstimate{mean: priorCost, variance: priorCostVariance}
}

// Cost returns the slack that the fills of one image take from tasks of a
// serving image.
func (m *Model) Cost(serving string, f FillUsage) float64 {
	return m.costEstimate(serving, f.Image).mean * f.CPUFraction
}

// TotalCost returns the slack that all the given fills take together.
func (m *Model) TotalCost(serving string, fills []FillUsage) float64 {
	var sum float64
	for _, f := range fills {
		sum += m.Cost(serving, f)
	}
	return sum
}

// Slack returns the estimated slack of a serving group without fills: the
// current one, and the lowest of the recent past.
func (m *Model) Slack(s ServingGroup) (current, lowest float64) {
	if e := m.slacks[s]; e != nil {
		return e.mean, e.lowest
	}
	return priorSlack, priorSlack
}

// Forecast returns the slack that a serving group is expected to have after a
// time, not below its lowest recent one.
func (m *Model) Forecast(s ServingGroup, after time.Duration) float64 {
	e := m.slacks[s]
	if e == nil {
		return priorSlack
	}
	return e.forecast(after)
}

// Observe updates the model from the tail latency of a serving task, given as a
// multiple of its target, and the CPU use of the fills beside it. As in a
// Kalman filter, the estimates with the highest variance change most.
func (m *Model) Observe(s ServingGroup, fills []FillUsage, tailRatio float64, now time.Time) {
	if tailRatio <= 0 {
		return
	}
	e := m.slackAt(s, now)
	observed := 1 / tailRatio
	residual := observed - (e.mean - m.TotalCost(s.Image, fills))
	if observed < saturatedSlack && residual > 0 {
		return
	}
	noise := relativeNoiseStdDev * observed
	variance := noiseVariance + noise*noise + e.variance
	for _, f := range fills {
		variance += m.costEstimate(s.Image, f.Image).variance * f.CPUFraction * f.CPUFraction
	}
	m.updateCosts(s.Image, fills, residual, variance, now)
	e.correct(residual, variance)
}

// AssumeSlack sets the slack of a serving group without fills to one that is known
// from elsewhere, with its variance.
func (m *Model) AssumeSlack(s ServingGroup, slack, variance float64, now time.Time) {
	e := m.slackAt(s, now)
	e.mean, e.variance = slack, min(e.variance, variance)
	e.lowest = min(e.lowest, slack)
}

// Unfilled returns the slack that a serving task would have without the fills beside
// it, from its tail latency as a multiple of its target, and the variance of that
// estimate. ok is false if the tail latency says nothing about it.
func (m *Model) Unfilled(s ServingGroup, fills []FillUsage, tailRatio float64) (slack, variance float64, ok bool) {
	observed := 1 / tailRatio
	if observed < saturatedSlack {
		return 0, 0, false
	}
	noise := relativeNoiseStdDev * observed
	variance = noiseVariance + noise*noise
	for _, f := range fills {
		variance += m.costEstimate(s.Image, f.Image).variance * f.CPUFraction * f.CPUFraction
	}
	cost := m.TotalCost(s.Image, fills)
	return observed + cost, variance + cost*cost/4, true
}

// slackAt returns the slack estimate of a serving group, created if missing.
// Its variance and lowest value are advanced to now.
func (m *Model) slackAt(s ServingGroup, now time.Time) *slackEstimate {
	e := m.slacks[s]
	if e == nil {
		if m.slacks == nil {
			m.slacks = map[ServingGroup]*slackEstimate{}
		}
		e = &slackEstimate{mean: priorSlack, variance: priorSlackVariance, lowest: priorSlack, updatedAt: now}
		m.slacks[s] = e
	}
	if d := now.Sub(e.updatedAt); d > 0 {
		e.advance(d)
		e.updatedAt = now
	}
	return e
}

// updateCosts spreads a residual over the cost estimates of the given fills, by
// their share in the variance of the observation.
func (m *Model) updateCosts(serving string, fills []FillUsage, residual, variance float64, now time.Time) {
	if m.costs == nil {
		m.costs = map[imagePair]*costEstimate{}
	}
	for _, f := range fills {
		if f.CPUFraction < minCPUFraction {
			continue
		}
		estimate := m.costEstimate(serving, f.Image)
		gain := estimate.variance * f.CPUFraction / variance
		estimate.mean = min(max(estimate.mean-gain*residual, 0), maxCost)
		estimate.variance = max(estimate.variance*(1-gain*f.CPUFraction), minCostVariance)
		estimate.observedAt = now
		m.costs[imagePair{serving, f.Image}] = &estimate
	}
	if len(m.costs) > maxPairs {
		m.evictOldest()
	}
}

// evictOldest drops the eighth of the pairs whose last observation is the longest ago.
func (m *Model) evictOldest() {
	pairs := m.pairsByObservation()
	for _, p := range pairs[len(pairs)-len(pairs)/8:] {
		delete(m.costs, p)
	}
}

// ForgetJob drops the slack estimates of a job that has ended.
func (m *Model) ForgetJob(job string) {
	for s := range m.slacks {
		if s.Job == job {
			delete(m.slacks, s)
		}
	}
}

// PairCount returns the number of image pairs with observations.
func (m *Model) PairCount() int { return len(m.costs) }
