package colo

import (
	"maps"
	"slices"
	"sync"
)

// Scores tell how much each kind of batch task disturbs the service beside it,
// from 0 to 1. The zero value knows nothing. It is safe for several goroutines.
type Scores struct {
	mu     sync.Mutex
	byKind map[string]float64
}

const (
	// learnShare is the weight of one step.
	learningRate = 0.05
	// decayFactor lets a score fade within minutes, since what disturbs shifts
	// with load.
	decayFactor = 0.9995
	// avoidAbove is the score from which a kind is kept away.
	avoidThreshold = 0.7
	minScore       = 0.01
)

// Of returns the score of a kind.
func (s *Scores) Of(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKind[kind]
}

// Avoided returns the kinds to keep away, in order.
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

// learn moves the score of each kind that runs towards 1 while the service is
// over its target, and towards 0 while it is calm, in proportion to the kind's
// share of the processors in use.
func (s *Scores) update(load float64, tasks []Task) {
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
		goal := 0.0
		if load > 1 {
			goal = 1
		}
		share := learningRate * float64(t.CapMilli) / float64(max(total, 1))
		s.byKind[t.Kind] += share * (goal - s.byKind[t.Kind])
	}
}

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
