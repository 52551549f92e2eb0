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

// connection is one open connection.
type connection struct {
	peer     *Peer
	conn     *quic.Conn
	identity Identity
	chain    []*x509.Certificate
}

func newConnection(owner *Peer, conn *quic.Conn, now time.Time) (*connection, error) {
	chain := conn.ConnectionState().TLS.PeerCertificates
	identity, err := owner.keys.Verify(now, chain)
	if err != nil {
		return nil, err
	}
	return &connection{peer: owner, conn: conn, identity: identity, chain: chain}, nil
}

func (s *connection) alive() bool { return s.conn.Context().Err() == nil }

func (s *connection) close(code quic.ApplicationErrorCode) {
	// Closing reports only that the connection had ended already.
	_ = s.conn.CloseWithError(code, "")
}

// acceptLoop accepts connections until the end.
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
	s, err := newConnection(p, conn, time.Now())
	if err != nil {
		p.log.Warn("Connection refused.", slog.String("from", conn.RemoteAddr().String()), slog.Any("error", err))
		_ = conn.CloseWithError(codeDenied, "")
		return
	}
	if !p.admit(s) {
		p.log.Warn("Connection refused, too many are open.", slog.String("from", conn.RemoteAddr().String()))
		s.close(codeTooMany)
		return
	}
	p.connections.Go(s.serve)
}

// admit enters a session unless too many are open or the peer has ended.
func (p *Peer) admit(s *connection) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.inbound) >= maxInbound {
		return false
	}
	p.inbound[s] = struct{}{}
	return true
}

// serve takes the messages of one connection until it ends, or this process.
func (s *connection) serve() {
	defer s.peer.forget(s)
	defer s.close(codeClosed)
	for {
		stream, err := s.conn.AcceptStream(s.peer.ctx)
		if err != nil {
			return
		}
		m := &message{conn: s, stream: stream}
		s.peer.handling.Add(1)
		go m.serve()
	}
}

func (p *Peer) forget(s *connection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inbound, s)
}

// message is one message of another process while it is answered.
type message struct {
	conn   *connection
	stream *quic.Stream
}

// serve reads the message, lets its handler answer and sends that back.
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
		// The caller is about to give up too: an error text that wins that
		// race by a moment would look like a decision of the handler.
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

// handle runs the handler. One that panics ends its message alone.
func (m *message) handle(ctx context.Context, req request) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			logging.LogPanic(m.conn.peer.log, "message", cause)
			body, err = nil, errPanicked
		}
	}()
	return m.conn.peer.dispatch(ctx, m.conn.identity, req)
}

// errPanicked is the answer to a message whose handler panicked.
var errPanicked = errors.New("peer: handler failed")

func (p *Peer) dispatch(ctx context.Context, from Identity, req request) ([]byte, error) {
	p.mu.Lock()
	handler := p.handlers[req.kind]
	p.mu.Unlock()
	if handler == nil || !maySend(from.Role, req.kind) {
		return nil, ErrRefused
	}
	return handler(ctx, from, req.body)
}
