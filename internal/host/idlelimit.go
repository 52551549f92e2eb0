package host

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
)

const (
	// idleLimitRatio is the part of the time after which a kept connection was
	// found dead up to which others of the service are still used: targets
	// differ in when they forget a connection.
	idleLimitRatio = 0.5
	// minDeadIdle is the shortest such time. A connection that breaks sooner
	// has broken under its request.
	minDeadIdle = 200 * time.Millisecond
	// idleLimitTTL is how long after the last such find all are used again.
	idleLimitTTL = 20 * time.Second
)

// idleLimits tells how long a connection to a service's targets may have been idle
// to be used again. It answers targets that forget idle connections without a
// word: what is sent next is reset, may have run for all one knows, and is lost
// if it can't be repeated. Safe for concurrent use.
type idleLimits struct {
	mu       sync.Mutex
	services map[key.Service]*idleLimit
}

type idleLimit struct {
	idle  time.Duration
	until time.Time
}

func newIdleLimits() *idleLimits { return &idleLimits{services: make(map[key.Service]*idleLimit)} }

// limit returns the longest idle time, zero for any.
func (t *idleLimits) limit(now time.Time, service key.Service) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.services[service]; s != nil && now.Before(s.until) {
		return s.idle
	}
	return 0
}

// observe takes the end of a request and reports whether it changed the time.
func (t *idleLimits) observe(now time.Time, service key.Service, result forward.Result) bool {
	u, ok := result.(forward.Uncertain)
	if !ok || u.Idle < minDeadIdle || u.Reason != outcome.AnswerCut && u.Reason != outcome.SendCut {
		return false
	}
	idle := max(time.Duration(idleLimitRatio*float64(u.Idle)), minDeadIdle/2)
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[service]
	if s == nil {
		s = &idleLimit{}
		t.services[service] = s
	}
	if now.After(s.until) || idle < s.idle {
		s.idle = idle
	}
	s.until = now.Add(idleLimitTTL)
	return s.idle == idle
}
