package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// countedStore counts the calls to the store: each has its price. Hosts make no
// other ones.
type countedStore struct {
	platform.SessionStore

	metrics *metrics
	log     *slog.Logger

	mu sync.Mutex
	// asked is when the store was last called, answered when it last answered.
	asked, answered time.Time
	// first is the era of the first answer, era the latest of any.
	first, era platform.Era
	heard      bool
}

// eras returns the era of the first answer of the store, and the latest of any.
func (s *countedStore) eras() (first, latest platform.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.first, s.era
}

// hear notes the era of an answer, and logs a rise.
func (s *countedStore) hear(era platform.Era) {
	s.mu.Lock()
	before, rise := s.era, s.heard && era > s.era
	if !s.heard {
		s.first, s.heard = era, true
	}
	s.era = max(s.era, era)
	s.mu.Unlock()
	if rise {
		s.metrics.restored()
		s.log.Warn("Store has come back from an older copy.", slog.Uint64("era", uint64(era)), slog.Uint64("before", uint64(before)))
	}
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
	if err == nil {
		s.hear(e.Revision.Era())
	}
	return e, err
}

func (s *countedStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.SessionStore.List(ctx, prefix)
	s.called("list", err)
	if err == nil {
		s.hear(revision.Era())
	}
	return entries, revision, err
}

func (s *countedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	revision, err := s.SessionStore.Commit(ctx, txn)
	s.called("commit", err)
	if err == nil {
		s.hear(revision.Era())
	}
	return revision, err
}

func (s *countedStore) Open(ctx context.Context, ttl time.Duration) (platform.SessionID, error) {
	id, err := s.SessionStore.Open(ctx, ttl)
	s.called("open", err)
	if err == nil {
		s.hear(id.Era)
	}
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
	case errors.Is(err, platform.ErrRestored):
		return "restored"
	case errors.Is(err, platform.ErrUnavailable):
		return "unavailable"
	}
	return "unknown"
}
