package host

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/relay"
	"citrontray.example/citrontray/internal/traffic"
)

var (
	stopRuns = flag.Int("stop.runs", 4, "random stops under load of TestStopsUnderLoad")
	stopSeed = flag.Uint64("stop.seed", 5, "first seed of TestStopsUnderLoad")
)

// stopRun is a graceful stop of one of two hosts under load.
type stopRun struct {
	*deployment

	rng       *rand.Rand
	objective time.Duration
	work      time.Duration
	callers   int
	burst     bool
	path      string
	method    string

	requests sync.WaitGroup
	mu       sync.Mutex
	stopAt   time.Time
	results  stopResults
}

// stopResults counts the requests that were in flight at the stopping host, or sent to it after
// the stop began, by their end. Lost are those that ended without a response and did not run,
// aborted those that ran.
type stopResults struct{ served, refused, other, lost, aborted int }

// stopTimeout is the timeout of the requests, longer than the grace period.
const stopTimeout = 10 * time.Second

func newStopRun(t *testing.T, seed uint64) *stopRun {
	rng := rand.New(rand.NewPCG(seed, 0))
	objectives := []time.Duration{time.Second, 3 * time.Second, 8 * time.Second}
	r := &stopRun{
		rng: rng, objective: objectives[seed%3], burst: seed/3%2 == 1, work: time.Duration(200+rng.IntN(500)) * time.Millisecond,
		path: "/free/x", method: http.MethodPost,
	}
	// The queue is about as long as the objective.
	const slots = 9
	r.callers = slots + int(float64(slots)*min(r.objective, 5*time.Second).Seconds()*(0.3+rng.Float64())/r.work.Seconds())
	ranged, keyless := 0, 3
	if rng.IntN(3) == 0 {
		r.path, r.method, ranged, keyless = "/keys/x", http.MethodGet, 3, 0
	}
	r.deployment = deploy(t, 2, ranged, keyless)
	c := testConfig(2)
	for i := range c.Routes {
		c.Routes[i].Timeout, c.Routes[i].LatencyObjective = stopTimeout, r.objective
	}
	r.putConfig(c)
	r.awaitConfig(c.Version)
	for _, target := range r.targets {
		target.SetFaults(fake.RangeTargetFaults{Work: r.work})
	}
	return r
}

// awaitConfig waits until both hosts have the configuration and serve.
func (r *stopRun) awaitConfig(version traffic.Version) {
	r.t.Helper()
	r.eventually("configuration", 10*time.Second, func() bool {
		for _, h := range r.hosts {
			v := h.views.view()
			if v.routes == nil || v.routes.Config().Version < version || r.send(h, r.method, r.path, 7).status != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// loop sends requests one after the other over one connection, to the stopping host until that
// closes it.
func (r *stopRun) loop(ctx context.Context, h *testHost, point int) {
	defer r.requests.Done()
	transport := &http.Transport{MaxConnsPerHost: 1}
	defer transport.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		id := fmt.Sprintf("stop-%p-%d-%d", r, point, n)
		sentAt := time.Now()
		status, last := r.request(transport, h, id, point)
		if h == r.hosts[0] {
			r.count(id, status)
		}
		if status != http.StatusOK {
			time.Sleep(50*time.Millisecond - min(time.Since(sentAt), 50*time.Millisecond))
		}
		if last || status == 0 {
			h = r.hosts[1]
		}
	}
}

// request sends a request and returns the status of its response, 0 if there is none, and
// whether the connection has closed.
func (r *stopRun) request(transport *http.Transport, h *testHost, id string, point int) (status int, closed bool) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, r.method, "http://"+h.site.Front.String()+r.path, http.NoBody)
	assert.NilError(r.t, err)
	request.Host = "a.example"
	request.Header.Set(r.names.Request, id)
	request.Header.Set(r.names.Deadline, strconv.FormatInt(stopTimeout.Milliseconds(), 10))
	request.Header.Set(r.names.Key, strconv.Itoa(point*37%65536))
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, true
	}
	defer response.Body.Close()
	if _, err := io.ReadAll(response.Body); err != nil {
		return 0, true
	}
	return response.StatusCode, response.Close
}

