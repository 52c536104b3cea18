package interf

import (
	"math"
	"time"
)

const (
	// swingInterval is the time over which observations are averaged before a
	// swing is fitted to them, and swingMemory how long they are kept.
	swingInterval, swingMemory = 500 * time.Millisecond, 24 * time.Second
	// minSwingPeriod and maxSwingPeriod bound the period of a swing, and
	// swingPeriodStep is the ratio of two periods that are tried.
	minSwingPeriod, maxSwingPeriod, swingPeriodStep = 4 * time.Second, 30 * time.Second, 1.06
	// minSwingCycles is the part of a period that must have been observed.
	minSwingCycles = 0.75
	// minSwingSamples is the least number of averages for a fit.
	minSwingSamples = 12
	// minSwingFit is the share of the variance that a swing must explain.
	minSwingFit = 0.7
	// swingFitInterval is the time between two fits.
	swingFitInterval = time.Second
)

// Swings follow the slack of serving groups whose load rises and falls with a
// steady period, as that of users who come and go does, and forecast it. Each
// group has a period and a phase of its own. The zero value has no observations.
type Swings struct{ groups map[ServingGroup]*swing }

// swing is the sinusoid fitted to the slack of a serving group.
type swing struct {
	samples []slackSample
	// origin is the time to which the samples and the phase refer.
	origin time.Time
	fitAt  time.Time
	// fitted reports whether the sinusoid describes the samples, and scatter is the
	// variance that it leaves.
	fitted bool
	sinusoid
	scatter float64
}

// slackSample is a weighted sum of observed slacks; at is in seconds after the origin.
type slackSample struct{ at, sum, weight float64 }

// Observe adds an observed slack of a serving group without fills, with the
// variance of its error.
func (m *Swings) Observe(s ServingGroup, slack, variance float64, now time.Time) {
	w := m.groups[s]
	if w == nil {
		if m.groups == nil {
			m.groups = map[ServingGroup]*swing{}
		}
		w = &swing{origin: now}
		m.groups[s] = w
	}
	w.add(min(slack, maxSlack), 1/max(variance, noiseVariance), now)
	if now.Sub(w.fitAt) >= swingFitInterval {
		w.fitAt = now
		w.fit()
	}
}

// Slack returns the slack without fills that a serving group has at a time, and
// its variance. ok is false if the group is not known to swing.
func (m *Swings) Slack(s ServingGroup, at time.Time) (slack, variance float64, ok bool) {
	w := m.groups[s]
	if w == nil || !w.fitted {
		return 0, 0, false
	}
	return w.at(at), w.scatter, true
}

// Lowest returns the lowest slack without fills that a serving group has in a
// span of time. ok is false if the group is not known to swing.
func (m *Swings) Lowest(s ServingGroup, from time.Time, span time.Duration) (slack float64, ok bool) {
	w := m.groups[s]
	if w == nil || !w.fitted {
		return 0, false
	}
	lowest := w.at(from)
	for d := swingInterval / 2; d <= span; d += swingInterval / 2 {
		lowest = min(lowest, w.at(from.Add(d)))
	}
	return lowest, true
}

// ForgetJob drops the swings of a job that has ended.
func (m *Swings) ForgetJob(job string) {
	for s := range m.groups {
		if s.Job == job {
			delete(m.groups, s)
		}
	}
}

func (w *swing) at(t time.Time) float64 {
	sin, cos := math.Sincos(w.omega * t.Sub(w.origin).Seconds())
	return min(max(w.level+w.cosine*cos+w.sine*sin, minSlack), maxSlack)
}

// add adds an observation to the sample of its interval.
func (w *swing) add(slack, weight float64, now time.Time) {
	at := math.Floor(now.Sub(w.origin).Seconds()/swingInterval.Seconds()) * swingInterval.Seconds()
	at += swingInterval.Seconds() / 2
	for len(w.samples) > 0 && at-w.samples[0].at > swingMemory.Seconds() {
		w.samples = w.samples[1:]
	}
	if n := len(w.samples); n == 0 || w.samples[n-1].at < at {
		w.samples = append(w.samples, slackSample{at: at})
	}
	last := &w.samples[len(w.samples)-1]
	last.sum += weight * slack
	last.weight += weight
}

// fit chooses the period whose sinusoid leaves the least squared error.
func (w *swing) fit() {
	w.fitted = false
	if len(w.samples) < minSwingSamples {
		return
	}
	observed := w.samples[len(w.samples)-1].at - w.samples[0].at
	total, lowest := w.variation(), math.Inf(1)
	for p := minSwingPeriod.Seconds(); p <= maxSwingPeriod.Seconds() && observed >= minSwingCycles*p; p *= swingPeriodStep {
		if f, ok := w.fitPeriod(p); ok && f.error < lowest {
			lowest = f.error
			w.sinusoid = f
		}
	}
	w.fitted = lowest <= (1-minSwingFit)*total
	w.scatter = lowest / float64(len(w.samples))
}

// variation is the squared deviation of the samples from their mean.
func (w *swing) variation() float64 {
	var mean, sum float64
	for _, s := range w.samples {
		mean += s.sum / s.weight / float64(len(w.samples))
	}
	for _, s := range w.samples {
		d := s.sum/s.weight - mean
		sum += d * d
	}
	return sum
}

// sinusoid is level + cosine*cos(omega*t) + sine*sin(omega*t), t in seconds after the
// origin, and the squared error that it leaves.
type sinusoid struct{ level, cosine, sine, omega, error float64 }

// fitPeriod fits a sinusoid of a period, in seconds, by least squares.
func (w *swing) fitPeriod(period float64) (sinusoid, bool) {
	omega := 2 * math.Pi / period
	var n, c, s, cc, cs, ss, y, yc, ys, yy float64
	for _, e := range w.samples {
		sin, cos := math.Sincos(omega * e.at)
		v := e.sum / e.weight
		n, c, s = n+1, c+cos, s+sin
		cc, cs, ss = cc+cos*cos, cs+cos*sin, ss+sin*sin
		y, yc, ys, yy = y+v, yc+v*cos, ys+v*sin, yy+v*v
	}
	det := n*(cc*ss-cs*cs) - c*(c*ss-cs*s) + s*(c*cs-cc*s)
	if math.Abs(det) < 1e-6*n*n*n {
		return sinusoid{}, false
	}
	level := (y*(cc*ss-cs*cs) - c*(yc*ss-cs*ys) + s*(yc*cs-cc*ys)) / det
	cosine := (n*(yc*ss-cs*ys) - y*(c*ss-cs*s) + s*(c*ys-yc*s)) / det
	sine := (n*(cc*ys-yc*cs) - c*(c*ys-yc*s) + y*(c*cs-cc*s)) / det
	return sinusoid{level, cosine, sine, omega, yy - level*y - cosine*yc - sine*ys}, true
}
