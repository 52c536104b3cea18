package work

import (
	"sync"
	"time"
)

// Store keeps checkpoints, for all workers.
type CheckpointStore struct {
	mu       sync.Mutex
	progress map[string]time.Duration
}

// Put keeps the progress of a checkpoint.
func (s *CheckpointStore) Put(name string, progress time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress == nil {
		s.progress = map[string]time.Duration{}
	}
	s.progress[name] = progress
}

// Get returns the progress of a checkpoint, 0 when there is none.
func (s *CheckpointStore) Get(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress[name]
}
