package settings

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// Applied holds the settings in force in one process. It takes revisions in
// order and never goes back. Safe for concurrent use; the zero value is empty.
type Applied struct {
	mu      sync.Mutex
	current *Settings
	since   time.Time
	changed chan struct{}
}

// Apply puts s in force at now unless s is not newer than what is; it reports
// whether s is in force now because of this call.
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

// ApplyDocument decodes a document of the store's revision and offers it. An
// old revision is left out before it is decoded.
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

// Current returns the settings in force, or nil before the first ones.
func (a *Applied) Current() *Settings {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// InForce returns the revision and number in force and since when; zeros
// before the first ones.
func (a *Applied) InForce() (revision platform.Revision, number uint64, since time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current == nil {
		return 0, 0, time.Time{}
	}
	return a.current.Revision, a.current.Number, a.since
}

// Changed returns a channel that is closed at the next change.
func (a *Applied) Changed() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.changed == nil {
		a.changed = make(chan struct{})
	}
	return a.changed
}
