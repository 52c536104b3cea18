package interf

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// The load of a serving group rises and falls every ten seconds. From one cycle of
// rough figures the lowest slack of the next seconds must be known before it comes.
func TestSwingIsForecast(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	start := time.Unix(100, 0)
	real := func(at time.Time) float64 { return 2.4 + math.Sin(at.Sub(start).Seconds()*2*math.Pi/10+1) }
	var m Swings
	g := ServingGroup{"job", "image"}
	for d := time.Duration(0); d < 40*time.Second; d += 80 * time.Millisecond {
		now := start.Add(d)
		m.Observe(g, real(now)+0.3*rng.NormFloat64(), 0.09, now)
		if d < 10*time.Second {
			continue
		}
		want := math.Inf(1)
		for e := time.Duration(0); e <= 2*time.Second; e += 100 * time.Millisecond {
			want = min(want, real(now.Add(e)))
		}
		if got, ok := m.Lowest(g, now, 2*time.Second); !ok || math.Abs(got-want) > 0.3 {
			t.Fatalf("lowest slack from %v on: %.2f, %v, want %.2f", d, got, ok, want)
		}
	}
	m.ForgetJob("job")
	if _, _, ok := m.Slack(g, start); ok {
		t.Fatal("the swing of an ended job is kept")
	}
}

// A load without a period must not be taken for one that swings.
func TestSteadyLoadHasNoSwing(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 1))
	var m Swings
	g := ServingGroup{"job", "image"}
	for d := time.Duration(0); d < 60*time.Second; d += 80 * time.Millisecond {
		now := time.Unix(100, 0).Add(d)
		m.Observe(g, 2+0.3*rng.NormFloat64(), 0.09, now)
		if _, _, ok := m.Slack(g, now); ok {
			t.Fatalf("a steady load swings after %v", d)
		}
	}
}
