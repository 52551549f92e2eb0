package operator_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/fake"
	"citrontray.example/citrontray/internal/logging"
	"citrontray.example/citrontray/internal/operator"
	"citrontray.example/citrontray/internal/preset"
	"citrontray.example/citrontray/internal/settings"
)

// flakyHost serves the operators' API of one entry host and can drop responses.
type flakyHost struct {
	dropResponses atomic.Int64
	next          http.Handler
}

// ServeHTTP handles the request, and may close the connection instead of responding.
func (h *flakyHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.dropResponses.Add(-1) >= 0 {
		h.next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	h.next.ServeHTTP(w, r)
}

// deployment is two hosts with one store.
type deployment struct {
	store *fake.Platform
	hosts [2]*flakyHost
	addrs []netip.AddrPort
}

func newDeployment(t *testing.T) *deployment {
	t.Helper()
	d := &deployment{store: fake.NewPlatform()}
	for i := range d.hosts {
		router := mux.NewRouter()
		operator.NewServer(operator.ServerConfig{
			Store: d.store, Bootstrap: settings.HashCredential("first"), Log: logging.Nop(),
		}).Register(router)
		d.hosts[i] = &flakyHost{next: router}
		server := httptest.NewServer(d.hosts[i])
		t.Cleanup(server.Close)
		d.addrs = append(d.addrs, netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")))
	}
	return d
}

func (d *deployment) client(credential string) *operator.Client {
	return operator.NewClient(operator.ClientConfig{Addrs: d.addrs, Credential: credential, Timeout: time.Minute})
}

func (d *deployment) apply(t *testing.T, file string) {
	t.Helper()
	_, err := d.client("first").Write(t.Context(), operator.WriteRequest{File: []byte(file)})
	assert.NilError(t, err)
}

func consortium(t *testing.T) string {
	t.Helper()
	p, err := preset.Get(preset.Consortium)
	assert.NilError(t, err)
	return string(p.File)
}

func delegationFile(path, credential, below string) string {
	return fmt.Sprintf("%s: {below: [%s], credential: %q}\n", path, below, settings.FormatHash(settings.HashCredential(credential)))
}

// TestWhoMayWrite checks which credentials may write which paths.
func TestWhoMayWrite(t *testing.T) {
	d := newDeployment(t)
	d.apply(t, consortium(t)+
		delegationFile("platform/delegations/desk", "desk", "platform, teams")+
		delegationFile("teams/mesa/delegations/mesa", "mesa", "teams/mesa")+
		delegationFile("teams/mesa/delegations/limits", "limits", "teams/mesa/limits")+
		delegationFile("teams/mesa/delegations/handing", "handing", "teams/mesa/delegations"))
	const limit = "teams/mesa/limits/mesa-crews/interactive: {rate: 5}\n"
	cases := map[string]struct {
		credential, file string
		denied           string
	}{
		"own subtree":         {credential: "mesa", file: limit},
		"narrow subtree":      {credential: "limits", file: limit},
		"platform's operator": {credential: "desk", file: limit},
		"another team":        {credential: "mesa", file: "teams/sierra/limits/sierra-crews/bulk: {rate: 5}\n", denied: "may not write"},
		"one of two paths":    {credential: "limits", file: limit + "teams/mesa/callers/mesa-crews: null\n", denied: "may not write"},
		"prefix of the name":  {credential: "mesa", file: "teams/mesa2/callers/c: null\n", denied: "may not write"},
		"delegates more":      {credential: "handing", file: delegationFile("teams/mesa/delegations/new", "x", "teams/mesa"), denied: "may not delegate"},
		"extends itself":      {credential: "handing", file: delegationFile("teams/mesa/delegations/handing", "handing", "teams/mesa"), denied: "may not delegate"},
		"expired bootstrap":   {credential: "first", file: limit, denied: "unknown credential"},
		"caller's credential": {credential: preset.Credential("mesa-crews"), file: limit, denied: "unknown credential"},
		"no credential":       {file: limit, denied: "no credential"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := d.client(c.credential).Write(t.Context(), operator.WriteRequest{File: []byte(c.file), DryRun: true})
			var denied *operator.DeniedError
			if c.denied == "" {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.As(err, &denied), "error %v", err)
			assert.ErrorContains(t, err, c.denied)
		})
	}
}

// TestLostResponse checks that a write is applied once if the first host's response is
// lost and the next host gets the same request.
func TestLostResponse(t *testing.T) {
	d := newDeployment(t)
	d.hosts[0].dropResponses.Store(1)
	out, err := d.client("first").Write(t.Context(), operator.WriteRequest{File: []byte(consortium(t))})
	assert.NilError(t, err)
	assert.Equal(t, out.Number, uint64(1))
	view, err := d.client("first").Read(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, view.Number, uint64(1))
	assert.Equal(t, view.History[0].By, "bootstrap")
}

// TestAllResponsesLost checks that the outcome is unresolved if no response arrives.
func TestAllResponsesLost(t *testing.T) {
	d := newDeployment(t)
	d.hosts[0].dropResponses.Store(1)
	d.hosts[1].dropResponses.Store(1)
	_, err := d.client("first").Write(t.Context(), operator.WriteRequest{File: []byte(consortium(t))})
	assert.ErrorIs(t, err, settings.ErrUnresolved)
}

// TestLostThenRejected guards against reporting a write as not accepted after an earlier
// host may have made it.
func TestLostThenRejected(t *testing.T) {
	d := newDeployment(t)
	d.hosts[0].dropResponses.Store(1)
	d.hosts[1].next = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.store.SetFaults(fake.PlatformFaults{Down: true})
		defer d.store.SetFaults(fake.PlatformFaults{})
		d.hosts[0].next.ServeHTTP(w, r)
	})
	_, err := d.client("first").Write(t.Context(), operator.WriteRequest{File: []byte(consortium(t))})
	assert.ErrorIs(t, err, settings.ErrUnresolved)
}

func TestStoreUnavailable(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFaults(fake.PlatformFaults{Down: true})
	_, err := d.client("first").Write(t.Context(), operator.WriteRequest{File: []byte(consortium(t))})
	assert.ErrorIs(t, err, settings.ErrNotAccepted)
}

// TestBusyHost sends one host more requests than it serves at once: the others must go
// to the next host.
func TestBusyHost(t *testing.T) {
	d := newDeployment(t)
	d.store.SetFaults(fake.PlatformFaults{SlowMin: 50 * time.Millisecond, SlowMax: 50 * time.Millisecond})
	var group errgroup.Group
	const operators = 100 // more than one host serves at once, fewer than both do
	for range operators {
		group.Go(func() error {
			_, err := d.client("first").Read(t.Context())
			return err
		})
	}
	assert.NilError(t, group.Wait())
}

func TestNoHostReachable(t *testing.T) {
	client := operator.NewClient(operator.ClientConfig{
		Addrs: []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}, Credential: "x", Timeout: time.Minute,
	})
	_, err := client.Write(context.Background(), operator.WriteRequest{})
	assert.ErrorIs(t, err, settings.ErrNotAccepted)
}
