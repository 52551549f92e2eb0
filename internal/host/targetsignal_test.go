package host

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// arrivalsDuring returns the number of requests that reach a target while f runs.
func arrivalsDuring(r *fake.RangeTarget, f func()) int {
	before := r.Arrived()
	f()
	return r.Arrived() - before
}

// sendFor sends requests to all hosts for a duration and returns the responses.
func (d *deployment) sendFor(span time.Duration, method, path string, points ...key.Point) []testResponse {
	var out []testResponse
	for end := time.Now().Add(span); time.Now().Before(end); {
		for _, h := range d.hosts {
			for _, p := range points {
				out = append(out, d.send(h, method, path, p))
			}
		}
	}
	return out
}

// burst sends more concurrent requests than one target has slots.
func (d *deployment) burst(h *testHost, method, path string, point key.Point) {
	var work sync.WaitGroup
	for range 8 {
		work.Add(1)
		go func() {
			defer work.Done()
			d.send(h, method, path, point)
		}()
	}
	work.Wait()
}

// TestTargetSignalsLeaving: a target that signals in its responses that it is leaving
// gets no new requests from a host that received the signal, whatever the platform
// lists.
func TestTargetSignalsLeaving(t *testing.T) {
	t.Parallel()
	t.Run("keyless", func(t *testing.T) {
		t.Parallel()
		d := deploy(t, 2, 1, 2)
		d.awaitServed()
		leavingTarget := d.targets["desk-0"]
		leavingTarget.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond, Leaving: true})
		d.eventually("a host received the signal and notified the home", 5*time.Second, func() bool {
			received := false
			for _, h := range d.hosts {
				d.burst(h, "POST", "/free/x", 0)
				leaving, _ := h.dispatcher.backoff(time.Now(), h.views.view().targets["desk-0"])
				received = received || !leaving.IsZero()
			}
			return received
		})
		d.sendFor(100*time.Millisecond, "POST", "/free/x", 0)
		n := arrivalsDuring(leavingTarget, func() {
			for _, a := range d.sendFor(time.Second, "POST", "/free/x", 0) {
				assert.Equal(t, a.status, http.StatusOK, a.body)
			}
		})
		assert.Equal(t, n, 0, "requests that reached the target")
	})
	t.Run("owner of keys", func(t *testing.T) {
		t.Parallel()
		d := deploy(t, 2, 2, 1)
		d.awaitServed()
		leavingTarget := d.targets["span-0"]
		leavingTarget.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond, Leaving: true})
		points := []key.Point{100, 20000, 40000, key.Points - 1}
		drain := d.hosts[0].bounds.Load().Drain
		d.sendFor(drain, "GET", "/keys/x", points...)
		n := arrivalsDuring(leavingTarget, func() {
			for _, a := range d.sendFor(time.Second, "GET", "/keys/x", points...) {
				assert.Equal(t, a.status, http.StatusOK, a.body)
			}
		})
		assert.Equal(t, n, 0, "requests that reached the target")
	})
	t.Run("only owner", func(t *testing.T) {
		t.Parallel()
		d := deploy(t, 1, 1, 0)
		d.eventually("all keys are served", 15*time.Second, func() bool { return d.send(d.hosts[0], "GET", "/keys/x", 30000).status == http.StatusOK })
		leavingTarget := d.targets["span-0"]
		leavingTarget.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond, Leaving: true})
		d.sendFor(d.hosts[0].bounds.Load().Drain, "GET", "/keys/x", 30000)
		n := arrivalsDuring(leavingTarget, func() {
			for range 5 {
				a := d.send(d.hosts[0], "GET", "/keys/x", 30000)
				assert.Equal(t, a.status, http.StatusServiceUnavailable, a.body)
			}
		})
		assert.Equal(t, n, 0, "requests that reached the target")
	})
}

// TestTargetBackoff: a target that asks for a pause gets no requests from this host
// until the pause ends. Callers are served by another target or get a Retry-After hint.
func TestTargetBackoff(t *testing.T) {
	t.Parallel()
	const pause, tolerance = 3 * time.Second, 500 * time.Millisecond
	for name, test := range map[string]struct {
		method, path string
		paused       place.Target
		status       int
	}{
		"keyless":       {"POST", "/free/x", "desk-0", http.StatusOK},
		"owner of keys": {"GET", "/keys/x", "span-0", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, 1, 2)
			d.awaitServed()
			r := d.targets[test.paused]
			r.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond, Refuse: 1, RetryAfter: pause})
			d.eventually("the target refused a request", 5*time.Second, func() bool {
				d.burst(d.hosts[0], test.method, test.path, 30000)
				_, left := d.hosts[0].dispatcher.backoff(time.Now(), d.hosts[0].views.view().targets[test.paused])
				return left > 0
			})
			asked := time.Now()
			time.Sleep(tolerance)
			n := arrivalsDuring(r, func() {
				for time.Since(asked) < pause-2*tolerance { // near the end of the pause requests wait for it
					a := d.send(d.hosts[0], test.method, test.path, 30000)
					assert.Equal(t, a.status, test.status, a.body)
					if a.status == http.StatusOK {
						continue
					}
					after, err := time.ParseDuration(a.retry + "s")
					assert.NilError(t, err)
					left := pause - time.Since(asked)
					assert.Assert(t, after <= left+2*tolerance && after >= left-2*tolerance, "Retry-After is %v, the pause ends in %v", after, left)
				}
			})
			assert.Equal(t, n, 0, "requests that reached the target")
			r.SetFaults(fake.RangeTargetFaults{Work: 5 * time.Millisecond})
			d.eventually("the target gets requests again", pause, func() bool {
				return arrivalsDuring(r, func() { d.burst(d.hosts[0], test.method, test.path, 30000) }) > 0
			})
		})
	}
}
