package host

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/status"
)

// stableWindow is the time after which an advertised limit must hold.
const stableWindow = 3 * time.Second

// metricsDelay is the time until a counter shows on the metrics page.
const metricsDelay = 1500 * time.Millisecond

// limitLoad sends requests to all hosts at a steady rate and records which host got
// which request and when it returned the response.
type limitLoad struct {
	*deployment

	method, path string
	points       []key.Point
	interval     time.Duration // between two requests to one host

	mu        sync.Mutex
	senders   map[string]place.Host
	delivered map[string]fake.Delivered
	responses []testResponse
}

func (l *limitLoad) run(duration time.Duration) {
	l.senders, l.delivered = make(map[string]place.Host), make(map[string]fake.Delivered)
	var all sync.WaitGroup
	for _, h := range l.hosts {
		all.Go(func() {
			var requests sync.WaitGroup
			n := 0
			for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(l.interval) {
				point := l.points[n%len(l.points)]
				n++
				requests.Go(func() { l.record(h, l.send(h, l.method, l.path, point)) })
			}
			requests.Wait()
		})
	}
	all.Wait()
}

func (l *limitLoad) record(h *testHost, a testResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.senders[a.id] = h.site.Host
	l.responses = append(l.responses, a)
	if a.err == nil {
		l.delivered[a.id] = fake.Delivered{Host: h.site.Host, At: time.Now()}
	}
}

// check applies the rule of the limit to a target.
func (l *limitLoad) check(r *fake.RangeTarget) fake.LimitResult {
	return r.Limits.Check(fake.LimitCheck{
		Stable:    stableWindow,
		Sender:    func(id string) place.Host { return l.senders[id] },
		Delivered: func(id string) (fake.Delivered, bool) { p, ok := l.delivered[id]; return p, ok },
		Exempt:    func(place.Host, time.Time) bool { return false },
	})
}

// count returns the number of responses with a status.
func (l *limitLoad) count(status int) int {
	n := 0
	for _, a := range l.responses {
		if a.status == status {
			n++
		}
	}
	return n
}

// checkShown checks that the hosts report the limit of a target and the requests that
// were refused because of it, and count them.
func (l *limitLoad) checkShown(name string, rate float64, refused int) {
	l.t.Helper()
	time.Sleep(metricsDelay)
	responses := make([]status.Response, 0, len(l.hosts))
	counted, resent := 0, 0
	for _, h := range l.hosts {
		responses = append(responses, status.Response{Report: h.Report(time.Now(), status.Query{})})
		counted += counterValue(l.t, h, "citrontray_host_limit_refusals")
		resent += counterValue(l.t, h, "citrontray_host_ticket_resends")
	}
	limits := status.MergeLimits(responses)
	assert.Equal(l.t, len(limits), 1)
	assert.Equal(l.t, limits[0].Target, name)
	assert.Equal(l.t, limits[0].Rate, rate)
	assert.Assert(l.t, limits[0].Source != "")
	// The reply to a request for a ticket that was sent again comes from both copies.
	assert.Assert(l.t, limits[0].Refused > 0 && limits[0].Refused <= refused+resent,
		"%d refusals are reported, %d requests were refused and %d sent again", limits[0].Refused, refused, resent)
	assert.Assert(l.t, counted > 0 && counted <= refused, "%d of %d refused requests are counted", counted, refused)
}

// counterValue returns the sum of a counter over its labels.
func counterValue(t testing.TB, h *testHost, name string) int {
	t.Helper()
	page := httptest.NewRecorder()
	h.registry.Handler().ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	sum := 0
	for line := range strings.Lines(page.Body.String()) {
		if !strings.HasPrefix(line, name+"{") {
			continue
		}
		fields := strings.Fields(line)
		n, err := strconv.Atoi(fields[len(fields)-1])
		assert.NilError(t, err)
		sum += n
	}
	return sum
}

// TestRateLimitHoldsForAllHosts: the hosts together exceed the limit that a target advertises.
func TestRateLimitHoldsForAllHosts(t *testing.T) {
	t.Parallel()
	const limit, duration = 10, 9 * time.Second
	for name, test := range map[string]struct {
		method, path    string
		ranged, keyless int
		limited         place.Target
	}{
		"owner of keys": {"GET", "/keys/x", 1, 0, "span-0"},
		"keyless":       {"POST", "/free/x", 0, 1, "desk-0"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, test.ranged, test.keyless)
			d.eventually("requests are served", 15*time.Second, func() bool {
				for _, h := range d.hosts {
					if d.send(h, test.method, test.path, 30000).status != http.StatusOK {
						return false
					}
				}
				return true
			})
			r := d.targets[test.limited]
			r.SetLimit(strconv.Itoa(limit))
			load := &limitLoad{deployment: d, method: test.method, path: test.path, points: []key.Point{100, 30000}, interval: 25 * time.Millisecond}
			load.run(duration)
			result := load.check(r)
			served := load.count(http.StatusOK)
			t.Logf("%d requests, %d served, highest ratio %.2f of %d windows", len(load.responses), served, result.Highest, result.Windows)
			assert.Assert(t, result.Windows > 0)
			assert.Assert(t, len(result.Violations) == 0, "%v", result.Violations)
			assert.Assert(t, float64(served) >= 0.75*limit*duration.Seconds(), "the limit allows more")
			refused := load.count(http.StatusServiceUnavailable)
			assert.Equal(t, served+refused, len(load.responses))
			load.checkShown(string(test.limited), limit, refused)
		})
	}
}