// count counts a request to the stopping host that ended after the stop began.
func (r *stopRun) count(id string, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopAt.IsZero() {
		return
	}
	switch {
	case status == http.StatusOK:
		r.results.served++
	case status == http.StatusServiceUnavailable:
		r.results.refused++
		if n := r.runs.Runs(id); n > 0 && r.method == http.MethodPost {
			r.t.Errorf("%s was refused and ran", id)
		}
	case status == 0 && r.runs.Runs(id) == 0:
		r.results.lost++
	case status == 0:
		r.results.aborted++
	default:
		r.results.other++
	}
}

// play stops the first host and returns what its requests got.
func (r *stopRun) play() stopResults {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for i := range r.callers {
		r.requests.Add(1)
		go r.loop(ctx, r.hosts[i%2], i)
	}
	time.Sleep(2 * time.Second)
	r.mu.Lock()
	r.stopAt = time.Now()
	r.mu.Unlock()
	r.hosts[0].cancel()
	if r.burst {
		time.Sleep(time.Duration(r.rng.IntN(1200)) * time.Millisecond)
		for i := range r.callers {
			r.requests.Add(1)
			go r.loop(ctx, r.hosts[0], r.callers+i)
		}
	}
	<-r.hosts[0].done
	cancel()
	r.requests.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.results
}

// TestStopsUnderLoad: a request that waits for a slot while its host stops gets a response, also
// if its objective is longer than the stop. Such requests were aborted at the end of the stop.
func TestStopsUnderLoad(t *testing.T) {
	t.Parallel()
	for seed := *stopSeed; seed < *stopSeed+uint64(*stopRuns); seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := newStopRun(t, seed)
			results := r.play()
			t.Logf("objective %v, burst %t, %s: %+v", r.objective, r.burst, r.path, results)
			assert.Assert(t, results.lost == 0, "%+v", results)
		})
	}
}

// TestRelayedRequestsInStops: a request that another host passed on and that waits for a slot ends
// as not run while either host stops: in a stop of this host so that the other one serves it in
// another way.
func TestRelayedRequestsInStops(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		stop   func(h *testHost)
		reason outcome.Reason
	}{
		"this host":             {func(h *testHost) { h.cancel() }, reasonNoPath},
		"the host that sent it": {func(h *testHost) { h.handleLeave("host-9") }, outcome.Stopping},
		"another host":          {func(h *testHost) { h.handleLeave("host-8") }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, 1, 1)
			d.targets["desk-0"].SetFaults(fake.RangeTargetFaults{Work: 700 * time.Millisecond})
			d.awaitServed()
			h := d.hosts[0]
			const requests = 24 // for 5.6 s of work in 3 slots
			results := make(chan outcome.Result, requests)
			for i := range requests {
				in := relay.Request{
					ID: fmt.Sprintf("relayed-%s-%d", name, i), Method: http.MethodPost, URI: "/free/x", Host: "a.example", Service: "desk",
					Config: 1, Timeout: stopTimeout, SoftTimeout: stopTimeout,
				}
				message, err := in.Encode()
				assert.NilError(t, err)
				go func() {
					out, err := h.relayer.serve(context.Background(), peer.Identity{Host: "host-9"}, message)
					if err != nil {
						t.Errorf("%s: %v", in.ID, err)
					}
					result, _, err := relay.DecodeResult(out)
					if err != nil {
						t.Errorf("%s: %v", in.ID, err)
					}
					results <- result
				}()
			}
			time.Sleep(time.Second)
			test.stop(h)
			refused := 0
			for range requests {
				select {
				case result := <-results:
					if _, served := result.(outcome.Response); !served {
						assert.Equal(t, outcome.ReasonOf(result), test.reason, "%v", result)
						refused++
					}
				case <-time.After(stopTimeout):
					t.Fatal("no result")
				}
			}
			assert.Equal(t, refused > 0, test.reason != "", "%d refused", refused)
			assert.Assert(t, refused < requests*2/3, "%d refused", refused)
		})
	}
}
