package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/clock"
	"citrontray.example/citrontray/internal/platform"
)

const renewTimeout = 600 * time.Millisecond

// session is the state of a store session.
type session struct {
	id platform.SessionID
	// end is when the session ends by clock.Now, counted from the sending of the last
	// renewal.
	end time.Time
	// restored is set if the session ended because the store was restored from an older
	// snapshot.
	restored bool
}

// sessionKeeper keeps one session in the store alive. Its times are those of clock.Now.
type sessionKeeper struct {
	store platform.SessionStore
	log   *slog.Logger
	// ttl is the TTL of the session, interval the time between two renewals, retryDelay
	// the delay after a failed one.
	ttl, interval, retryDelay time.Duration

	// urgent receives a token when the next renewal should not wait.
	urgent chan struct{}

	mu      sync.Mutex
	session session
	failing bool
}

// renewNow requests an immediate renewal unless one is requested already.
func (k *sessionKeeper) renewNow() {
	select {
	case k.urgent <- struct{}{}:
	default:
	}
}

// current returns the session. It has expired if now is after its end.
func (k *sessionKeeper) current() session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

// set stores the state of the session after a call.
func (k *sessionKeeper) set(s session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = s
}

func (k *sessionKeeper) open(ctx context.Context) error {
	sent := clock.Now()
	id, err := k.store.Open(ctx, k.ttl)
	if err != nil {
		return err
	}
	k.set(session{id: id, end: sent.Add(k.ttl)})
	return nil
}

// renew renews the session. A session that has ended is dropped.
func (k *sessionKeeper) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, renewTimeout)
	defer cancel()
	s, sent := k.current(), clock.Now()
	err := k.store.KeepAlive(ctx, s.id)
	switch {
	case err == nil:
		s.end = sent.Add(k.ttl)
		k.set(s)
	case errors.Is(err, platform.ErrSessionEnded):
		k.log.Warn("Session has ended.", slog.Int64("session", s.id.Number), slog.Uint64("era", uint64(s.id.Era)))
		k.set(session{restored: errors.Is(err, platform.ErrRestored)})
	}
	return err
}

// pause waits for the next renewal. It logs when renewals start to fail or succeed
// again.
func (k *sessionKeeper) pause(ctx context.Context, err error) {
	if failing := err != nil; failing != k.failing && ctx.Err() == nil {
		k.failing = failing
		s := k.current()
		if failing {
			k.log.Warn("Session not renewed.", slog.Int64("session", s.id.Number),
				millisAttr("left", s.end.Sub(clock.Now())), slog.Any("error", err))
		} else {
			k.log.Info("Session is renewed again.", slog.Int64("session", s.id.Number))
		}
	}
	if err != nil {
		sleep(ctx, k.retryDelay)
		return
	}
	timer := time.NewTimer(k.interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-k.urgent:
	}
}

// run renews the session until it or ctx ends.
func (k *sessionKeeper) run(ctx context.Context) {
	for ctx.Err() == nil && k.current().id != (platform.SessionID{}) {
		k.pause(ctx, k.renew(ctx))
	}
}
