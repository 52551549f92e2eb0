package host

import (
	"context"
	"errors"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// countedStore counts the calls to the store: each has its price. Hosts make no
// other ones.
type countedStore struct {
	platform.SessionStore

	metrics *metrics

	mu sync.Mutex
	// asked is when the store was last called, answered when it last answered.
	asked, answered time.Time
}

// callsStopped is how long after its last call a host counts as one that does
// not ask the store.
const callsStopped = 10 * time.Second

// answeredAt returns when the store last answered this host, zero where the host
// has not asked it lately.
func (s *countedStore) answeredAt(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.asked) > callsStopped {
		return time.Time{}
	}
	return s.answered
}

// called notes a call that has ended.
func (s *countedStore) called(kind string, err error) {
	s.metrics.called(kind, err)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.asked = now
	if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrUnknown) {
		s.answered = now
	}
}

func (s *countedStore) Get(ctx context.Context, path platform.Path) (platform.Entry, error) {
	e, err := s.SessionStore.Get(ctx, path)
	s.called("get", err)
	return e, err
}

func (s *countedStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.SessionStore.List(ctx, prefix)
	s.called("list", err)
	return entries, revision, err
}

func (s *countedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	revision, err := s.SessionStore.Commit(ctx, txn)
	s.called("commit", err)
	return revision, err
}

func (s *countedStore) Open(ctx context.Context, ttl time.Duration) (platform.SessionID, error) {
	id, err := s.SessionStore.Open(ctx, ttl)
	s.called("open", err)
	return id, err
}

func (s *countedStore) Keep(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.Keep(ctx, id)
	s.called("keep", err)
	return err
}

func (s *countedStore) End(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.End(ctx, id)
	s.called("end", err)
	return err
}

// callResult names how a call ended in metrics.
func callResult(err error) string {
	var conflict *platform.TxnConflictError
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, platform.ErrNotFound):
		return "missing"
	case errors.As(err, &conflict):
		return "conflict"
	case errors.Is(err, platform.ErrSessionEnded):
		return "ended"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}
