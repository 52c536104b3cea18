package interf

import "math"

const (
	// chanceAtTarget is the chance that a reported tail latency is over its target if
	// the estimated slack is 1: half of the estimates are too high, and tails are
	// longer on one side.
	chanceAtTarget = 0.3
	// chanceDecay is the rate at which that chance falls with more slack, and
	// certainSlack the slack at which no report is under the target any more.
	chanceDecay, certainSlack = 4, 0.7
	chanceStep, chanceSteps   = 0.05, 80
)

// chances holds OverTarget at multiples of chanceStep.
var chances = func() (out [chanceSteps + 1]float64) {
	for i := range out {
		slack := float64(i) * chanceStep
		out[i] = chanceAtTarget * math.Exp(-chanceDecay*(slack-1))
		if slack < 1 {
			out[i] = min(chanceAtTarget+(1-chanceAtTarget)*(1-slack)/(1-certainSlack), 1)
		}
	}
	return out
}()

// OverTarget returns the share of time for which a serving task of the given
// estimated slack is over its target. Tail latencies scatter, so that the share
// falls smoothly with the slack.
func OverTarget(slack float64) float64 {
	p := min(max(slack/chanceStep, 0), chanceSteps)
	i := min(int(p), chanceSteps-1)
	return chances[i] + (chances[i+1]-chances[i])*(p-float64(i))
}
