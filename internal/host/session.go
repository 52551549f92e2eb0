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

// renewTimeout bounds one renewal.
const renewTimeout = 600 * time.Millisecond

// session is a session in the store at one moment.
type session struct {
	id platform.SessionID
	// end is when it ends by this host's clock, counted from before the call
	// that renewed it.
	end time.Time
	// restored tells that it has ended because the store came back from an older copy.
	restored bool
}

// sessionKeeper keeps one session in the store. Its times are clock.Now's.
type sessionKeeper struct {
	store platform.SessionStore
	log   *slog.Logger
	// ttl is the length of the session, every the time between two renewals,
	// again the pause after one that failed.
	ttl, interval, retryDelay time.Duration

	// urgent has a token where the next renewal should not wait.
	urgent chan struct{}

	mu      sync.Mutex
	session session
	failing bool
}

// renewNow has the session renewed at once, unless that is being done.
func (k *sessionKeeper) renewNow() {
	select {
	case k.urgent <- struct{}{}:
	default:
	}
}

// current returns the session; it has lapsed where now is past its end.
func (k *sessionKeeper) current() session {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.session
}

// set notes what the store has just said of the session.
func (k *sessionKeeper) set(s session) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.session = s
}

// open opens the session.
func (k *sessionKeeper) open(ctx context.Context) error {
	sent := clock.Now()
	id, err := k.store.Open(ctx, k.ttl)
	if err != nil {
		return err
	}
	k.set(session{id: id, end: sent.Add(k.ttl)})
	return nil
}

// renew renews the session. One that has ended is forgotten.
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

// pause logs a change between renewals that succeed and that fail, and waits
// for the next one.
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
