package host

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
)

// TestNotRunNamesItsProof: the line of a request that is reported as not run names the evidence.
func TestNotRunNamesItsProof(t *testing.T) {
	t.Parallel()
	refuse := func(d *deployment) {
		for _, r := range d.targets {
			r.SetFaults(fake.RangeTargetFaults{Refuse: 1})
		}
	}
	tests := map[string]struct {
		disturb func(d *deployment)
		want    proof
	}{
		"no target is reached": {func(d *deployment) {
			for _, h := range d.hosts {
				h.paths.cut(cutReset)
			}
		}, proofUnsent},
		"targets are full": {refuse, proofMarked},
		"another target at the address": {func(d *deployment) {
			for _, r := range d.targets {
				r.Name += "-other"
			}
		}, proofMisdirected},
		"passed to another host": {func(d *deployment) {
			d.hosts[0].paths.cut(cutReset)
			refuse(d)
		}, proofRelayed},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 2, 1, 2)
			d.awaitServed()
			test.disturb(d)
			var line string
			d.eventually("a request is refused with the proof", 10*time.Second, func() bool {
				a := d.send(d.hosts[0], http.MethodPost, "/free/x", 0)
				assert.Equal(t, a.status, http.StatusServiceUnavailable)
				assert.Equal(t, d.runs.Runs(a.id), 0)
				line = d.hosts[0].lineOf("Request ended.", a.id)
				return strings.Contains(line, `"proof":"`+string(test.want)+`"`)
			})
		})
	}
}

// lineOf returns the line with a message that a host logged about a request.
func (r *testHost) lineOf(message, id string) string {
	for line := range strings.SplitSeq(r.logs.String(), "\n") {
		if strings.Contains(line, message) && strings.Contains(line, `"`+id+`"`) {
			return line
		}
	}
	return ""
}

// TestUnmarkedStatusIsNoPromise: a target that has run a request and responds with a status that
// states the contrary, without the mark for it, does not make the caller send it again.
func TestUnmarkedStatusIsNoPromise(t *testing.T) {
	t.Parallel()
	respond := func(status int) func(d *deployment) {
		return func(d *deployment) {
			for _, r := range d.targets {
				r.SetFaults(fake.RangeTargetFaults{Fail: 1, FailStatus: status})
			}
		}
	}
	tests := map[string]struct {
		respond      func(d *deployment)
		method, path string
		want         int
	}{
		"503":             {respond(http.StatusServiceUnavailable), http.MethodPost, "/free/x", http.StatusBadGateway},
		"429":             {respond(http.StatusTooManyRequests), http.MethodPost, "/free/x", http.StatusBadGateway},
		"408":             {respond(http.StatusRequestTimeout), http.MethodPost, "/free/x", http.StatusBadGateway},
		"500":             {respond(http.StatusInternalServerError), http.MethodPost, "/free/x", http.StatusInternalServerError},
		"409":             {respond(http.StatusConflict), http.MethodPost, "/free/x", http.StatusConflict},
		"503, idempotent": {respond(http.StatusServiceUnavailable), http.MethodGet, "/read/x", http.StatusServiceUnavailable},
		"429, idempotent": {respond(http.StatusTooManyRequests), http.MethodGet, "/read/x", http.StatusTooManyRequests},
	}
	for name, test := range tests {
		for _, relayed := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, relayed %t", name, relayed), func(t *testing.T) {
				t.Parallel()
				d := deploy(t, 2, 1, 2)
				d.awaitServed()
				if relayed {
					d.hosts[0].paths.cut(cutReset)
					d.measure(d.hosts[:1], time.Second) // the host finds out that its paths are lost
				}
				test.respond(d)
				a := d.send(d.hosts[0], test.method, test.path, 0)
				assert.NilError(t, a.err)
				assert.Equal(t, a.status, test.want, "%s", a.reason)
				assert.Assert(t, d.runs.Runs(a.id) > 0)
			})
		}
	}
}
