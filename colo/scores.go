package colo

import (
	"maps"
	"slices"
	"sync"
)

// Scores tell how much each kind of batch task disturbs the service beside it.
// They are the weights of an online linear regression (normalised least mean
// squares) of the service's load on what each kind uses, so that kinds that run
// together are told apart by how the mix changes. The zero value knows nothing.
// It is safe for several goroutines.
type Scores struct {
	mu   sync.Mutex
	base float64
	all  map[string]float64
}

const (
	// learnRate is the share of an error that one step corrects.
	learnRate = 0.1
	// decayFactor lets a score fade within minutes, since what disturbs shifts
	// with load.
	decayFactor = 0.9995
	// unit is the use of processors that a weight is for, in thousandths.
	unit = 10_000.0
	// avoidAbove is the score from which a kind is kept away.
	avoidAbove = 0.9
	// waryAbove and waryFactor say which kinds begin throttled: those that
	// disturb, and clearly more than the average kind.
	waryAbove  = 0.15
	waryFactor = 1.25
	forgetAt   = 0.001
)

// Of returns the score of a kind, from 0 to 1.
func (s *Scores) Of(kind string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.of(kind)
}

func (s *Scores) of(kind string) float64 {
	w := s.all[kind]
	return w / (1 + w)
}

// isWary tells whether a kind disturbs clearly more than the average.
func (s *Scores) isWary(kind string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	mean := 0.0
	for k := range s.all {
		mean += s.of(k) / float64(len(s.all))
	}
	own := s.of(kind)
	return own > waryAbove && (len(s.all) == 1 || own > waryFactor*mean)
}

// Avoided returns the kinds to keep away, in order.
func (s *Scores) Avoided() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, k := range slices.Sorted(maps.Keys(s.all)) {
		if s.of(k) > avoidAbove {
			out = append(out, k)
		}
	}
	return out
}

// learn corrects the weights by what the service's load, as a share of its
// target, differs from what they foretell.
func (s *Scores) learn(load float64, tasks []Task) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]float64{}
	}
	use := map[string]float64{}
	for _, t := range tasks {
		use[t.Kind] += float64(t.CPU) / unit
	}
	foretold, norm := s.base, 1.0
	for k, x := range use {
		foretold += s.all[k] * x
		norm += x * x
	}
	step := learnRate * (load - foretold) / norm
	s.base = max(s.base+step, 0)
	for k, x := range use {
		s.all[k] = max(s.all[k]+step*x, 0)
	}
}

func (s *Scores) decay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range s.all {
		s.all[k] *= decayFactor
		if s.all[k] < forgetAt {
			delete(s.all, k)
		}
	}
}
