package host

import (
	"context"
	"errors"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// countedStore counts the calls to the store: each has its price. Hosts make no
// other ones.
type countedStore struct {
	platform.SessionStore

	metrics *metrics
}

func (s *countedStore) Get(ctx context.Context, path platform.Path) (platform.Entry, error) {
	e, err := s.SessionStore.Get(ctx, path)
	s.metrics.called("get", err)
	return e, err
}

func (s *countedStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.SessionStore.List(ctx, prefix)
	s.metrics.called("list", err)
	return entries, revision, err
}

func (s *countedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	revision, err := s.SessionStore.Commit(ctx, txn)
	s.metrics.called("commit", err)
	return revision, err
}

func (s *countedStore) Open(ctx context.Context, ttl time.Duration) (platform.SessionID, error) {
	id, err := s.SessionStore.Open(ctx, ttl)
	s.metrics.called("open", err)
	return id, err
}

func (s *countedStore) Keep(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.Keep(ctx, id)
	s.metrics.called("keep", err)
	return err
}

func (s *countedStore) End(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.End(ctx, id)
	s.metrics.called("end", err)
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
