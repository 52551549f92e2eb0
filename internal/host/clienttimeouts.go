package host

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/traffic"
)

// clientTimeouts remembers the longest time that clients of each route give.
// Clients of one kind give the same at their first try; one that gives less
// has been here before. Safe for concurrent use.
type clientTimeouts struct {
	mu     sync.Mutex
	routes map[traffic.RouteName]time.Duration
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{routes: make(map[traffic.RouteName]time.Duration)}
}

// observe notes a time and returns the usual one.
func (p *clientTimeouts) observe(route traffic.RouteName, left time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := max(p.routes[route], left)
	p.routes[route] = usual
	return usual
}
