package bench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/settings"
)

// fakeDaemon serves a status report with a revision.
type fakeDaemon struct {
	format   string
	revision atomic.Uint64
}

// ServeHTTP implements http.Handler.
func (d *fakeDaemon) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	fmt.Fprintf(w, d.format, d.revision.Load())
}

func TestConvergence(t *testing.T) {
	p := fake.NewPlatform()
	daemons := []*fakeDaemon{{format: `{"revision":%d}`}, {format: `{"settings":{"revision":%d}}`}}
	addrs := make([]netip.AddrPort, len(daemons))
	for i, daemon := range daemons {
		server := httptest.NewServer(daemon)
		defer server.Close()
		addrs[i] = netip.MustParseAddrPort(server.Listener.Addr().String())
	}
	c := NewConvergence(p, addrs)
	ctx := context.Background()
	pollAll := func() {
		c.recordRevision(time.Now())
		for _, addr := range addrs {
			c.poll(ctx, addr)
		}
	}
	first, err := p.Write(ctx, settings.StorePath, []byte("one"), 0)
	assert.NilError(t, err)
	pollAll()
	assert.Equal(t, c.Result(), ConvergenceResult{Revisions: 1, Missing: 1})

	daemons[0].revision.Store(uint64(first))
	pollAll()
	assert.Equal(t, c.Result().Missing, 1)

	daemons[1].revision.Store(uint64(first))
	pollAll()
	assert.Equal(t, c.Result().Missing, 0)

	daemons[0].revision.Store(0)
	pollAll()
	assert.Equal(t, c.Result().Reverted, 1)
}
