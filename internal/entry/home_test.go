package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// sendWithKey sends a request with an idempotency key to one entry host.
func (c *cluster) sendWithKey(t testing.TB, host int, path, idempotencyKey string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, c.servers[host].URL+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+clerkCredential)
	req.Header.Set(target.HeaderIdempotency, idempotencyKey)
	resp, err := c.client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return response{
		status: resp.StatusCode, body: string(body),
		outcome: outcome.Outcome(resp.Header.Get(outcome.Header)),
		reason:  outcome.Reason(resp.Header.Get(outcome.HeaderReason)),
	}
}

// TestDedupAcrossHosts sends requests with the same idempotency key to all entry hosts at
// the same time, and again after these completed. It tests that one run serves all.
func TestDedupAcrossHosts(t *testing.T) {
	const hosts, requests = 3, 20
	c := newCluster(t, hosts, withLongTimeout(entry.ShareMixed))
	var wg sync.WaitGroup
	for i := range requests {
		path, idempotencyKey := fmt.Sprintf("/balance/k%d?operation=op-%d", i, i), fmt.Sprint("key-", i)
		responses := make([]response, 2*hosts)
		wg.Go(func() {
			var copies sync.WaitGroup
			for n := range hosts {
				copies.Go(func() { responses[n] = c.sendWithKey(t, n, path, idempotencyKey) })
			}
			copies.Wait()
			for n := range hosts {
				responses[hosts+n] = c.sendWithKey(t, n, path, idempotencyKey)
			}
			for _, a := range responses {
				assert.Check(t, a.outcome == outcome.Done, "%v %v", a.outcome, a.reason)
				assert.Check(t, a.body == responses[0].body)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, c.targets.Ledger.Counts().Runs, uint64(requests))
	assert.Equal(t, c.targets.Ledger.Counts().DuplicateRuns, uint64(0))
}

// TestIdempotencyKeyReused tests that a different request with the idempotency key of an
// earlier one does not run.
func TestIdempotencyKeyReused(t *testing.T) {
	c := newCluster(t, 2, withLongTimeout(entry.ShareMixed))
	assert.Equal(t, c.sendWithKey(t, 0, "/balance/k1?a=1", "key").outcome, outcome.Done)
	for host := range 2 {
		a := c.sendWithKey(t, host, "/balance/k1?a=2", "key")
		assert.Equal(t, a.outcome, outcome.NotRun)
		assert.Equal(t, a.reason, outcome.KeyReused)
	}
	assert.Equal(t, c.targets.Ledger.Counts().Runs, uint64(1))
}

// TestHomeLost tests that idempotent requests are served elsewhere when a home is down,
// and that requests with an idempotency key end as not run instead.
func TestHomeLost(t *testing.T) {
	const hosts = 3
	c := newCluster(t, hosts, withLongTimeout(entry.ShareHome))
	lost := place.HostRow{Host: hostName(0), EntryAddr: c.peers[0].Addr()}
	_ = c.peers[0].Close()
	for host := 1; host < hosts; host++ {
		c.entries[host].RecordHomeUse(lost)
		waitFor(t, func() bool { return c.entries[host].Suspected(lost.Host) })
	}
	notRun := 0
	for i := range 8 {
		req, err := http.NewRequest(http.MethodGet, fmt.Sprintf("%s/balance/k%d", c.servers[1+i%2].URL, i), nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+clerkCredential)
		resp, err := c.client.Do(req)
		assert.NilError(t, err)
		_ = resp.Body.Close()
		assert.Equal(t, resp.Header.Get(outcome.Header), string(outcome.Done))
		a := c.sendWithKey(t, 1+i%2, fmt.Sprintf("/balance/k%d", i), fmt.Sprint("key-", i))
		if a.outcome == outcome.NotRun {
			notRun++
			continue
		}
		assert.Equal(t, a.outcome, outcome.Done)
	}
	assert.Assert(t, notRun > 0, "host 0 is the home of no key")
	assert.Equal(t, c.targets.Ledger.Counts().DuplicateRuns, uint64(0))
}

// TestHomeDrains tests that requests are served elsewhere while a home drains.
func TestHomeDrains(t *testing.T) {
	const hosts = 3
	c := newCluster(t, hosts, withLongTimeout(entry.ShareHome))
	c.entries[0].Drain()
	for i := range 24 {
		got := c.request(http.MethodGet, fmt.Sprintf("%s/balance/k%d", c.servers[1+i%2].URL, i), clerkCredential)
		assert.Equal(t, got, outcome.Done)
	}
	assert.Equal(t, c.targets.Ledger.Counts().Runs, uint64(24))
}
