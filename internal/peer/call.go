package peer

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"

	"citrontray.example/citrontray/internal/body"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
)

// remote is one address that this process calls, with the connection to it.
type remote struct {
	peer *Peer
	addr netip.AddrPort

	mu       sync.Mutex
	conn     *connection
	inFlight int
	lastUsed time.Time
	dialing  chan struct{} // closed at the end of the dial
	failures int
	retryAt  time.Time
	lastErr  error
}

// Call implements Transport. The deadline of ctx is sent with the message;
// without one it is defaultTimeout from now. Errors: ErrUnreachable where
// nothing was sent, ErrRefused, *RemoteError, ErrTooLarge, otherwise
// ErrNoResponse.
func (p *Peer) Call(ctx context.Context, to netip.AddrPort, kind Kind, message []byte) ([]byte, error) {
	return p.CallReserving(ctx, to, kind, message, nil)
}

// CallReserving is Call for responses that may be long: memory for one is reserved before
// it is read. Without it the error is body.ErrNoMemory.
func (p *Peer) CallReserving(ctx context.Context, to netip.AddrPort, kind Kind, message []byte, reserve body.Reserve) ([]byte, error) {
	if len(message) > MaxMessage {
		return nil, ErrTooLarge
	}
	if _, ok := ctx.Deadline(); !ok {
		bounded, cancel := context.WithTimeout(ctx, defaultTimeout)
		defer cancel()
		ctx = bounded
	}
	if p.partitioned != nil && p.partitioned(to) {
		return nil, fmt.Errorf("%w: partitioned from %s", ErrUnreachable, to)
	}
	r, err := p.remote(to)
	if err != nil {
		return nil, err
	}
	c, err := r.connect(ctx)
	if err != nil {
		return nil, err
	}
	defer r.release()
	if !mayServe(c.identity.Role, kind) {
		return nil, ErrRefused
	}
	return c.call(ctx, kind, message, reserve)
}

func (p *Peer) remote(to netip.AddrPort) (*remote, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ErrClosed)
	}
	r := p.remotes[to]
	if r == nil {
		r = &remote{peer: p, addr: to, lastUsed: time.Now()}
		p.remotes[to] = r
	}
	return r, nil
}

// connect returns an open connection and counts a call in flight; release ends
// the call. Without a connection it dials, unless the backoff of a failed dial
// still runs.
func (r *remote) connect(ctx context.Context) (*connection, error) {
	for {
		c, wait, err := r.tryConnect(time.Now())
		if c != nil || err != nil {
			return c, err
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, r.addr, ctx.Err())
		}
	}
}

func (r *remote) tryConnect(now time.Time) (*connection, <-chan struct{}, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastUsed = now
	if r.conn != nil && r.conn.alive() {
		r.inFlight++
		return r.conn, nil, nil
	}
	if r.dialing != nil {
		return nil, r.dialing, nil
	}
	if now.Before(r.retryAt) {
		return nil, nil, fmt.Errorf("%w: %s: %w", ErrUnreachable, r.addr, r.lastErr)
	}
	r.conn = nil
	r.dialing = make(chan struct{})
	go r.runDial()
	return nil, r.dialing, nil
}

func (r *remote) release() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	r.lastUsed = time.Now()
}

// runDial dials once, for all calls that wait for a connection.
func (r *remote) runDial() {
	c, err := r.dial()
	r.mu.Lock()
	defer r.mu.Unlock()
	close(r.dialing)
	r.dialing = nil
	if err != nil {
		r.lastErr = err
		r.retryAt = time.Now().Add(backoff(r.failures))
		r.failures++
		return
	}
	r.failures = 0
	r.conn = c
}

// backoff returns the time before the next dial: doubling from firstBackoff to
// maxBackoff, less a jitter of up to half of it.
func backoff(failures int) time.Duration {
	const maxDoublings = 10
	full := min(firstBackoff<<min(failures, maxDoublings), maxBackoff)
	return full/2 + rand.N(full/2)
}

func (r *remote) dial() (*connection, error) {
	ctx, cancel := context.WithTimeout(r.peer.ctx, handshakeTimeout)
	defer cancel()
	config := r.peer.keys.ClientTLS(Protocol)
	config.ServerName = r.addr.Addr().String()
	conn, err := r.peer.transport.Dial(ctx, net.UDPAddrFromAddrPort(r.addr), config, quicConfig(keepAlivePeriod))
	if err != nil {
		return nil, err
	}
	c, err := newConnection(r.peer, conn, time.Now())
	if err != nil {
		_ = conn.CloseWithError(codeDenied, "")
		return nil, err
	}
	return c, nil
}

// upkeep closes a connection that has been unused for unusedTimeout. It reports
// whether the remote is still needed.
func (r *remote) upkeep(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	unused := r.inFlight == 0 && now.Sub(r.lastUsed) > unusedTimeout
	if r.conn == nil {
		return !unused || r.dialing != nil
	}
	if unused {
		r.conn.close(codeUnused)
		r.conn = nil
	}
	return !unused
}

// verify closes the connection if its certificate is no longer valid.
func (r *remote) verify(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn == nil {
		return
	}
	if _, err := r.peer.keys.Verify(now, r.conn.chain); err != nil {
		r.conn.close(codeDenied)
		r.conn = nil
	}
}

func (r *remote) close(code quic.ApplicationErrorCode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conn != nil {
		r.conn.close(code)
	}
}

// call sends one message on a stream of its own and reads the response.
func (c *connection) call(ctx context.Context, kind Kind, message []byte, reserve body.Reserve) ([]byte, error) {
	stream, err := c.conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, err)
	}
	stop := context.AfterFunc(ctx, func() {
		stream.CancelWrite(streamExpired)
		stream.CancelRead(streamExpired)
	})
	defer stop()
	deadline, _ := ctx.Deadline()
	header := appendRequestHeader(make([]byte, 0, requestHeaderSize+len(message)), kind, time.Until(deadline))
	if _, err := stream.Write(append(header, message...)); err != nil {
		return nil, noResponse(ctx, err)
	}
	if err := stream.Close(); err != nil {
		return nil, noResponse(ctx, err)
	}
	response, err := readResponse(stream, reserve)
	if errors.Is(err, ErrNoResponse) {
		return nil, noResponse(ctx, err)
	}
	return response, err
}

func noResponse(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fmt.Errorf("%w: %w", ErrNoResponse, ctx.Err())
	}
	return fmt.Errorf("%w: %w", ErrNoResponse, err)
}
