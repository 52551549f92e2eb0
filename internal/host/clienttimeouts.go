package host

import (
	"sync"
	"time"

	"citrontray.example/citrontray/internal/traffic"
)

// clientTimeouts holds the longest timeout that clients sent for each route. Clients of
// one kind send the same timeout with their first attempt; a shorter one means that the
// client is retrying. Safe for concurrent use.
type clientTimeouts struct {
	mu     sync.Mutex
	routes map[traffic.RouteName]time.Duration
}

func newClientTimeouts() *clientTimeouts {
	return &clientTimeouts{routes: make(map[traffic.RouteName]time.Duration)}
}

// observe records a client's timeout and returns the usual one of the route.
func (c *clientTimeouts) observe(route traffic.RouteName, timeout time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := max(c.routes[route], timeout)
	c.routes[route] = longest
	return longest
}
