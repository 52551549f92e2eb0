package host

import (
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// TestServesBothKinds sends requests for both kinds of service through three hosts.
func TestServesBothKinds(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 3, 2)
	d.awaitServed()
	tests := map[string]struct {
		path   string
		point  key.Point
		status int
	}{
		"ranged":      {"/keys/7", 40000, http.StatusOK},
		"keyless":     {"/free/7", 0, http.StatusOK},
		"no route":    {"/nothing/7", 0, http.StatusNotFound},
		"no such key": {"/keys/7", key.Points, http.StatusBadRequest},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			a := d.send(d.hosts[0], "GET", test.path, test.point)
			assert.NilError(t, a.err)
			assert.Equal(t, a.status, test.status, a.body)
		})
	}
}

// TestRetriesAreBudgeted: while every target refuses requests as misdirected, the
// retries of all hosts stay within the retry budget.
func TestRetriesAreBudgeted(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2, 0)
	d.eventually("a key is served", 15*time.Second, func() bool {
		return d.send(d.hosts[0], "GET", "/keys/x", 5).status == http.StatusOK &&
			d.send(d.hosts[1], "GET", "/keys/x", 5).status == http.StatusOK
	})
	for _, r := range d.targets {
		r.Name += "-other" // responds 421 to requests that expect the old name
	}
	before := 0
	for _, r := range d.targets {
		before += r.Arrived()
	}
	const requests = 300
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() { d.send(d.hosts[i%2], "GET", "/keys/x", key.Point(i*200)) })
	}
	clients.Wait()
	arrived := -before
	for _, r := range d.targets {
		arrived += r.Arrived()
	}
	const allowed = requests + requests/5 + 60
	assert.Assert(t, arrived <= allowed, "%d arrivals for %d requests, %d allowed", arrived, requests, allowed)
}

// TestListedTargetLeaving: a ranged target that the platform lists as leaving loses its
// ranges and gets no requests after its drain time.
func TestListedTargetLeaving(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 3, 1)
	d.awaitServed()
	leavingTarget := d.targets["span-1"]
	d.listTarget(leavingTarget, "span", place.Leaving)
	time.Sleep(2 * time.Second)
	before := leavingTarget.Arrived()
	for i := range 60 {
		d.expectStatus(d.hosts[i%2], "GET", "/keys/x", key.Point(i*1000), http.StatusOK)
	}
	assert.Equal(t, leavingTarget.Arrived(), before)
}

// TestTargetLost: after an unannounced loss of a target its ranges are served again
// once its grants have expired. Until then requests for them are refused promptly.
func TestTargetLost(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		faults fake.RangeTargetFaults
		within time.Duration
	}{
		// Until its last grant expires, and a second more.
		"refuses connections": {fake.RangeTargetFaults{Unreachable: true}, grantDuration + time.Second},
		// An unacknowledged order may extend a grant once more.
		"target unresponsive": {fake.RangeTargetFaults{DropOrders: true}, 2*grantDuration + orderTimeout + time.Second},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 2, 3, 1)
			d.awaitServed()
			d.targets["span-1"].SetFaults(test.faults)
			d.targets["span-1"].Close()
			slowest := time.Duration(0)
			start := time.Now()
			defer func() { t.Logf("served again after %v", time.Since(start)) }()
			d.eventually("all keys are served again", test.within, func() bool {
				for i := range 20 {
					a := d.send(d.hosts[i%2], "GET", "/keys/x", key.Point(i*3000))
					if a.status == http.StatusServiceUnavailable {
						slowest = max(slowest, a.took)
						assert.Assert(t, a.retry != "")
					}
					if a.status != http.StatusOK {
						return false
					}
				}
				return true
			})
			assert.Assert(t, slowest < time.Second, "refused after %v", slowest)
		})
	}
}

// TestNonIdempotentIsNotRetried: a request that must run at most once is not retried
// after its connection broke, and is not reported as not run.
func TestNonIdempotentIsNotRetried(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1, 2)
	d.awaitServed()
	for _, r := range d.targets {
		r.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond, Reset: 0.5})
	}
	failed := 0
	for i := range 60 {
		a := d.send(d.hosts[i%2], "POST", "/free/x", 0)
		assert.NilError(t, a.err)
		assert.Assert(t, d.runs.Runs(a.id) <= 1, "%s ran %d times", a.id, d.runs.Runs(a.id))
		if a.status != http.StatusOK {
			failed++
			assert.Equal(t, a.status, http.StatusBadGateway)
		}
	}
	assert.Assert(t, failed > 10)
}

// TestOlderConfigIsIgnored: a new configuration is soon in force on all hosts. An older
// one that appears later changes nothing.
func TestOlderConfigIsIgnored(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 1, 1)
	d.awaitServed()
	next := testConfig(4)
	next.Routes[1].Prefix = "/new/"
	d.putConfig(next)
	d.eventually("the new route is in force", 2*time.Second, func() bool {
		for _, h := range d.hosts {
			if d.send(h, "POST", "/new/x", 0).status != http.StatusOK {
				return false
			}
		}
		return true
	})
	d.putConfig(testConfig(2))
	time.Sleep(2 * time.Second)
	for _, h := range d.hosts {
		d.expectStatus(h, "POST", "/new/x", 0, http.StatusOK)
		d.expectStatus(h, "POST", "/free/x", 0, http.StatusNotFound)
	}
}

