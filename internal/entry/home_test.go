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
func (c *cluster) sendWithKey(t testing.TB, host int, path, idempotency string) response {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, c.servers[host].URL+path, nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+clerkCredential)
	req.Header.Set(target.HeaderIdempotency, idempotency)
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

// TestDedupAcrossHosts repeats idempotency keys on all entry hosts at once and
// again after the first ended: each runs once and all get its answer.
func TestDedupAcrossHosts(t *testing.T) {
	const hosts, requests = 3, 20
	c := newCluster(t, hosts, withLongTimeout(entry.ShareMixed))
	var wg sync.WaitGroup
	for i := range requests {
		path, idempotency := fmt.Sprintf("/balance/k%d?operation=op-%d", i, i), fmt.Sprint("key-", i)
		answers := make([]response, 2*hosts)
		wg.Go(func() {
			var copies sync.WaitGroup
			for n := range hosts {
				copies.Go(func() { answers[n] = c.sendWithKey(t, n, path, idempotency) })
			}
			copies.Wait()
			for n := range hosts {
				answers[hosts+n] = c.sendWithKey(t, n, path, idempotency)
			}
			for _, a := range answers {
				assert.Check(t, a.outcome == outcome.Done, "%v %v", a.outcome, a.reason)
				assert.Check(t, a.body == answers[0].body)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, c.targets.Ledger.Counts().Runs, uint64(requests))
	assert.Equal(t, c.targets.Ledger.Counts().DuplicateRuns, uint64(0))
}

// TestIdempotencyKeyReused shows that another request with a used key does not run.
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

// TestHomeLost shows that look-ups go on when a home is gone, and that work
// with an idempotency key ends as not-run instead of running elsewhere.
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
	assert.Assert(t, notRun > 0, "host 0 is no target's home")
	assert.Equal(t, c.targets.Ledger.Counts().DuplicateRuns, uint64(0))
}

// TestHomeDrains shows that requests go on elsewhere while a home stops.
func TestHomeDrains(t *testing.T) {
	const hosts = 3
	c := newCluster(t, hosts, withLongTimeout(entry.ShareHome))
	c.entries[0].Drain()
	for i := range 24 {
		end := c.request(http.MethodGet, fmt.Sprintf("%s/balance/k%d", c.servers[1+i%2].URL, i), clerkCredential)
		assert.Equal(t, end, outcome.Done)
	}
	assert.Equal(t, c.targets.Ledger.Counts().Runs, uint64(24))
}
