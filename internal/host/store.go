package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// instrumentedStore counts the calls to the store, which are billed, and tracks the
// store's era. All store calls of a host go through it.
type instrumentedStore struct {
	platform.SessionStore

	metrics *metrics
	log     *slog.Logger

	mu sync.Mutex
	// calledAt is when the last call ended, respondedAt when the last one with a response
	// did.
	calledAt, respondedAt time.Time
	// firstEra is the era of the first response, latestEra the latest of all.
	firstEra, latestEra platform.Era
	hasEra              bool
}

// eras returns the era of the first response and the latest of all.
func (s *instrumentedStore) eras() (first, latest platform.Era) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.firstEra, s.latestEra
}

// observeEra records the era of a response. An era later than all before means that the
// store was restored from an older snapshot, which is counted and logged.
func (s *instrumentedStore) observeEra(era platform.Era) {
	s.mu.Lock()
	before, restored := s.latestEra, s.hasEra && era > s.latestEra
	if !s.hasEra {
		s.firstEra, s.hasEra = era, true
	}
	s.latestEra = max(s.latestEra, era)
	s.mu.Unlock()
	if restored {
		s.metrics.countRestore()
		s.log.Warn("Store was restored from an older snapshot.", slog.Uint64("era", uint64(era)), slog.Uint64("before", uint64(before)))
	}
}

// callActivityTime is how long after its last call a host counts as a user of the
// store.
const callActivityTime = 10 * time.Second

// lastResponse returns the time of the store's last response, zero if this host has not
// called it recently.
func (s *instrumentedStore) lastResponse(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.calledAt) > callActivityTime {
		return time.Time{}
	}
	return s.respondedAt
}

// recordCall records the end of a call.
func (s *instrumentedStore) recordCall(kind string, err error) {
	s.metrics.countCall(kind, err)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calledAt = now
	if !errors.Is(err, platform.ErrUnavailable) && !errors.Is(err, platform.ErrOutcomeUnknown) {
		s.respondedAt = now
	}
}

func (s *instrumentedStore) Get(ctx context.Context, path platform.Path) (platform.Entry, error) {
	e, err := s.SessionStore.Get(ctx, path)
	s.recordCall("get", err)
	if err == nil {
		s.observeEra(e.Revision.Era())
	}
	return e, err
}

func (s *instrumentedStore) List(ctx context.Context, prefix platform.Path) ([]platform.Entry, platform.Revision, error) {
	entries, revision, err := s.SessionStore.List(ctx, prefix)
	s.recordCall("list", err)
	if err == nil {
		s.observeEra(revision.Era())
	}
	return entries, revision, err
}

func (s *instrumentedStore) Commit(ctx context.Context, txn platform.Txn) (platform.Revision, error) {
	revision, err := s.SessionStore.Commit(ctx, txn)
	s.recordCall("commit", err)
	if err == nil {
		s.observeEra(revision.Era())
	}
	return revision, err
}

func (s *instrumentedStore) Open(ctx context.Context, ttl time.Duration) (platform.SessionID, error) {
	id, err := s.SessionStore.Open(ctx, ttl)
	s.recordCall("open", err)
	if err == nil {
		s.observeEra(id.Era)
	}
	return id, err
}

func (s *instrumentedStore) KeepAlive(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.KeepAlive(ctx, id)
	s.recordCall("keep", err)
	return err
}

func (s *instrumentedStore) End(ctx context.Context, id platform.SessionID) error {
	err := s.SessionStore.End(ctx, id)
	s.recordCall("end", err)
	return err
}

// callResult returns the metric label for the result of a call.
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
