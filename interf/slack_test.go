package interf_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// Load pattern: the load of a serving group rises and falls with a period of 14 s.
// Placing and slowing down fills act on the slack of the next second, so the
// forecast must be nearer to it than the current estimate, which lags behind.
func TestForecastIsAheadOfARisingLoad(t *testing.T) {
	var forecastError, currentError float64
	for seed := range uint64(10) {
		r := rand.New(rand.NewPCG(seed, 4))
		var m observer
		slackAt := func(k int) float64 { return 2.6 + 1.1*math.Sin(2*math.Pi*float64(k)*0.5/14) }
		for k := range 120 {
			for range 3 {
				m.Observe(desk, nil, (0.88+0.24*r.Float64())/slackAt(k), m.now)
			}
			m.now = m.now.Add(500 * time.Millisecond)
			if k < 40 {
				continue
			}
			current, _ := m.Slack(desk)
			next := slackAt(k + 3)
			forecastError += square(m.Forecast(desk, 1500*time.Millisecond) - next)
			currentError += square(current - next)
		}
	}
	if forecastError > 0.6*currentError {
		t.Errorf("sum of squared errors %.1f with the forecast, %.1f with the current estimate; want at most 0.6 of it", forecastError, currentError)
	}
}

// A forecast may not leave the range that the load has shown.
func TestForecastStaysAboveTheLowestSlack(t *testing.T) {
	var m observer
	for k := range 40 {
		m.report(desk, nil, 0.3+0.01*float64(k))
	}
	_, lowest := m.Slack(desk)
	if f := m.Forecast(desk, time.Minute); f < lowest {
		t.Errorf("forecast %.2f, lowest recent slack %.2f", f, lowest)
	}
}

func square(x float64) float64 { return x * x }
