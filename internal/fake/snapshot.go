package fake

import (
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// snapshot is the state of a SessionStore before a change.
type snapshot struct {
	// until is the time of that change.
	until    time.Time
	revision uint64
	lastID   int64
	values   map[platform.Path]sessionValue
	sessions map[int64]openSession
}

// StartSnapshots takes a snapshot before each change from now on.
func (s *SessionStore) StartSnapshots() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshotting = true
}

// takeSnapshot takes a snapshot before a change. The caller holds mu.
func (s *SessionStore) takeSnapshot(now time.Time) {
	if !s.snapshotting {
		return
	}
	c := snapshot{
		until: now, revision: s.revision, lastID: s.lastID, values: maps.Clone(s.values), sessions: make(map[int64]openSession, len(s.sessions)),
	}
	for id, session := range s.sessions {
		c.sessions[id] = *session
	}
	s.snapshots = append(s.snapshots, c)
}

// Restore restores the store from a snapshot of the given age. The values of
// other writers, such as operators and targets, are written again as they are
// now. All else that is newer than the snapshot is lost, sessions included, and
// revisions and session numbers are assigned again.
func (s *SessionStore) Restore(age time.Duration, others func(platform.Path) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.values
	s.rollBackTo(age)
	for path, value := range present {
		if others(path) && string(s.values[path].Value) != string(value.Value) {
			s.put(platform.Put{Path: path, Value: value.Value})
		}
	}
}

// rollBackTo restores the snapshot of the given age. The caller holds mu.
func (s *SessionStore) rollBackTo(age time.Duration) {
	at := time.Now().Add(-age)
	s.era++
	i := slices.IndexFunc(s.snapshots, func(c snapshot) bool { return c.until.After(at) })
	if i >= 0 {
		c := s.snapshots[i]
		s.snapshots = s.snapshots[:i]
		s.revision, s.lastID, s.values = c.revision, c.lastID, c.values
		s.sessions = make(map[int64]*openSession, len(c.sessions))
		for id, session := range c.sessions {
			s.sessions[id] = &openSession{ttl: session.ttl, expiry: session.expiry.Add(age)}
		}
	}
	for path, value := range s.values {
		value.Revision = s.era.Revision(value.Revision.Number())
		s.values[path] = value
	}
}

// RollBack is like Restore, but doesn't write the values of other writers
// again.
func (s *SessionStore) RollBack(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rollBackTo(age)
}

// Era returns the present era of the store.
func (s *SessionStore) Era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
