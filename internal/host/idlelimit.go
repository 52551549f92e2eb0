package host

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
)

const (
	// idleLimitRatio scales the idle time of a connection that was found dead to the
	// limit for the others of its service. Targets differ in when they drop idle
	// connections.
	idleLimitRatio = 0.5
	// minDeadIdle is the shortest idle time that counts as the cause. With a shorter
	// one the connection is assumed to have broken during its request.
	minDeadIdle = 200 * time.Millisecond
	// idleLimitTTL is how long after the last dead connection a limit applies.
	idleLimitTTL = 20 * time.Second
)

// idleLimits limits how long a connection to a service's targets may have been idle to
// be reused. Some targets drop idle connections without closing them: the next request
// is reset, may have run, and is lost if it can't be retried. Safe for concurrent use.
type idleLimits struct {
	mu       sync.Mutex
	services map[key.Service]*idleLimit
}

type idleLimit struct {
	idle  time.Duration
	until time.Time
}

func newIdleLimits() *idleLimits { return &idleLimits{services: make(map[key.Service]*idleLimit)} }

// limit returns the longest idle time, zero for no limit.
func (l *idleLimits) limit(now time.Time, service key.Service) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.services[service]; s != nil && now.Before(s.until) {
		return s.idle
	}
	return 0
}

// observe records the result of a request. It reports whether the limit was set to a
// value from this result.
func (l *idleLimits) observe(now time.Time, service key.Service, result forward.Result) bool {
	u, ok := result.(forward.Uncertain)
	if !ok || u.Idle < minDeadIdle || u.Reason != outcome.AnswerCut && u.Reason != outcome.SendCut {
		return false
	}
	idle := max(time.Duration(idleLimitRatio*float64(u.Idle)), minDeadIdle/2)
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.services[service]
	if s == nil {
		s = &idleLimit{}
		l.services[service] = s
	}
	if now.After(s.until) || idle < s.idle {
		s.idle = idle
	}
	s.until = now.Add(idleLimitTTL)
	return s.idle == idle
}