// TestStoreUnavailable: during a store outage requests are served, and a starting host
// gets the configuration from other hosts.
func TestStoreUnavailable(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 2, 1)
	d.awaitServed()
	d.store.SetFaults(fake.SessionFaults{Down: true})
	late := d.addHost(7)
	d.eventually("a newly started host serves", 5*time.Second, func() bool {
		return d.send(late, "POST", "/free/x", 0).status == http.StatusOK
	})
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, h := range d.hosts[:2] {
			d.expectStatus(h, "GET", "/keys/x", 30000, http.StatusOK)
			d.expectStatus(h, "POST", "/free/x", 0, http.StatusOK)
		}
	}
	d.store.SetFaults(fake.SessionFaults{})
	d.awaitServed()
}

// TestLeaderStops: a graceful stop hands leadership over, and no key is without its
// owner meanwhile.
func TestLeaderStops(t *testing.T) {
	t.Parallel()
	d := deploy(t, 3, 2, 1)
	d.awaitServed()
	leadingHost := d.leader()
	stopped := make(chan struct{})
	go func() { leadingHost.shutdown(); close(stopped) }()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		for _, h := range d.hosts {
			if h != leadingHost {
				d.expectStatus(h, "GET", "/keys/x", 30000, http.StatusOK)
			}
		}
	}
	<-stopped
}

// TestLeaderStopsWithoutStore: a leader that is stopped during a store outage renews
// grants until it can hand leadership over, or until its grace period ends. No other
// host can take over during the outage.
func TestLeaderStopsWithoutStore(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		outage time.Duration
		want   string
	}{
		"outage ends":  {time.Second, `"msg":"Leadership handed over."`},
		"outage lasts": {5 * time.Second, `"msg":"Leadership not handed over, its lease will expire."`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 2, 1)
			d.awaitServed()
			leadingHost := d.leader()
			d.store.SetFaults(fake.SessionFaults{Down: true})
			restore := time.AfterFunc(test.outage, func() { d.store.SetFaults(fake.SessionFaults{}) })
			defer restore.Stop()
			d.hosts = slices.DeleteFunc(d.hosts, func(h *testHost) bool { return h == leadingHost })
			stopped := make(chan struct{})
			go func() { leadingHost.shutdown(); close(stopped) }()
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
				for _, h := range d.hosts {
					d.expectStatus(h, "GET", "/keys/x", 30000, http.StatusOK)
				}
			}
			<-stopped
			assert.Assert(t, strings.Contains(leadingHost.logs.String(), test.want), leadingHost.logs.String())
			d.awaitServed()
		})
	}
}

// TestStopWithUnknownWrite: a leader stops in time although the store is gone and does not say
// whether its last write took effect.
func TestStopWithUnknownWrite(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 3, 0)
	d.eventually("all keys are served", 15*time.Second, func() bool { return d.send(d.hosts[0], "GET", "/keys/x", 30000).status == http.StatusOK })
	h := d.leader()
	d.store.SetFaults(fake.SessionFaults{LoseEveryNth: 1})
	d.targets["span-1"].Close()
	d.store.Remove(platform.PathTargets + "span-1")
	d.eventually("a write without a response", 10*time.Second, func() bool { return strings.Contains(h.logs.String(), "Write outcome unknown") })
	d.store.SetFaults(fake.SessionFaults{Down: true})
	start, stopped := time.Now(), make(chan struct{})
	go func() { h.shutdown(); close(stopped) }()
	select {
	case <-stopped:
		assert.Assert(t, time.Since(start) <= h.bounds.Load().Grace, "stopped after %v", time.Since(start))
	case <-time.After(2 * h.bounds.Load().Grace):
		d.store.SetFaults(fake.SessionFaults{})
		t.Fatal("the host does not stop")
	}
}

// TestLoadSheddingTargets: while targets refuse most of the requests that they have
// slots for, the Retry-After hint lets a caller retry within the latency objective.
func TestLoadSheddingTargets(t *testing.T) {
	t.Parallel()
	d := deploy(t, 1, 2, 0)
	d.eventually("all keys are served", 15*time.Second, func() bool { return d.send(d.hosts[0], "GET", "/keys/x", 30000).status == http.StatusOK })
	for _, r := range d.targets {
		r.SetFaults(fake.RangeTargetFaults{Work: 10 * time.Millisecond, Refuse: 0.6})
	}
	objective := testConfig(1).Routes[0].LatencyObjective
	retried, onTime := 0, 0
	for i := range 500 {
		start, point := time.Now(), key.Point(i*997%key.Points)
		a := d.send(d.hosts[0], "GET", "/keys/x", point)
		if a.status != http.StatusServiceUnavailable {
			continue
		}
		after, err := time.ParseDuration(a.retry + "s")
		assert.NilError(t, err)
		time.Sleep(after)
		if a = d.send(d.hosts[0], "GET", "/keys/x", point); a.status != http.StatusOK {
			continue
		}
		retried++
		if time.Since(start) < objective/2 { // the rest is for the network to the caller
			onTime++
		}
	}
	t.Logf("%d retried and served, %d on time", retried, onTime)
	assert.Assert(t, retried > 20, "%d retried and served", retried)
	assert.Assert(t, onTime > retried*9/10, "%d of %d on time", onTime, retried)
}

// leader returns the host that leads the ranged service.
func (d *deployment) leader() *testHost {
	d.t.Helper()
	for _, h := range d.hosts {
		if strings.Contains(h.logs.String(), `"msg":"Leading."`) {
			return h
		}
	}
	d.t.Fatal("no host leads")
	return nil
}
