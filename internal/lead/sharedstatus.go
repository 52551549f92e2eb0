package lead

import (
	"sync"

	"citrontray.example/citrontray/internal/cell"
)

// sharedStatus holds the latest status of a cell for readers on other goroutines.
type sharedStatus struct {
	mu     sync.Mutex
	status cell.Status
}

// store replaces the status.
func (s *sharedStatus) store(status cell.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// load returns the status.
func (s *sharedStatus) load() cell.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}
