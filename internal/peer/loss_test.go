package peer_test

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"citrontray.example/citrontray/internal/peer"
)

// lossyConn is a socket that drops a percentage of the packets sent on it.
type lossyConn struct {
	net.PacketConn

	percent atomic.Int64
	mu      sync.Mutex
	random  *rand.Rand
}

func newLossyConn(t *testing.T, at netip.AddrPort, percent int64) *lossyConn {
	t.Helper()
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(at))
	assert.NilError(t, err)
	l := &lossyConn{PacketConn: conn, random: rand.New(rand.NewPCG(1, 2))}
	l.percent.Store(percent)
	return l
}

func (l *lossyConn) WriteTo(p []byte, addr net.Addr) (int, error) {
	const all = 100
	l.mu.Lock()
	drop := l.random.Int64N(all) < l.percent.Load()
	l.mu.Unlock()
	if drop {
		return len(p), nil
	}
	return l.PacketConn.WriteTo(p, addr)
}

func startOn(t *testing.T, m peer.Credentials, conn net.PacketConn) *peer.Peer {
	t.Helper()
	p, err := peer.New(peer.Config{Conn: conn, Credentials: m})
	assert.NilError(t, err)
	p.Handle(peer.KindSync, echo)
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = p.Run(t.Context())
	}()
	t.Cleanup(func() { <-done })
	return p
}

// TestCallsSurviveLostPackets drops a tenth of all packets in both directions.
func TestCallsSurviveLostPackets(t *testing.T) {
	const (
		percent = 10
		calls   = 100
		timeout = 30 * time.Second
	)
	dir := newAuthority(t)
	server := startOn(t, newCredentials(t, dir, "h1", peer.RoleLead), newLossyConn(t, anyPort(), percent))
	client := startOn(t, newCredentials(t, dir, "h2", peer.RoleEntry), newLossyConn(t, anyPort(), percent))
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	eventually(t, "connected", func() bool {
		_, err := client.Call(ctx, server.Addr(), peer.KindSync, nil)
		return err == nil
	})
	slowest := time.Duration(0)
	for range calls {
		sent := time.Now()
		response, err := client.Call(ctx, server.Addr(), peer.KindSync, make([]byte, 10_000))
		assert.NilError(t, err)
		assert.Equal(t, len(response), 10_000+len("h2/entry:"))
		slowest = max(slowest, time.Since(sent))
	}
	t.Logf("slowest of %d calls: %v", calls, slowest)
}

// TestCrashAndRestartAtSameAddress ends a process without closing its
// connections and starts another at its address: the stateless resets of the
// new one end the old connection.
func TestCrashAndRestartAtSameAddress(t *testing.T) {
	const allPackets = 100
	dir := newAuthority(t)
	m := newCredentials(t, dir, "h1", peer.RoleLead)
	socket := newLossyConn(t, anyPort(), 0)
	first := startOn(t, m, socket)
	addr := first.Addr()
	client := startOn(t, newCredentials(t, dir, "h2", peer.RoleEntry), newLossyConn(t, anyPort(), 0))
	_, err := client.Call(t.Context(), addr, peer.KindSync, nil)
	assert.NilError(t, err)
	socket.percent.Store(allPackets)
	_ = first.Close()
	startOn(t, m, newLossyConn(t, addr, 0))
	begin := time.Now()
	eventually(t, "the new process responds", func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, addr, peer.KindSync, nil)
		return err == nil
	})
	t.Logf("response after %v", time.Since(begin))
}

// slowCloseConn is a socket whose Close takes 50 ms.
type slowCloseConn struct {
	net.PacketConn

	closing, closed atomic.Bool
}

func (s *slowCloseConn) Close() error {
	if !s.closing.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	time.Sleep(50 * time.Millisecond)
	defer s.closed.Store(true)
	return s.PacketConn.Close()
}

// TestConcurrentClose: when Close returns, the address is free, also where
// another goroutine closes the peer at the same time.
func TestConcurrentClose(t *testing.T) {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(anyPort()))
	assert.NilError(t, err)
	socket := &slowCloseConn{PacketConn: conn}
	p := startOn(t, newCredentials(t, newAuthority(t), "h1", peer.RoleLead), socket)
	var group errgroup.Group
	for range 2 {
		group.Go(func() error {
			err := p.Close()
			if !socket.closed.Load() {
				t.Error("Close returned before the socket was closed")
			}
			return err
		})
	}
	assert.NilError(t, group.Wait())
}
