package clash_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/berylspar/spar/clash"
)

// Rows recorded on a calm day: the share of the worker that one filling image
// used, and the tail of the serving task beside it over its target.
var recorded = map[string][]struct{ part, level float64 }{
	"harmless": {{0.07, 0.44}, {0.1, 0.49}, {0.22, 0.49}, {0.28, 0.46}, {0.33, 0.41}, {0.43, 0.47}, {0.37, 0.7}},
	"heavy":    {{0.08, 0.48}, {0.12, 0.41}, {0.22, 3.5}, {0.3, 3.91}, {0.42, 9.12}, {0.55, 13.33}},
	"late":     {{0.1, 0.33}, {0.22, 0.41}, {0.48, 2.04}, {0.6, 4.06}, {0.8, 9.19}},
}

func TestRecordedPairs(t *testing.T) {
	for name, rows := range recorded {
		t.Run(name, func(t *testing.T) {
			var m clash.Model
			for range 3 {
				for _, r := range rows {
					m.Observe("desk", []clash.Share{{Image: name, Part: r.part}}, r.level)
				}
			}
			for _, r := range rows {
				p := m.Pressure("desk", []clash.Share{{Image: name, Part: r.part}})
				if r.level > 2 && p <= 0.8 {
					t.Errorf("share %v drove the tail to %v of its target, but its pressure is only %.2f", r.part, r.level, p)
				}
				if name == "harmless" && p > 0.8 {
					t.Errorf("share %v did no harm, but its pressure is %.2f", r.part, p)
				}
			}
		})
	}
}

// Of two images beside a disturbed task the one that was seen doing no harm
// elsewhere is not blamed.
func TestBlameFallsOnTheUnproven(t *testing.T) {
	var m clash.Model
	for range 5 {
		m.Observe("desk", []clash.Share{{Image: "proven", Part: 0.3}}, 0.5)
	}
	for range 3 {
		m.Observe("desk", []clash.Share{{Image: "proven", Part: 0.3}, {Image: "new", Part: 0.3}}, 8)
	}
	proven, fresh := m.Of("desk", clash.Share{Image: "proven", Part: 0.3}), m.Of("desk", clash.Share{Image: "new", Part: 0.3})
	if fresh < 2*proven {
		t.Errorf("pressure of the new image %.2f, of the proven one %.2f", fresh, proven)
	}
}

// A model of random pairs is learnt from mixed observations within 200 looks,
// and the blame is wrong in less than a tenth of the cases.
func TestRandomPairs(t *testing.T) {
	wrong, all := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var m clash.Model
		heavy := map[string]bool{}
		var images []string
		for i := range 9 {
			name := fmt.Sprintf("fill-%d", i)
			images = append(images, name)
			heavy[name] = r.Float64() < 0.4
		}
		for range 200 {
			var fills []clash.Share
			sum := 0.0
			for _, i := range r.Perm(len(images))[:1+r.IntN(3)] {
				f := clash.Share{Image: images[i], Part: 0.05 + 0.35*r.Float64()}
				fills = append(fills, f)
				if heavy[f.Image] {
					sum += 5 * f.Part
				} else {
					sum += 0.4 * f.Part
				}
			}
			level := 0.5
			if sum > 1 {
				level = 4
			}
			m.Observe("desk", fills, level)
		}
		for _, i := range images {
			all++
			if (m.Of("desk", clash.Share{Image: i, Part: 0.3}) > 0.8) != heavy[i] {
				wrong++
			}
		}
	}
	if wrong*10 > all {
		t.Errorf("%d of %d images are blamed wrongly", wrong, all)
	}
}

func ExampleModel() {
	var m clash.Model
	fills := []clash.Share{{Image: "audit", Part: 0.4}}
	fmt.Printf("unknown %.1f\n", m.Pressure("desk", fills))
	for range 4 {
		m.Observe("desk", fills, 6) // six times over the target
	}
	fmt.Printf("disturbs %v\n", m.Pressure("desk", fills) > 1)
	// Output:
	// unknown 0.8
	// disturbs true
}
