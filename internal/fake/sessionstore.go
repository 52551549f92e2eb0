package fake

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// SessionFaults are the present faults of a SessionStore.
type SessionFaults struct {
	// Down makes all calls fail, while sessions expire as usual.
	Down bool
	// Delay is added to each call.
	Delay time.Duration
	// LoseEveryNth makes every nth write take effect without a response,
	// CommitDelay after its arrival.
	LoseEveryNth int
	CommitDelay  time.Duration
	// ExpireSessions ends all sessions.
	ExpireSessions bool
}

// SessionStore is a fake of a store with sessions and transactions, in memory.
// It implements platform.SessionStore. It is safe for concurrent use.
type SessionStore struct {
	mu       sync.Mutex
	era      platform.Era
	revision uint64
	values   map[platform.Path]sessionValue
	sessions map[int64]*openSession
	lastID   int64
	// snapshots are sorted by age, the oldest first; they are taken while
	// snapshotting is set.
	snapshots    []snapshot
	snapshotting bool
	changes      []platform.Change
	changed      chan struct{} // closed at the next change
	faults       SessionFaults
	writes       int
	calls        int
}

type sessionValue struct {
	platform.Entry

	session int64
}

type openSession struct {
	ttl    time.Duration
	expiry time.Time
}

var _ platform.SessionStore = (*SessionStore)(nil)

// NewSessionStore returns an empty store without faults.
func NewSessionStore() *SessionStore {
	return &SessionStore{
		values:   make(map[platform.Path]sessionValue),
		sessions: make(map[int64]*openSession),
		changed:  make(chan struct{}),
	}
}

// SetFaults replaces the faults. ExpireSessions takes effect once, at this
// moment.
func (s *SessionStore) SetFaults(f SessionFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	if f.ExpireSessions {
		for id := range s.sessions {
			s.end(id)
		}
	}
}

// Calls returns the number of calls so far.
func (s *SessionStore) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// beginCall counts a call and injects faults into it.
func (s *SessionStore) beginCall(ctx context.Context) error {
	s.mu.Lock()
	s.calls++
	f := s.faults
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return platform.ErrUnavailable
		}
	}
	if f.Down {
		return platform.ErrUnavailable
	}
	return nil
}

// expire ends the sessions that have expired. The caller holds mu.
func (s *SessionStore) expire(now time.Time) {
	for id, session := range s.sessions {
		if now.After(session.expiry) {
			s.end(id)
		}
	}
}

// end removes a session and its values. The caller holds mu.
func (s *SessionStore) end(id int64) {
	delete(s.sessions, id)
	for path, value := range s.values {
		if value.session == id {
			s.remove(path)
		}
	}
}

func (s *SessionStore) remove(path platform.Path) {
	if _, ok := s.values[path]; !ok {
		return
	}
	s.takeSnapshot(time.Now())
	s.revision++
	delete(s.values, path)
	s.appendChange(platform.Change{Entry: platform.Entry{Path: path, Revision: s.era.Revision(s.revision)}, Deleted: true})
}

