package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/metric"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/target"
	"citrontray.example/citrontray/internal/traffic"
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

// TestNotRunNeedsProofOfEachAttempt: one attempt that may have run is enough for a request not to
// be reported as not run, whatever happened to the others.
func TestNotRunNeedsProofOfEachAttempt(t *testing.T) {
	t.Parallel()
	var (
		unsent    = forward.NotSent{Err: forward.ErrFull}
		refused   = forward.Refused{Refusal: target.RefusalBusy, Status: http.StatusServiceUnavailable}
		other     = forward.Refused{Refusal: target.RefusalOwner, Status: http.StatusMisdirectedRequest}
		uncertain = forward.Uncertain{Reason: outcome.AnswerCut}
		failed    = forward.Completed{Response: outcome.Response{Status: http.StatusInternalServerError}}
		full      = forward.Completed{Response: outcome.Response{Status: http.StatusServiceUnavailable}}
	)
	tests := map[string]struct {
		attempts   []forward.Result
		idempotent bool
		end        outcome.Result
		want       outcome.Outcome
	}{
		"none":                       {nil, false, nil, outcome.NotRun},
		"not sent":                   {[]forward.Result{unsent, unsent}, false, nil, outcome.NotRun},
		"refused":                    {[]forward.Result{refused, unsent, other}, false, nil, outcome.NotRun},
		"may have run, refused":      {[]forward.Result{uncertain, refused}, true, nil, outcome.Unknown},
		"refused, may have run":      {[]forward.Result{refused, uncertain}, true, nil, outcome.Unknown},
		"failed, refused":            {[]forward.Result{failed, refused}, true, nil, outcome.Done},
		"unmarked, refused":          {[]forward.Result{full, refused}, true, nil, outcome.Done},
		"unmarked":                   {[]forward.Result{full}, false, full.Response, outcome.Unknown},
		"another host's 503":         {nil, false, full.Response, outcome.Unknown},
		"another host's 503, read":   {nil, true, full.Response, outcome.Done},
		"another host's 421":         {nil, false, outcome.Response{Status: http.StatusMisdirectedRequest}, outcome.Unknown},
		"another host's other error": {nil, false, failed.Response, outcome.Done},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h := &Host{log: logging.Nop(), metrics: newMetrics(metric.New("test"))}
			j := &job{host: h, route: &traffic.Route{Idempotent: test.idempotent, MaxAttempts: 9}, service: &traffic.Service{Name: "s"}}
			for _, a := range test.attempts {
				j.handleAttempt(context.Background(), ticket{target: "t"}, a)
			}
			end := test.end
			if end == nil {
				end = outcome.NotRunFailure{Reason: outcome.Overload}
			}
			assert.Equal(t, outcome.Of(j.finalResult(end)), test.want)
		})
	}
}
