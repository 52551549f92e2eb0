package load

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	readyPath     = "/ready"
	readyInterval = 200 * time.Millisecond
	readyTimeout  = time.Second
)

// EntryHost holds the addresses of an entry host.
type EntryHost struct {
	// Callers is the address for requests, Admin the one for readiness checks.
	Callers netip.AddrPort
	Admin   netip.AddrPort
}

// Balancer is a fake of the platform's load balancer: it selects ready entry hosts round
// robin. It is safe for concurrent use.
type Balancer struct {
	client *http.Client
	next   atomic.Uint64

	mu    sync.Mutex
	hosts []EntryHost
	ready []netip.AddrPort
}

// NewBalancer returns a balancer that considers no host ready yet.
func NewBalancer(hosts []EntryHost) *Balancer {
	return &Balancer{hosts: hosts, client: &http.Client{Timeout: readyTimeout}}
}

// Run checks the hosts' readiness until ctx is done.
func (b *Balancer) Run(ctx context.Context) error {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for {
		b.Refresh(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Refresh checks every host once and returns the number of ready ones.
func (b *Balancer) Refresh(ctx context.Context) int {
	b.mu.Lock()
	hosts := b.hosts
	b.mu.Unlock()
	states := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() { states[i] = b.isReady(ctx, host) })
	}
	wg.Wait()
	var ready []netip.AddrPort
	for i, host := range hosts {
		if states[i] {
			ready = append(ready, host.Callers)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = ready
	return len(ready)
}

func (b *Balancer) isReady(ctx context.Context, host EntryHost) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host.Admin.String()+readyPath, nil)
	if err != nil {
		return false
	}
	response, err := b.client.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Pick returns the next ready host.
func (b *Balancer) Pick() (netip.AddrPort, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ready) == 0 {
		return netip.AddrPort{}, false
	}
	return b.ready[b.next.Add(1)%uint64(len(b.ready))], true
}