func (s *SessionStore) appendChange(c platform.Change) {
	s.changes = append(s.changes, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Set writes a value on behalf of another writer, such as an operator or a
// target.
func (s *SessionStore) Set(path platform.Path, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(platform.Put{Path: path, Value: value})
}

// Remove removes a value on behalf of another writer.
func (s *SessionStore) Remove(path platform.Path) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(path)
}

func (s *SessionStore) put(p platform.Put) {
	s.takeSnapshot(time.Now())
	s.revision++
	e := platform.Entry{Path: p.Path, Value: slices.Clone(p.Value), Revision: s.era.Revision(s.revision)}
	s.values[p.Path] = sessionValue{e, p.Session.Number}
	s.appendChange(platform.Change{Entry: e})
}

// Get implements platform.SessionStore.
func (s *SessionStore) Get(ctx context.Context, path platform.Path) (platform.Entry, error) {
	if err := s.beginCall(ctx); err != nil {
		return platform.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	value, ok := s.values[path]
	if !ok {
		return platform.Entry{}, platform.ErrNotFound
	}
	return value.Entry, nil
}

// List implements platform.SessionStore.
func (s *SessionStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	var out []platform.Entry
	for path, value := range s.values {
		if strings.HasPrefix(string(path), string(prefix)) {
			out = append(out, value.Entry)
		}
	}
	slices.SortFunc(out, func(a, b platform.Entry) int { return strings.Compare(string(a.Path), string(b.Path)) })
	return out, s.era.Revision(s.revision), nil
}

// Watch implements platform.SessionStore.
func (s *SessionStore) Watch(ctx context.Context, prefix platform.Path, from platform.Revision, wait time.Duration) ([]platform.Change, platform.Revision, error) {
	if err := s.beginCall(ctx); err != nil {
		return nil, from, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		s.expire(time.Now())
		var out []platform.Change
		for _, c := range s.changes {
			if c.Revision > from && strings.HasPrefix(string(c.Path), string(prefix)) {
				out = append(out, c)
			}
		}
		revision, changed, era := s.era.Revision(s.revision), s.changed, s.era
		s.mu.Unlock()
		if era != from.Era() {
			return nil, from, platform.ErrTooOld
		}
		if len(out) > 0 {
			return out, revision, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil, revision, nil
		case <-ctx.Done():
			return nil, from, platform.ErrUnavailable
		}
	}
}

// Commit implements platform.SessionStore.
func (s *SessionStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	if err := s.beginCall(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	s.writes++
	f := s.faults
	lost := f.LoseEveryNth > 0 && s.writes%f.LoseEveryNth == 0
	s.mu.Unlock()
	if !lost {
		return s.commit(txn)
	}
	// The caller doesn't learn the outcome.
	if f.CommitDelay > 0 {
		time.AfterFunc(f.CommitDelay, func() { _, _ = s.commit(txn) })
	} else {
		_, _ = s.commit(txn)
	}
	return 0, platform.ErrOutcomeUnknown
}

func (s *SessionStore) commit(txn platform.Txn) (platform.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	for _, p := range txn.Put {
		if p.Session != (platform.SessionID{}) && s.sessions[p.Session.Number] == nil {
			return 0, platform.ErrSessionEnded
		}
	}
	holds, restored := true, false
	for _, c := range txn.If {
		restored = restored || c.Revision != 0 && c.Revision.Era() != s.era
		holds = holds && s.values[c.Path].Revision.Number() == c.Revision.Number()
	}
	if !holds && restored {
		return 0, platform.ErrRestored
	}
	if !holds {
		conflict := &platform.TxnConflictError{}
		for _, c := range txn.If {
			if value, ok := s.values[c.Path]; ok {
				conflict.Current = append(conflict.Current, value.Entry)
			}
		}
		return 0, conflict
	}
	for _, p := range txn.Put {
		s.put(p)
	}
	for _, path := range txn.Remove {
		s.remove(path)
	}
	// All values that a transaction writes have its revision.
	for _, p := range txn.Put {
		value := s.values[p.Path]
		value.Revision = s.era.Revision(s.revision)
		s.values[p.Path] = value
	}
	if restored {
		return 0, platform.ErrRestored
	}
	return s.era.Revision(s.revision), nil
}

// Open implements platform.SessionStore.
func (s *SessionStore) Open(ctx context.Context, ttl time.Duration) (platform.SessionID, error) {
	if err := s.beginCall(ctx); err != nil {
		return platform.SessionID{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	s.sessions[s.lastID] = &openSession{ttl: ttl, expiry: time.Now().Add(ttl)}
	return platform.SessionID{Era: s.era, Number: s.lastID}, nil
}

// KeepAlive implements platform.SessionStore. A store identifies a session by
// its number alone, so a session of an earlier era renews a present one of that
// number; the error then reports the other era.
func (s *SessionStore) KeepAlive(ctx context.Context, id platform.SessionID) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	session := s.sessions[id.Number]
	if session == nil && id.Era != s.era {
		return platform.ErrSessionLost
	}
	if session == nil {
		return platform.ErrSessionEnded
	}
	session.expiry = time.Now().Add(session.ttl)
	if id.Era != s.era {
		return platform.ErrSessionLost
	}
	return nil
}

// End implements platform.SessionStore.
func (s *SessionStore) End(ctx context.Context, id platform.SessionID) error {
	if err := s.beginCall(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if id.Era == s.era {
		s.end(id.Number)
	}
	return nil
}
