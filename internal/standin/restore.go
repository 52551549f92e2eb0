package standin

import (
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// sessionsCopy is a Sessions as it was before a change.
type sessionsCopy struct {
	// until is when the change came.
	until    time.Time
	revision uint64
	last     int64
	values   map[platform.Path]sessionValue
	sessions map[int64]openSession
}

// StartCopying has copies taken from now on, to be restored from.
func (s *Sessions) StartCopying() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copying = true
}

// copy takes a copy before a change. The caller holds mu.
func (s *Sessions) copy(now time.Time) {
	if !s.copying {
		return
	}
	c := sessionsCopy{
		until: now, revision: s.revision, last: s.last, values: maps.Clone(s.values), sessions: make(map[int64]openSession, len(s.sessions)),
	}
	for id, session := range s.sessions {
		c.sessions[id] = *session
	}
	s.copies = append(s.copies, c)
}

// Restore goes back to what was there so long ago. What others than the hosts wrote
// since, operators and targets, is written again; all else is gone, sessions too, and
// revisions and session numbers are given out again.
func (s *Sessions) Restore(age time.Duration, others func(platform.Path) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := s.values
	s.back(age)
	for path, value := range present {
		if others(path) && string(s.values[path].Value) != string(value.Value) {
			s.put(platform.Put{Path: path, Value: value.Value})
		}
	}
}

// back goes back to the copy of that age. The caller holds mu.
func (s *Sessions) back(age time.Duration) {
	at := time.Now().Add(-age)
	s.era++
	i := slices.IndexFunc(s.copies, func(c sessionsCopy) bool { return c.until.After(at) })
	if i >= 0 {
		c := s.copies[i]
		s.copies = s.copies[:i]
		s.revision, s.last, s.values = c.revision, c.last, c.values
		s.sessions = make(map[int64]*openSession, len(c.sessions))
		for id, session := range c.sessions {
			s.sessions[id] = &openSession{ttl: session.ttl, end: session.end.Add(age)}
		}
	}
	for path, value := range s.values {
		value.Revision = s.era.Revision(value.Revision.Number())
		s.values[path] = value
	}
}

// RestoreAll is Restore where operators and targets have not written again yet.
func (s *Sessions) RestoreAll(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.back(age)
}

// Era returns the era of the store.
func (s *Sessions) Era() platform.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}
