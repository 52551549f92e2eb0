package settings

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// Applied holds the settings in force in one process. Revisions only increase.
// It is safe for concurrent use; the zero value holds no settings.
type Applied struct {
	mu      sync.Mutex
	current *Settings
	since   time.Time
	changed chan struct{}
}

// Apply puts s in force at now, unless a revision at least as new is in force.
// It reports whether it did so.
func (a *Applied) Apply(now time.Time, s *Settings) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current != nil && s.Revision <= a.current.Revision {
		return false
	}
	a.current, a.since = s, now
	if a.changed != nil {
		close(a.changed)
		a.changed = nil
	}
	return true
}

// ApplyDocument decodes the document of a store revision and applies it. A
// revision that is not newer is skipped before decoding.
func (a *Applied) ApplyDocument(now time.Time, revision platform.Revision, body []byte) (bool, error) {
	if s := a.Current(); s != nil && revision <= s.Revision {
		return false, nil
	}
	s, err := Decode(body)
	if err != nil {
		return false, err
	}
	s.Revision = revision
	return a.Apply(now, s), nil
}

// Current returns the settings in force, or nil if there are none yet.
func (a *Applied) Current() *Settings {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// InForce returns the revision and number in force and since when, or zeros if
// there are none yet.
func (a *Applied) InForce() (revision platform.Revision, number uint64, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return 0, 0, time.Time{}
	}
	return a.current.Revision, a.current.Number, a.since
}

// Changed returns a channel that is closed when other settings come into force.
func (a *Applied) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}
