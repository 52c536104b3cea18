package colo

import (
	"slices"
	"sync"
	"time"
)

// Window keeps the newest answer times of the service and tells a quantile of
// them. The zero value is empty. It is safe for several goroutines.
type Window struct {
	mu      sync.Mutex
	samples [windowSize]answer
	next    int
}

type answer struct {
	at      time.Time
	latency time.Duration
}

const (
	windowSize = 512
	// minSamples is the least number of answers that tell anything.
	minSamples = 8
	// quantile is the one held against the target.
	targetQuantile = 0.98
)

// Add records an answer.
func (w *Window) Add(at time.Time, took time.Duration) {
	w.mu.Lock()
	w.samples[w.next%windowSize] = answer{at, took}
	w.next++
	w.mu.Unlock()
}

// Quantile returns the 98th percentile of the answers since a time, and false
// when there were too few.
func (w *Window) Quantile(since time.Time) (time.Duration, bool) {
	w.mu.Lock()
	var took []time.Duration
	for _, s := range w.samples {
		if s.at.After(since) {
			took = append(took, s.latency)
		}
	}
	w.mu.Unlock()
	if len(took) < minSamples {
		return 0, false
	}
	slices.Sort(took)
	return took[min(int(float64(len(took))*targetQuantile), len(took)-1)], true
}
