package host

import (
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// dialTimeout bounds a new connection to a target. A lost packet costs a
	// second in any case; a machine that is there answers in milliseconds.
	dialTimeout = 300 * time.Millisecond
	// poolUnused is how long the connections to an unused address are kept.
	poolUnused = 15 * time.Second
	// connectionShare is the part of a target's connections that requests
	// use; orders and probes need some as well.
	connectionShare = 0.7
	// leastConnections is what a host may always open: one request and one
	// more while the last one's connection is still being closed.
	leastConnections = 3
)

// pools holds the connections to all targets. Safe for concurrent use.
type pools struct {
	dial forward.Dial

	mu    sync.Mutex
	hosts int
	byAt  map[netip.AddrPort]*pooled
}

type pooled struct {
	*forward.Pool

	used time.Time
}

func newPools(dial forward.Dial) *pools {
	return &pools{dial: dial, hosts: 1, byAt: make(map[netip.AddrPort]*pooled)}
}

// setHosts tells how many hosts share the connections of each target.
func (p *pools) setHosts(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(n, 1)
}

// get returns the pool of a target's address.
func (p *pools) get(addr netip.AddrPort, service *traffic.Service) *forward.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAt[addr]
	if pool == nil {
		share := int(connectionShare * float64(service.MaxConnections) / float64(p.hosts))
		pool = &pooled{Pool: forward.New(forward.Config{
			Addr: addr, MaxOpen: max(share, leastConnections), Dial: p.dial, DialTimeout: dialTimeout,
		})}
		p.byAt[addr] = pool
	}
	pool.used = time.Now()
	return pool.Pool
}

// sweep closes the connections to addresses that were not used for a while.
func (p *pools) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, pool := range p.byAt {
		if now.Sub(pool.used) > poolUnused {
			pool.Close()
			delete(p.byAt, addr)
		}
	}
}

// close closes all idle connections.
func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAt {
		pool.Close()
	}
}
