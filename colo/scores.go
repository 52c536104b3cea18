package colo

import (
	"maps"
	"slices"
	"sync"
)

// Scores holds how much each kind of batch task interferes with the service
// beside it, from 0 to 1. The zero value is empty and ready to use. It is safe
// for concurrent use.
type Scores struct {
	mu     sync.Mutex
	byKind map[string]float64
}

const (
	// learningRate is the weight of one step in a score.
	learningRate = 0.05
	// decayFactor multiplies each score at each step, so that it fades within
	// minutes: which kinds interfere changes with the load.
	decayFactor = 0.9995
	// avoidThreshold is the score above which no new tasks of a kind are wanted
	// on the worker.
	avoidThreshold = 0.7
	// minScore is the score below which a kind is dropped, which bounds the map.
	minScore = 0.01
)

// Of returns the score of a kind, 0 for an unknown one.
func (s *Scores) Of(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKind[kind]
}

// KindsToAvoid returns the kinds whose score is above avoidThreshold, sorted by
// name.
func (s *Scores) KindsToAvoid() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.byKind)) {
		if s.byKind[k] > avoidThreshold {
			out = append(out, k)
		}
	}
	return out
}

// update moves the score of each running kind towards 1 while the service is
// above its target, and towards 0 otherwise, in proportion to the kind's share of
// the processors in use. ratio is the latency divided by the target.
func (s *Scores) update(ratio float64, tasks []Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byKind == nil {
		s.byKind = map[string]float64{}
	}
	total := int64(0)
	for _, t := range tasks {
		total += t.CapMilli
	}
	for _, t := range tasks {
		target := 0.0
		if ratio > 1 {
			target = 1
		}
		share := learningRate * float64(t.CapMilli) / float64(max(total, 1))
		s.byKind[t.Kind] += share * (target - s.byKind[t.Kind])
	}
}

// decay lowers all scores by one step and drops those below minScore.
func (s *Scores) decay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.byKind {
		s.byKind[k] *= decayFactor
		if s.byKind[k] < minScore {
			delete(s.byKind, k)
		}
	}
}
