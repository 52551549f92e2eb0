package bench

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

const (
	pollInterval   = 50 * time.Millisecond
	pollTimeout    = time.Second
	maxStatusBytes = 4 << 20
)

// Convergence measures how long accepted revisions of the settings take to be in force at
// each daemon, and counts daemons that went back to an earlier revision.
type Convergence struct {
	platform *fake.Platform
	client   *http.Client
	daemons  []netip.AddrPort

	mu       sync.Mutex
	accepted []acceptedRevision
	seen     map[netip.AddrPort]platform.Revision
	longest  time.Duration
	reverted int
}

// acceptedRevision is a revision with the daemons at which it is not in force yet.
type acceptedRevision struct {
	revision platform.Revision
	at       time.Time
	missing  map[netip.AddrPort]bool
}

// NewConvergence returns a measurement at the given admin addresses.
func NewConvergence(p *fake.Platform, daemons []netip.AddrPort) *Convergence {
	return &Convergence{
		platform: p,
		client:   &http.Client{Timeout: pollTimeout},
		daemons:  daemons,
		seen:     make(map[netip.AddrPort]platform.Revision),
	}
}

// Run polls the store and the daemons until ctx is done.
func (c *Convergence) Run(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		c.recordRevision(time.Now())
		var wg sync.WaitGroup
		for _, daemon := range c.daemons {
			wg.Go(func() { c.poll(ctx, daemon) })
		}
		wg.Wait()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// recordRevision records the revision of the settings in the store, if it is new.
func (c *Convergence) recordRevision(now time.Time) {
	revision, at := c.platform.RevisionOf(settings.StorePath)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n := len(c.accepted); revision == 0 || n > 0 && c.accepted[n-1].revision >= revision {
		return
	}
	next := acceptedRevision{revision: revision, at: at, missing: make(map[netip.AddrPort]bool)}
	if len(c.accepted) == 0 {
		next.at = now // accepted before the measurement
	}
	for _, daemon := range c.daemons {
		next.missing[daemon] = true
	}
	c.accepted = append(c.accepted, next)
}

// poll records the revision that is in force at one daemon.
func (c *Convergence) poll(ctx context.Context, daemon netip.AddrPort) {
	revision, err := c.fetchRevision(ctx, daemon)
	if err != nil {
		return
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision < c.seen[daemon] {
		c.reverted++
	}
	c.seen[daemon] = revision
	for _, a := range c.accepted {
		if revision >= a.revision && a.missing[daemon] {
			delete(a.missing, daemon)
			c.longest = max(c.longest, now.Sub(a.at))
		}
	}
}

// fetchRevision returns the revision in a daemon's status report.
func (c *Convergence) fetchRevision(ctx context.Context, daemon netip.AddrPort) (platform.Revision, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+daemon.String()+"/status", nil)
	if err != nil {
		return 0, err
	}
	response, err := c.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var report struct {
		Revision uint64 `json:"revision"` // reported here or in Settings
		Settings struct {
			Revision uint64 `json:"revision"`
		} `json:"settings"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&report); err != nil {
		return 0, err
	}
	return platform.Revision(max(report.Revision, report.Settings.Revision)), nil
}

// ConvergenceResult is the result of a Convergence.
type ConvergenceResult struct {
	// Longest is the longest time until a revision was in force at a daemon.
	Longest time.Duration
	// Revisions counts the accepted revisions, Missing those that have not been in
	// force at every daemon, Reverted the times that a daemon went back to an earlier
	// revision.
	Revisions, Missing, Reverted int
}

// Result returns the result so far.
func (c *Convergence) Result() ConvergenceResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	result := ConvergenceResult{Longest: c.longest, Revisions: len(c.accepted), Reverted: c.reverted}
	for _, a := range c.accepted {
		if len(a.missing) > 0 {
			result.Missing++
		}
	}
	return result
}
