package work

import (
	"sync"
	"time"
)

// Store keeps checkpoints, for all workers.
type Store struct {
	mu  sync.Mutex
	all map[string]time.Duration
}

// Put keeps the progress of a checkpoint.
func (s *Store) Put(name string, progress time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all == nil {
		s.all = map[string]time.Duration{}
	}
	s.all[name] = progress
}

// Get returns the progress of a checkpoint, 0 when there is none.
func (s *Store) Get(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.all[name]
}
