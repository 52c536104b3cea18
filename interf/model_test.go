package interf_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/berylspar/spar/interf"
)

// desk is the serving group under observation.
var desk = interf.ServingGroup{Job: "j", Image: "desk"}

// observer feeds a model with reports at the interval of a worker, half a
// second.
type observer struct {
	interf.Model
	now time.Time
}

func (o *observer) report(s interf.ServingGroup, fills []interf.FillUsage, tailRatio float64) {
	o.now = o.now.Add(500 * time.Millisecond)
	o.Observe(s, fills, tailRatio, o.now)
}

// expectsMiss reports whether the model expects the serving group to miss its
// target beside the given fills.
func (o *observer) expectsMiss(fills ...interf.FillUsage) bool {
	now, _ := o.Slack(desk)
	return now-o.TotalCost(desk.Image, fills) < 1
}

// recorded holds measurements from a calm period: the fraction of the worker's
// processors that one fill image used, and the tail latency of the serving
// task beside it as a multiple of its target.
var recorded = map[string][]struct{ cpuFraction, tailRatio float64 }{
	"harmless": {{0.07, 0.44}, {0.1, 0.49}, {0.22, 0.49}, {0.28, 0.46}, {0.33, 0.41}, {0.43, 0.47}, {0.37, 0.7}},
	"heavy":    {{0.08, 0.48}, {0.12, 0.41}, {0.22, 3.5}, {0.3, 3.91}, {0.42, 9.12}, {0.55, 13.33}},
	"late":     {{0.1, 0.33}, {0.22, 0.41}, {0.48, 2.04}, {0.6, 4.06}, {0.8, 9.19}},
}

// Guards against a model that underestimates a fill that drove the measured tail
// far over its target, or that rejects one that did no harm.
func TestModelPredictsRecordedInterference(t *testing.T) {
	for name, rows := range recorded {
		t.Run(name, func(t *testing.T) {
			var m observer
			for range 3 {
				for _, r := range rows {
					m.report(desk, []interf.FillUsage{{Image: name, CPUFraction: r.cpuFraction}}, r.tailRatio)
				}
			}
			for _, r := range rows {
				predicted := m.expectsMiss(interf.FillUsage{Image: name, CPUFraction: r.cpuFraction})
				if r.tailRatio > 2 && !predicted {
					t.Errorf("CPU fraction %v drove the tail to %v times its target, but the model predicts no miss", r.cpuFraction, r.tailRatio)
				}
				if name == "harmless" && predicted {
					t.Errorf("CPU fraction %v did no harm, but the model predicts a miss", r.cpuFraction)
				}
			}
		})
	}
}

// Two images run beside a task over its target. The interference must be
// attributed to the new image, not to the one observed earlier without effect.
func TestInterferenceIsAttributedToTheNewImage(t *testing.T) {
	var m observer
	for range 5 {
		m.report(desk, []interf.FillUsage{{Image: "proven", CPUFraction: 0.3}}, 0.5)
	}
	for range 3 {
		m.report(desk, []interf.FillUsage{{Image: "proven", CPUFraction: 0.3}, {Image: "new", CPUFraction: 0.3}}, 8)
	}
	proven, fresh := m.Cost("desk", interf.FillUsage{Image: "proven", CPUFraction: 0.3}), m.Cost("desk", interf.FillUsage{Image: "new", CPUFraction: 0.3})
	if fresh < 2*proven {
		t.Errorf("cost of the new image %.2f, of the proven one %.2f", fresh, proven)
	}
}

