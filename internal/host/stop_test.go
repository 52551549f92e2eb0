package host

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/outcome"
)

// TestLateRequestInStop: a request that comes late in a graceful stop and may last longer than
// the rest of it is refused at once, and does not run; one that fits is served.
func TestLateRequestInStop(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		sentAfter time.Duration // since the stop began
		timeoutMS int
		status    int
		runs      int
	}{
		"early, long": {500 * time.Millisecond, 2000, http.StatusOK, 1},
		"late, long":  {2700 * time.Millisecond, 2000, http.StatusServiceUnavailable, 0},
		"late, short": {2300 * time.Millisecond, 900, http.StatusOK, 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := deploy(t, 1, 1, 1)
			d.awaitServed()
			h := d.hosts[0]
			d.targets["desk-0"].SetFaults(fake.RangeTargetFaults{Work: 700 * time.Millisecond})
			if test.runs == 0 {
				d.targets["desk-0"].SetFaults(fake.RangeTargetFaults{Work: 1500 * time.Millisecond})
			}
			stopped := time.Now()
			h.cancel()
			// A connection without a request is kept for a while.
			time.Sleep(max(test.sentAfter-time.Second, 0))
			c, err := net.Dial("tcp", h.site.Front.String())
			assert.NilError(t, err)
			defer func() { _ = c.Close() }()
			time.Sleep(test.sentAfter - time.Since(stopped))
			id := "late-" + name[:1] + fmt.Sprint(test.timeoutMS)
			_, err = fmt.Fprintf(c, "POST /free/x HTTP/1.1\r\nHost: a.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: 0\r\n\r\n", d.names.Request, id, d.names.Deadline, test.timeoutMS)
			assert.NilError(t, err)
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(3*time.Second)))
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			assert.NilError(t, err)
			defer response.Body.Close()
			assert.Equal(t, response.StatusCode, test.status, "%s", response.Header.Get(outcome.HeaderReason))
			assert.Equal(t, d.runs.Runs(id), test.runs)
		})
	}
}
