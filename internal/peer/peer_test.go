package peer_test

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"citrontray.example/citrontray/internal/certs"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/place"
)

var loopback = netip.MustParseAddr("127.0.0.1")

func newAuthority(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, certs.CreateAuthority(time.Now(), dir))
	return dir
}

func newCredentials(t *testing.T, dir string, host place.Host, role peer.Role) *certs.Material {
	t.Helper()
	err := certs.IssueHost(time.Now(), dir, host, "z1", []peer.Role{role}, []netip.Addr{loopback})
	assert.NilError(t, err)
	m, err := certs.Load(time.Now(), dir, host, role)
	assert.NilError(t, err)
	return m
}

func start(t *testing.T, m peer.Credentials, at netip.AddrPort) *peer.Peer {
	t.Helper()
	p, err := peer.New(peer.Config{Listen: at, Credentials: m})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return p
}

func anyPort() netip.AddrPort { return netip.AddrPortFrom(loopback, 0) }

func echo(_ context.Context, from peer.Identity, body []byte) ([]byte, error) {
	return append([]byte(from.Host+"/"+place.Host(from.Role)+":"), body...), nil
}

func TestCallCarriesIdentityAndBody(t *testing.T) {
	dir := newAuthority(t)
	server := start(t, newCredentials(t, dir, "h1", peer.RoleLead), anyPort())
	server.Handle(peer.KindSync, echo)
	client := start(t, newCredentials(t, dir, "h2", peer.RoleEntry), anyPort())
	body := bytes.Repeat([]byte("x"), 3<<20)
	got, err := client.Call(t.Context(), server.Addr(), peer.KindSync, body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(got, append([]byte("h2/entry:"), body...)))
}

func TestCallFailures(t *testing.T) {
	dir := newAuthority(t)
	server := start(t, newCredentials(t, dir, "h1", peer.RoleLead), anyPort())
	server.Handle(peer.KindSync, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return nil, errors.New("no such document")
	})
	server.Handle(peer.KindCell, echo)
	server.Handle(peer.KindLoad, func(ctx context.Context, _ peer.Identity, _ []byte) ([]byte, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	server.Handle(peer.KindStatus, func(context.Context, peer.Identity, []byte) ([]byte, error) {
		return make([]byte, peer.MaxMessage+1), nil
	})
	client := start(t, newCredentials(t, dir, "h2", peer.RoleEntry), anyPort())
	closed := start(t, newCredentials(t, dir, "h3", peer.RoleEntry), anyPort())
	closedAddr := closed.Addr()
	assert.NilError(t, closed.Close())
	eventually(t, "connected", func() bool {
		_, err := client.Call(t.Context(), server.Addr(), peer.KindCell, nil)
		return errors.Is(err, peer.ErrRefused)
	})
	tests := map[string]struct {
		to   netip.AddrPort
		kind peer.Kind
		body []byte
		want error
		// timeout is set for calls that have to time out.
		timeout time.Duration
	}{
		"no process at address":   {to: closedAddr, kind: peer.KindSync, want: peer.ErrUnreachable},
		"role may not send":       {to: server.Addr(), kind: peer.KindCell, want: peer.ErrRefused},
		"role does not serve":     {to: server.Addr(), kind: peer.KindRelay, want: peer.ErrRefused},
		"no response in time":     {to: server.Addr(), kind: peer.KindLoad, want: peer.ErrNoResponse, timeout: time.Second},
		"message too large":       {to: server.Addr(), kind: peer.KindSync, body: make([]byte, peer.MaxMessage+1), want: peer.ErrTooLarge},
		"unknown kind of message": {to: server.Addr(), kind: 99, want: peer.ErrRefused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), cmp.Or(tt.timeout, time.Minute))
			defer cancel()
			_, err := client.Call(ctx, tt.to, tt.kind, tt.body)
			assert.ErrorIs(t, err, tt.want)
		})
	}
	t.Run("handler fails", func(t *testing.T) {
		_, err := client.Call(t.Context(), server.Addr(), peer.KindSync, nil)
		var remote *peer.RemoteError
		assert.Assert(t, errors.As(err, &remote))
		assert.Equal(t, remote.Text, "no such document")
	})
	t.Run("response too large", func(t *testing.T) {
		_, err := client.Call(t.Context(), server.Addr(), peer.KindStatus, nil)
		var remote *peer.RemoteError
		assert.Assert(t, errors.As(err, &remote))
	})
}

// TestRestartAtSameAddress ends a process and starts another at its address:
// the caller's old connection must not prevent calls to the new one.
func TestRestartAtSameAddress(t *testing.T) {
	dir := newAuthority(t)
	m := newCredentials(t, dir, "h1", peer.RoleLead)
	first := start(t, m, anyPort())
	first.Handle(peer.KindSync, echo)
	addr := first.Addr()
	client := start(t, newCredentials(t, dir, "h2", peer.RoleEntry), anyPort())
	_, err := client.Call(t.Context(), addr, peer.KindSync, nil)
	assert.NilError(t, err)
	assert.NilError(t, first.Close())
	second := start(t, m, addr)
	second.Handle(peer.KindSync, echo)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if _, err := client.Call(t.Context(), addr, peer.KindSync, nil); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

// TestCloseNotifiesCallers: Close has to close all connections. A connection
// that stays open at the caller's side carries messages to the next process at
// the address, and the calls end with ErrNoResponse instead of ErrUnreachable.
func TestCloseNotifiesCallers(t *testing.T) {
	dir := newAuthority(t)
	server, err := peer.New(peer.Config{Listen: anyPort(), Credentials: newCredentials(t, dir, "host-2", peer.RoleLead)})
	assert.NilError(t, err)
	server.Handle(peer.KindSync, echo)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()
	addr := server.Addr()
	var callers [16]*peer.Peer
	for i := range callers {
		callers[i] = start(t, newCredentials(t, dir, "host-1", peer.RoleLead), anyPort())
		_, err = callers[i].Call(t.Context(), addr, peer.KindSync, nil)
		assert.NilError(t, err)
	}

	errs := make([]error, len(callers))
	stopped := make(chan struct{})
	var calls sync.WaitGroup
	for i := range callers {
		calls.Go(func() {
			for open := true; open; {
				select {
				case <-stopped:
					open = false
				default:
				}
				_, errs[i] = callers[i].Call(t.Context(), addr, peer.KindSync, nil)
			}
		})
	}
	stop()
	assert.NilError(t, <-done)
	close(stopped)
	calls.Wait()
	for i, err := range errs {
		var closed *quic.ApplicationError
		if errors.As(err, &closed) && closed.Remote {
			// The notice arrived while the last call was under way.
			_, err = callers[i].Call(t.Context(), addr, peer.KindSync, nil)
		}
		assert.ErrorIs(t, err, peer.ErrUnreachable)
	}
}
