package host

import (
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
