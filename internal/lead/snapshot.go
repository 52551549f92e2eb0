package lead

import (
	"sync"

	"citrontray.example/citrontray/internal/cell"
)

// snapshot is the newest state of a cell for readers on other goroutines.
type snapshot struct {
	mu     sync.Mutex
	status cell.Status
}

// store replaces the state.
func (s *snapshot) store(status cell.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.status = status
}

// load returns the state.
func (s *snapshot) load() cell.Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}
