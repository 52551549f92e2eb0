package peer

import (
	"context"
	"crypto/x509"
	"errors"
	"log/slog"
	"time"

	"github.com/quic-go/quic-go"

	"citrontray.example/citrontray/internal/logging"
)

// connection is one open QUIC connection.
type connection struct {
	peer     *Peer
	conn     *quic.Conn
	identity Identity
	chain    []*x509.Certificate
}

func newConnection(p *Peer, conn *quic.Conn, now time.Time) (*connection, error) {
	chain := conn.ConnectionState().TLS.PeerCertificates
	identity, err := p.keys.Verify(now, chain)
	if err != nil {
		return nil, err
	}
	return &connection{peer: p, conn: conn, identity: identity, chain: chain}, nil
}

func (c *connection) alive() bool { return c.conn.Context().Err() == nil }

func (c *connection) close(code quic.ApplicationErrorCode) {
	// The error only reports that the connection had ended already.
	_ = c.conn.CloseWithError(code, "")
}

// acceptLoop accepts connections until the listener or the peer is closed.
func (p *Peer) acceptLoop() {
	for {
		conn, err := p.listener.Accept(p.ctx)
		if err != nil {
			return
		}
		p.accept(conn)
	}
}

func (p *Peer) accept(conn *quic.Conn) {
	c, err := newConnection(p, conn, time.Now())
	if err != nil {
		p.log.Warn("Connection refused, its certificate is not valid.", slog.String("from", conn.RemoteAddr().String()), slog.Any("error", err))
		_ = conn.CloseWithError(codeDenied, "")
		return
	}
	if !p.admit(c) {
		p.log.Warn("Connection refused, too many connections are open.", slog.String("from", conn.RemoteAddr().String()))
		c.close(codeTooMany)
		return
	}
	p.connections.Go(c.serve)
}

// admit registers an inbound connection, unless too many are open or the peer
// is closed.
func (p *Peer) admit(c *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.inbound) >= maxInbound {
		return false
	}
	p.inbound[c] = struct{}{}
	return true
}

// serve accepts the streams of one connection until it ends or the peer is
// closed.
func (c *connection) serve() {
	defer c.peer.forget(c)
	defer c.close(codeClosed)
	for {
		stream, err := c.conn.AcceptStream(c.peer.ctx)
		if err != nil {
			return
		}
		m := &message{conn: c, stream: stream}
		c.peer.handling.Add(1)
		go m.serve()
	}
}

func (p *Peer) forget(c *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, c)
}

// message is a received message that is being handled.
type message struct {
	conn   *connection
	stream *quic.Stream
}

// serve reads the message, runs its handler and sends the response.
func (m *message) serve() {
	defer m.conn.peer.handling.Done()
	defer m.stream.CancelRead(streamClosed)
	if err := m.stream.SetReadDeadline(time.Now().Add(maxTimeout)); err != nil {
		return
	}
	req, err := readRequest(m.stream)
	if err != nil {
		m.stream.CancelWrite(streamClosed)
		return
	}
	ctx, cancel := context.WithTimeout(m.stream.Context(), req.timeout)
	defer cancel()
	body, err := m.handle(ctx, req)
	if err != nil && ctx.Err() != nil {
		// The caller's own deadline passes at this moment. An error that
		// arrives just before it would look like a result of the handler.
		m.stream.CancelWrite(streamExpired)
		return
	}
	if err := m.stream.SetWriteDeadline(time.Now().Add(req.timeout)); err != nil {
		return
	}
	if _, err := m.stream.Write(encodeResponse(body, err)); err != nil {
		m.stream.CancelWrite(streamClosed)
		return
	}
	if err := m.stream.Close(); err != nil {
		m.stream.CancelWrite(streamClosed)
	}
}

// handle runs the handler. A panic ends only its message.
func (m *message) handle(ctx context.Context, req request) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(m.conn.peer.log, "message", cause)
			body, err = nil, errPanicked
		}
	}()
	return m.conn.peer.dispatch(ctx, m.conn.identity, req)
}

// errPanicked is the error that the caller of a panicked handler gets.
var errPanicked = errors.New("peer: handler panicked")

func (p *Peer) dispatch(ctx context.Context, from Identity, req request) ([]byte, error) {
	p.mu.Lock()
	handler := p.handlers[req.kind]
	p.mu.Unlock()
	if handler == nil || !maySend(from.Role, req.kind) {
		p.log.Warn("Message refused, its kind is unknown or not for its sender.", slog.String("from", string(from.Host)),
			slog.String("role", string(from.Role)), slog.Int("kind", int(req.kind)))
		return nil, ErrRefused
	}
	return handler(ctx, from, req.body)
}
