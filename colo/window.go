package colo

import (
	"slices"
	"sync"
	"time"
)

// Window keeps the latencies of the service's most recent answers and computes a
// quantile of them. The zero value is empty. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	samples [windowSize]sample
	next    int
}

type sample struct {
	at      time.Time
	latency time.Duration
}

const (
	// windowSize is the number of answers that are kept.
	windowSize = 512
	// minSamples is the number of answers below which no quantile is reported.
	minSamples = 8
	// targetQuantile is the quantile that is compared with the target.
	targetQuantile = 0.98
)

// Add records the latency of an answer received at a time.
func (w *Window) Add(at time.Time, latency time.Duration) {
	w.mu.Lock()
	w.samples[w.next%windowSize] = sample{at, latency}
	w.next++
	w.mu.Unlock()
}

// Quantile returns the 98th percentile of the latencies since a time, and false
// if there are fewer than minSamples.
func (w *Window) Quantile(since time.Time) (time.Duration, bool) {
	w.mu.Lock()
	var latencies []time.Duration
	for _, s := range w.samples {
		if s.at.After(since) {
			latencies = append(latencies, s.latency)
		}
	}
	w.mu.Unlock()
	if len(latencies) < minSamples {
		return 0, false
	}
	slices.Sort(latencies)
	return latencies[min(int(float64(len(latencies))*targetQuantile), len(latencies)-1)], true
}
