package work

import (
	"sync"
	"time"
)

// CheckpointStore holds the checkpoints of all workers.
type CheckpointStore struct {
	mu       sync.Mutex
	progress map[string]time.Duration
}

// Put stores a checkpoint with the progress that it holds.
func (s *CheckpointStore) Put(name string, progress time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.progress == nil {
		s.progress = map[string]time.Duration{}
	}
	s.progress[name] = progress
}

// Get returns the progress that a checkpoint holds, or 0 if it does not exist.
func (s *CheckpointStore) Get(name string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.progress[name]
}
