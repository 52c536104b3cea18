package triage

import (
	"math"
	"time"
)

// RunTimes learns how the run times of a queue's tasks follow from their callers'
// estimates: a line through the logarithms of both, so that an estimate counts for
// as much as it has told so far. The zero value believes the estimates.
type RunTimes struct {
	weight, meanX, meanY, varX, covXY float64
}

const (
	// believedSteps is the number of steps as much as which a caller's estimate
	// counts before any has ended.
	believedSteps = 4
	// rememberedSteps is the number of steps after which earlier ones fade.
	rememberedSteps = 300
	// leastRunTime bounds times from below, since they are taken to their
	// logarithms.
	leastRunTime = time.Millisecond
)

// Add adds a task that has ended; weight is its share of its step.
func (r *RunTimes) Add(estimate, ran time.Duration, weight float64) {
	if estimate <= 0 || ran <= 0 || !(weight > 0) {
		return
	}
	x, y := logTime(estimate), logTime(ran)
	if r.weight > rememberedSteps {
		fade := rememberedSteps / r.weight
		r.weight, r.varX, r.covXY = r.weight*fade, r.varX*fade, r.covXY*fade
	}
	r.weight += weight
	dx := x - r.meanX
	r.meanX += dx * weight / r.weight
	r.meanY += (y - r.meanY) * weight / r.weight
	r.varX += weight * dx * (x - r.meanX)
	r.covXY += weight * dx * (y - r.meanY)
}

// Predict returns the likely run time of a task; 0 if there is no estimate and
// nothing has ended.
func (r *RunTimes) Predict(estimate time.Duration) time.Duration {
	if estimate <= 0 {
		if r.weight == 0 {
			return 0
		}
		return expTime(r.meanY)
	}
	x := logTime(estimate)
	slope := min(max((r.covXY+believedSteps)/(r.varX+believedSteps), 0), 2)
	line := r.meanY + slope*(x-r.meanX)
	return expTime(x + (line-x)*r.weight/(r.weight+believedSteps))
}

func logTime(d time.Duration) float64 { return math.Log(float64(max(d, leastRunTime))) }

// expTime is the inverse of logTime, up to a day.
func expTime(x float64) time.Duration {
	return time.Duration(math.Exp(min(x, math.Log(float64(24*time.Hour)))))
}