// Images with random costs are observed in random mixes. After 200 observations
// the model must classify at least nine tenths of them correctly.
func TestModelLearnsRandomCostsFromMixedFills(t *testing.T) {
	wrong, total := 0, 0
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 1))
		var m observer
		heavy := map[string]bool{}
		var images []string
		for i := range 9 {
			name := fmt.Sprintf("fill-%d", i)
			images = append(images, name)
			heavy[name] = r.Float64() < 0.4
		}
		for range 200 {
			var fills []interf.FillUsage
			sum := 0.0
			for _, i := range r.Perm(len(images))[:1+r.IntN(3)] {
				f := interf.FillUsage{Image: images[i], CPUFraction: 0.05 + 0.35*r.Float64()}
				fills = append(fills, f)
				if heavy[f.Image] {
					sum += 5 * f.CPUFraction
				} else {
					sum += 0.4 * f.CPUFraction
				}
			}
			tailRatio := 0.5
			if sum > 1 {
				tailRatio = 4
			}
			m.report(desk, fills, tailRatio)
		}
		for _, i := range images {
			total++
			if m.expectsMiss(interf.FillUsage{Image: i, CPUFraction: 0.3}) != heavy[i] {
				wrong++
			}
		}
	}
	if wrong*10 > total {
		t.Errorf("%d of %d images are classified wrongly", wrong, total)
	}
}

// predictionErrors simulates one job's tasks on a worker that behaves like a
// queue: the load of the job varies, and fills take from the remaining slack.
// It returns the fraction of the observations for which the model predicted
// wrongly whether the target is missed.
func predictionErrors(seed uint64) float64 {
	r := rand.New(rand.NewPCG(seed, 2))
	var m observer
	costs := map[string]float64{}
	var images []string
	for i := range 6 {
		name := fmt.Sprintf("fill-%d", i)
		images = append(images, name)
		costs[name] = 0.3
		if r.Float64() < 0.5 {
			costs[name] = 2 + 5*r.Float64()
		}
	}
	wrong, checked := 0, 0
	for k := range 240 {
		idle := 2.4 + math.Sin(float64(k)*0.5/14*2*math.Pi)
		var fills []interf.FillUsage
		slack := idle
		for _, i := range r.Perm(len(images))[:r.IntN(3)] {
			f := interf.FillUsage{Image: images[i], CPUFraction: 0.05 + 0.25*r.Float64()}
			fills = append(fills, f)
			slack -= costs[f.Image] * f.CPUFraction
		}
		slack = max(slack, 0.1)
		if len(fills) > 0 && k >= 120 && math.Abs(slack-1) > 0.2 {
			checked++
			if m.expectsMiss(fills...) != (slack < 1) {
				wrong++
			}
		}
		m.report(desk, fills, (0.94+0.12*r.Float64())/slack)
	}
	return float64(wrong) / float64(checked)
}

// The load varies with a period of 14 s, so a fill that causes misses at peak
// load causes none at low load. After a minute the model must predict 95 % of
// the observations that are not close to the target.
func TestLoadChangesAreNotAttributedToFills(t *testing.T) {
	var sum float64
	for seed := range uint64(20) {
		sum += predictionErrors(seed)
	}
	if mean := sum / 20; mean > 0.05 {
		t.Errorf("%.3f of the predictions are wrong", mean)
	}
}

// One worker in eight is slow without any fill. The slack of the group, which
// all its workers share, must not drop because of it.
func TestOneSlowWorkerDoesNotLowerTheGroupSlack(t *testing.T) {
	var m observer
	for range 40 {
		m.report(desk, nil, 6)
		for range 7 {
			m.report(desk, nil, 0.5)
		}
	}
	if now, low := m.Slack(desk); now < 1.6 || low < 1.3 {
		t.Errorf("slack %.2f, lowest %.2f, want about 2", now, low)
	}
}

func ExampleModel() {
	var m interf.Model
	watch := interf.ServingGroup{Job: "j", Image: "watch"}
	fills := []interf.FillUsage{{Image: "audit", CPUFraction: 0.4}}
	fmt.Printf("unknown %.1f\n", m.TotalCost("watch", fills))
	for k := range 4 {
		m.Observe(watch, fills, 6, time.Unix(int64(k), 0)) // tail at six times the target
	}
	now, _ := m.Slack(watch)
	fmt.Printf("disturbs %v\n", now-m.TotalCost("watch", fills) < 1)
	// Output:
	// unknown 0.8
	// disturbs true
}
