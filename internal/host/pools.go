package host

import (
	"context"
	"errors"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// dialTimeout limits a new connection to a target. TCP resends a lost SYN only after
	// a second, while a reachable machine responds within milliseconds.
	dialTimeout = 300 * time.Millisecond
	// poolIdleTimeout is how long connections to an unused address are kept.
	poolIdleTimeout = 15 * time.Second
	// connectionShare is the share of a target's connections used for requests. Orders
	// and probes need the rest.
	connectionShare = 0.7
	// minConnections is the number of connections to a target that a host may always
	// open: two for requests, and one that is still closing.
	minConnections = 3
)

// connPools holds the connection pools of all targets. Safe for concurrent use.
type connPools struct {
	dial forward.Dial

	mu     sync.Mutex
	hosts  int
	byAddr map[netip.AddrPort]*connPool
}

type connPool struct {
	*forward.Pool

	usedAt time.Time
}

func newConnPools(dial forward.Dial) *connPools {
	return &connPools{dial: dial, hosts: 1, byAddr: make(map[netip.AddrPort]*connPool)}
}

// setHosts sets how many hosts share the connections of each target.
func (p *connPools) setHosts(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = max(n, 1)
}

// get returns the connection pool of a target's address.
func (p *connPools) get(addr netip.AddrPort, service *traffic.Service) *forward.Pool {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool := p.byAddr[addr]
	if pool == nil {
		share := int(connectionShare * float64(service.MaxConnections) / float64(p.hosts))
		pool = &connPool{Pool: forward.New(forward.Config{
			Addr: addr, MaxOpen: max(share, minConnections), Dial: p.dial, DialTimeout: dialTimeout,
		})}
		p.byAddr[addr] = pool
	}
	pool.usedAt = time.Now()
	return pool.Pool
}

// errNoService is returned for a target of a service that is not configured here.
var errNoService = errors.New("host: service is not configured")

// checkTarget opens a connection to a target, which the next request uses, to find out
// whether the target accepts any.
func (h *Host) checkTarget(ctx context.Context, now time.Time, row place.TargetRow) error {
	v := h.views.view()
	if v.routes == nil {
		return errNoService
	}
	service := v.routes.Service(key.Service(row.Service))
	if service == nil {
		return errNoService
	}
	return h.connPools.get(row.Addr, service).Check(ctx, now)
}

// closeIdle closes the idle connections to an address.
func (p *connPools) closeIdle(addr netip.AddrPort) {
	p.mu.Lock()
	pool := p.byAddr[addr]
	p.mu.Unlock()
	if pool != nil {
		pool.CloseIdle()
	}
}

// closeUnused closes the pools of addresses that were not used for a while.
func (p *connPools) closeUnused(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, pool := range p.byAddr {
		if now.Sub(pool.usedAt) > poolIdleTimeout {
			pool.Close()
			delete(p.byAddr, addr)
		}
	}
}

// close closes all idle connections.
func (p *connPools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pool := range p.byAddr {
		pool.Close()
	}
}
