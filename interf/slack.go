package interf

import (
	"math"
	"time"
)

const (
	// priorSlack and priorSlackVariance are assumed for a serving group without
	// observations.
	priorSlack, priorSlackVariance = 1.9, 1
	// minSlack and maxSlack bound the estimated slack of a serving group
	// without fills.
	minSlack, maxSlack = 0.9, 4
	// slackVariancePerSecond is the variance that a slack estimate gains per
	// second beside that of its trend.
	slackVariancePerSecond = 0.03
	// trendVariancePerSecond is the variance that a trend gains per second, up to
	// maxTrendVariance.
	trendVariancePerSecond, maxTrendVariance = 0.15, 0.3
	// maxTrend bounds the trend, in slack per second.
	maxTrend = 1.0
	// trendMemory is the time constant with which a trend decays. Loads rise and
	// fall again within seconds.
	trendMemory = 3 * time.Second
	// maxSlackStep bounds the change of a slack estimate by one observation:
	// all tasks of the group share the estimate, and a single worker may be
	// slow for reasons of its own.
	maxSlackStep = 0.25
	// lowestSlackMemory is how long a phase of high load is remembered. Loads
	// vary with periods of some seconds.
	lowestSlackMemory = 20 * time.Second
)

// slackEstimate is the estimated slack of a serving group without any fills. Its
// level and its trend are followed by a Kalman filter.
type slackEstimate struct {
	// mean is the current estimate and variance its variance.
	mean, variance float64
	// trend is the change of mean per second, trendVariance its variance and
	// covariance that of the two.
	trend, trendVariance, covariance float64
	// lowest is the lowest recent mean, reached when the load was highest. It
	// decays towards mean.
	lowest    float64
	updatedAt time.Time
}

// advance moves the estimate forward by a time, in which the trend decays and
// the variances grow.
func (e *slackEstimate) advance(d time.Duration) {
	t := d.Seconds()
	e.mean = min(max(e.mean+e.trend*t, minSlack), maxSlack)
	decay := math.Exp(-t / trendMemory.Seconds())
	e.variance = min(e.variance+2*t*e.covariance+t*t*e.trendVariance+slackVariancePerSecond*t, priorSlackVariance)
	e.covariance = (e.covariance + t*e.trendVariance) * decay
	e.trendVariance = min(e.trendVariance*decay*decay+trendVariancePerSecond*t, maxTrendVariance)
	// The bounds of the variances bound the covariance as well.
	e.covariance = min(e.covariance, math.Sqrt(e.variance*e.trendVariance))
	e.trend *= decay
	e.lowest += (e.mean - e.lowest) * min(t/lowestSlackMemory.Seconds(), 1)
}

// correct updates the level and the trend by the residual of an observation with
// the given variance.
func (e *slackEstimate) correct(residual, variance float64) {
	levelGain, trendGain := e.variance/variance, e.covariance/variance
	step := levelGain * residual
	if limited := min(max(step, -maxSlackStep), maxSlackStep); limited != step {
		trendGain *= limited / step
		step = limited
	}
	e.mean = min(max(e.mean+step, minSlack), maxSlack)
	e.trend = min(max(e.trend+trendGain*residual, -maxTrend), maxTrend)
	e.trendVariance -= trendGain * e.covariance
	e.covariance *= 1 - levelGain
	e.variance *= 1 - levelGain
	e.lowest = min(e.lowest, e.mean)
}

// forecast returns the expected slack after a time, not below the lowest recent
// one: loads vary in a range that the recent past shows.
func (e *slackEstimate) forecast(after time.Duration) float64 {
	memory := trendMemory.Seconds()
	change := e.trend * memory * (1 - math.Exp(-after.Seconds()/memory))
	return min(max(e.mean+change, e.lowest), maxSlack)
}
