package platform_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/loopback"
	"citrontray.example/citrontray/internal/platform"
)

func clientOf(addrs ...string) *platform.Client {
	config := platform.ClientConfig{Timeout: 2 * time.Second}
	for _, addr := range addrs {
		config.Addrs = append(config.Addrs, netip.MustParseAddrPort(addr))
	}
	return platform.NewClient(config)
}

// closedAddr returns an address at which no socket listens.
func closedAddr(t *testing.T) string {
	t.Helper()
	addr, err := loopback.Addr()
	assert.NilError(t, err)
	return addr.String()
}

func TestClientDistinguishesUnknownFromUnavailable(t *testing.T) {
	lost := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		panic(http.ErrAbortHandler) // the call took effect, its response is lost
	}))
	defer lost.Close()
	refusing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer refusing.Close()

	tests := map[string]struct {
		addr  string
		write error
	}{
		"response lost": {addr: lost.Listener.Addr().String(), write: platform.ErrOutcomeUnknown},
		"refused":       {addr: refusing.Listener.Addr().String(), write: platform.ErrUnavailable},
		"nobody":        {addr: closedAddr(t), write: platform.ErrUnavailable},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client := clientOf(tt.addr)
			defer client.Close()
			ctx := context.Background()
			_, err := client.Write(ctx, "a", []byte("1"), 0)
			assert.ErrorIs(t, err, tt.write)
			_, err = client.Acquire(ctx, "lease/a", "host", time.Second)
			assert.ErrorIs(t, err, tt.write)
			_, err = client.Get(ctx, "a")
			assert.ErrorIs(t, err, platform.ErrUnavailable)
		})
	}
}
