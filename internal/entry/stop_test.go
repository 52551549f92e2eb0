package entry_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/entry"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/target"
)

// TestGracefulStop stops an entry host under load. It tests that responses announce the
// end of their connection, that no connection is broken off, and that requests in flight
// complete.
func TestGracefulStop(t *testing.T) {
	const callers = 20
	started, free := make(chan struct{}), make(chan struct{})
	f := newFixture(t, nil)
	owner := newFakeTarget(t, func(c net.Conn, r *http.Request, id string) bool {
		if r.URL.Path == "/plan/slow" {
			close(started)
			<-free
		}
		writeResponse(c, id, "whole")
		return true
	})
	f.setOwner(owner.addr())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := entry.NewServer(f.entry, l)
	served := make(chan error, 1)
	go func() { served <- server.Run() }()
	var done, brokenOff atomic.Int64
	var wg sync.WaitGroup
	post := func(client *http.Client, key string) bool {
		req, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s/plan/%s", l.Addr(), key), http.NoBody)
		assert.Check(t, err)
		req.Header.Set("Authorization", "Bearer "+clerkCredential)
		resp, err := client.Do(req)
		if err != nil {
			t.Log(err)
			brokenOff.Add(1)
			return false
		}
		_, _ = io.Copy(io.Discard, resp.Body) // otherwise the connection is not reused
		_ = resp.Body.Close()
		if resp.Header.Get(outcome.Header) == string(outcome.Done) {
			done.Add(1)
		}
		return !resp.Close // like a load balancer, which stops sending when /ready fails
	}
	for i := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections() // a second connection may have been dialed
			for n := 0; post(client, fmt.Sprintf("k%d-%d", i, n)); n++ {
			}
		})
	}
	wg.Go(func() {
		client := &http.Client{Transport: &http.Transport{}}
		defer client.CloseIdleConnections()
		post(client, "slow")
	})
	<-started
	waitFor(t, func() bool { return done.Load() > 200 })
	f.entry.Drain()
	assert.Assert(t, !f.entry.Ready())
	stopped := make(chan error, 1)
	waitFor(t, func() bool { return f.entry.Waiting() == 0 })
	go func() { stopped <- server.Stop(context.Background(), time.Minute) }()
	assert.NilError(t, <-served)
	close(free)
	wg.Wait()
	assert.NilError(t, <-stopped)
	assert.Equal(t, brokenOff.Load(), int64(0))
	assert.Equal(t, int64(owner.totalRuns()), done.Load())
}

// TestRetryBudget gives one of four shards to a target that can't be reached. It tests
// that there are no more failed attempts than requests that did not run, plus a tenth of
// all requests and the initial burst.
func TestRetryBudget(t *testing.T) {
	const requests, burst = 600, 20
	owner := newFakeTarget(t, nil)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	var failed atomic.Int64
	f := newFixture(t, func(c *entryConfig) {
		c.ParkTimeout = 50 * time.Millisecond
		c.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
			if addr == unreachable {
				failed.Add(1)
				return nil, errors.New("refused")
			}
			return forward.DialTCP(ctx, addr)
		}
	})
	s := testTable(plan, owner.addr())
	s.Targets = append(s.Targets, table.Target{Name: "gone", Addr: unreachable})
	s.Rows[0].Owner = 1
	f.replica.putTable(s)
	var wg sync.WaitGroup
	var ended [3]atomic.Int64 // requests by outcome: done, not run, unknown
	for i := range requests {
		wg.Go(func() {
			a := f.call("POST", fmt.Sprintf("/plan/k%d", i), "", target.HeaderDeadline, "200")
			at := strings.Index("done   not-rununknown", string(a.outcome)) / 7
			ended[at].Add(1)
		})
		if i%50 == 0 {
			wg.Wait()
		}
	}
	wg.Wait()
	assert.Equal(t, ended[2].Load(), int64(0), "unknown")
	assert.Assert(t, ended[0].Load() > 0)
	assert.Equal(t, int64(owner.totalRuns()), ended[0].Load())
	assert.Assert(t, failed.Load() <= ended[1].Load()+requests/10+burst+1, "attempts %d, not run %d", failed.Load(), ended[1].Load())
	t.Logf("requests %d, done %d, failed attempts %d", requests, ended[0].Load(), failed.Load())
}
