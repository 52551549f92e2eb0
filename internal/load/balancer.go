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

// EntryHost is one entry host as the balancer knows it.
type EntryHost struct {
	// Callers is where requests go, Admin where readiness is asked.
	Callers netip.AddrPort
	Admin   netip.AddrPort
}

// Balancer stands in for the platform's balancer: it hands out the entry
// hosts that say they are ready, in turn. Safe for concurrent use.
type Balancer struct {
	client *http.Client
	next   atomic.Uint64

	mu    sync.Mutex
	hosts []EntryHost
	ready []netip.AddrPort
}

// NewBalancer returns a balancer that knows no host to be ready yet.
func NewBalancer(hosts []EntryHost) *Balancer {
	return &Balancer{hosts: hosts, client: &http.Client{Timeout: readyTimeout}}
}

// Run asks for readiness until ctx ends.
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

// Refresh asks every host once and returns the number of ready ones.
func (b *Balancer) Refresh(ctx context.Context) int {
	b.mu.Lock()
	hosts := b.hosts
	b.mu.Unlock()
	states := make([]bool, len(hosts))
	var wg sync.WaitGroup
	for i, host := range hosts {
		wg.Go(func() { states[i] = b.ask(ctx, host) })
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

func (b *Balancer) ask(ctx context.Context, host EntryHost) bool {
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
