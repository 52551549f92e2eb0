package fake_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/target"
)

// TestKilledTargetSendsNoResponse sends requests while the target is killed: a
// killed process must not respond with status 200, not even with an empty body,
// to a request that did not run.
func TestKilledTargetSendsNoResponse(t *testing.T) {
	const rounds, callers = 150, 8
	ledger := fake.NewLedger()
	config := fake.TargetConfig{
		Name: "plan-1", Service: "plan", Slots: 3, Connections: 100,
		Addr: netip.MustParseAddrPort("127.0.0.1:0"),
	}
	var okResponses int
	var mu sync.Mutex
	for range rounds {
		fakeTarget := fake.NewTarget(config, ledger)
		assert.NilError(t, fakeTarget.Start())
		addr := fakeTarget.Addr().String()
		fakeTarget.Freeze()
		var wg sync.WaitGroup
		for i := range callers {
			wg.Go(func() {
				time.Sleep(time.Duration(i*20) * time.Microsecond)
				c, err := net.Dial("tcp", addr)
				if err != nil {
					return
				}
				defer func() { _ = c.Close() }()
				fmt.Fprintf(c, "POST /plan/k HTTP/1.1\r\nHost: x\r\n%s: id\r\nContent-Length: 0\r\n\r\n", target.HeaderRequest)
				_ = c.SetReadDeadline(time.Now().Add(time.Second))
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return
				}
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					mu.Lock()
					defer mu.Unlock()
					okResponses++
				}
			})
		}
		time.Sleep(100 * time.Microsecond)
		fakeTarget.Kill()
		wg.Wait()
	}
	assert.Equal(t, okResponses, 0)
	assert.Equal(t, ledger.Counts().Runs, uint64(0))
}
