package host

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/quarantine"
)

// deadly is part of the path of requests that end targets.
const deadly = "deadly"

// endTargets makes all targets end under requests with deadly in their path, and start again
// after a time.
func (d *deployment) endTargets(down time.Duration) *fake.EndLedger {
	ledger := &fake.EndLedger{}
	isDeadly := func(req *http.Request) bool { return strings.Contains(req.URL.Path, deadly) }
	for _, r := range d.targets {
		service := strings.Split(string(r.Name), "-")[0]
		r.SetFaults(fake.RangeTargetFaults{Work: 50 * time.Millisecond})
		r.Deadly = isDeadly
		r.OnArrival = func(req *http.Request) {
			if isDeadly(req) {
				ledger.Arrived(time.Now(), req.URL.Path)
			}
		}
		r.OnEnd = func(r *fake.RangeTarget, req *http.Request) {
			ledger.Ended(time.Now(), req.URL.Path)
			d.restartTarget(r, service, down)
		}
	}
	return ledger
}

// TestDeadlyRequestIsStopped sends a request that ends each target again and again, to all
// hosts, beside others.
func TestDeadlyRequestIsStopped(t *testing.T) {
	const (
		stable  = 3 * time.Second
		seconds = 14
	)
	for name, test := range map[string]struct{ method, prefix string }{
		"idempotent":     {"GET", "/read/"},
		"not idempotent": {"POST", "/free/"},
		"with a key":     {"GET", "/keys/"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 3, 4)
			d.awaitServed()
			start := time.Now()
			ledger := d.endTargets(800 * time.Millisecond)
			var wg sync.WaitGroup
			send := func(pause time.Duration, path func(n int) string, check func(a testResponse)) {
				wg.Go(func() {
					for n := 0; time.Since(start) < seconds*time.Second; n++ {
						check(d.send(d.hosts[n%len(d.hosts)], test.method, path(n), key.Point(20000)))
						time.Sleep(pause)
					}
				})
			}
			var last testResponse
			send(100*time.Millisecond, func(int) string { return test.prefix + deadly }, func(a testResponse) { last = a })
			const quarantined = "quarantined"
			for range 2 {
				send(30*time.Millisecond, func(n int) string { return fmt.Sprint(test.prefix, "popular") }, func(a testResponse) {
					if a.reason == quarantined {
						t.Errorf("%v after the start: another request is %s", time.Since(start), quarantined)
					}
				})
			}
			wg.Wait()
			result := ledger.Check(stable, start)
			t.Logf("%d targets ended, %d late arrivals", result.MostEnds, result.MostLate)
			assert.Assert(t, len(result.Violations) == 0, "%v", result.Violations)
			assert.Equal(t, string(last.reason), quarantined)
			assert.Equal(t, last.retry, "")
		})
	}
}

// TestOperatorDecides checks that all hosts follow an operator's decision on a request.
func TestOperatorDecides(t *testing.T) {
	t.Parallel()
	d := deploy(t, 2, 1, 2)
	d.awaitServed()
	const path, point = "/read/x", 30000
	f := d.hosts[0].quarantine.hasher.Load().Sum(nil, "GET", "a.example", path, fmt.Sprint(point), "", "")
	decide := func(action string) {
		url := strings.NewReplacer("{fingerprint}", f.String(), "{action}", action).Replace(quarantine.DecisionPath)
		response := httptest.NewRecorder()
		router := mux.NewRouter()
		router.HandleFunc(quarantine.DecisionPath, d.hosts[0].quarantine.serveDecision)
		router.ServeHTTP(response, httptest.NewRequest(http.MethodPost, url, http.NoBody))
		assert.Equal(t, response.Code, http.StatusOK, response.Body.String())
	}
	all := func(status int) func() bool {
		return func() bool {
			for _, h := range d.hosts {
				if d.send(h, "GET", path, point).status != status {
					return false
				}
			}
			return true
		}
	}
	assert.Assert(t, all(http.StatusOK)())
	decide(quarantine.ActionForbid)
	d.eventually("all hosts refuse it", 2*time.Second, all(http.StatusUnprocessableEntity))
	d.eventually("the other host lists it", 2*time.Second, func() bool {
		listed := d.hosts[1].quarantine.quarantined(time.Now())
		return len(listed) == 1 && listed[0].Fingerprint == f.String() && listed[0].Forbidden
	})
	saved := func() bool {
		_, err := d.store.Get(t.Context(), quarantinePrefix+platform.Path(f.String()))
		return err == nil
	}
	d.eventually("the store has it", 2*time.Second, saved)
	decide(quarantine.ActionLift)
	d.eventually("all hosts serve it", 2*time.Second, all(http.StatusOK))
	d.eventually("the store no longer has it", 2*time.Second, func() bool { return !saved() })
}

// TestRecordsSpread checks that all hosts learn of a target that ended under a request, while
// the store is away and each host in turn is the one that found it out.
func TestRecordsSpread(t *testing.T) {
	t.Parallel()
	const bound = time.Second // well within the three seconds after which a fourth target must not end
	d := deploy(t, 3, 1, 2)
	d.awaitServed()
	d.store.SetFaults(fake.SessionFaults{Down: true})
	service := d.hosts[0].views.view().routes.Service("desk")
	for i, h := range d.hosts {
		for ends := range uint8(2) {
			j := &job{host: h.Host, service: service, fingerprint: quarantine.Fingerprint(1 + i)}
			end := quarantine.End{Target: place.Target(fmt.Sprint("desk-", ends)), Incarnation: 1}
			h.quarantine.ended(time.Now(), j, h.quarantine.table.Suspicion(j.fingerprint), end)
			d.eventually(fmt.Sprintf("all hosts know of end %d", ends+1), bound, func() bool {
				return !slices.ContainsFunc(d.hosts, func(other *testHost) bool {
					return other.quarantine.table.Record(time.Now(), j.fingerprint).Ends != ends+1
				})
			})
		}
	}
	d.store.SetFaults(fake.SessionFaults{})
}

// TestCutPathEndsNoTarget checks that connections that are reset on the way to targets count
// as no target's end: callers of other hosts would be refused.
func TestCutPathEndsNoTarget(t *testing.T) {
	const (
		path, point = "/read/popular", 30000
		copies      = 8
	)
	for name, cutHosts := range map[string]int{"one host": 1, "two of three hosts": 2} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 3, 1, 4)
			d.awaitServed()
			for _, r := range d.targets {
				r.SetFaults(fake.RangeTargetFaults{Work: 300 * time.Millisecond})
			}
			cut := d.others()[:cutHosts]
			var clients sync.WaitGroup
			for range copies {
				for _, h := range cut {
					clients.Go(func() { d.send(h, http.MethodGet, path, point) })
				}
			}
			time.Sleep(100 * time.Millisecond)
			for _, h := range cut {
				h.paths.cut(cutReset)
			}
			clients.Wait()
			for _, h := range d.hosts {
				listed := h.quarantine.quarantined(time.Now())
				assert.Check(t, len(listed) == 0, "%s refuses %v", h.site.Host, listed)
				assert.Check(t, h.quarantine.table.Len() == 0, "%s has records", h.site.Host)
			}
			a := d.send(d.leader(), http.MethodGet, path, point)
			assert.Equal(t, a.status, http.StatusOK, a.reason)
		})
	}
}
