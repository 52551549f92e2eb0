package peer

import (
	"context"
	"crypto/x509"
	"errors"
	"log/slog"
	"time"

	"github.com/quic-go/quic-go"

	"citrontray.example/citrontray/internal/journal"
)

// session is one open connection.
type session struct {
	owner    *Peer
	conn     *quic.Conn
	identity Identity
	chain    []*x509.Certificate
}

func newSession(owner *Peer, conn *quic.Conn, now time.Time) (*session, error) {
	chain := conn.ConnectionState().TLS.PeerCertificates
	identity, err := owner.keys.Verify(now, chain)
	if err != nil {
		return nil, err
	}
	return &session{owner: owner, conn: conn, identity: identity, chain: chain}, nil
}

func (s *session) alive() bool { return s.conn.Context().Err() == nil }

func (s *session) close(code quic.ApplicationErrorCode) {
	// Closing reports only that the connection had ended already.
	_ = s.conn.CloseWithError(code, "")
}

// run accepts connections until the end.
func (p *Peer) run() {
	for {
		conn, err := p.listener.Accept(p.ctx)
		if err != nil {
			return
		}
		p.accept(conn)
	}
}

func (p *Peer) accept(conn *quic.Conn) {
	s, err := newSession(p, conn, time.Now())
	if err != nil {
		p.log.Warn("Connection refused.", slog.String("from", conn.RemoteAddr().String()), slog.Any("error", err))
		_ = conn.CloseWithError(codeDenied, "")
		return
	}
	if !p.admit(s) {
		p.log.Warn("Connection refused, too many are open.", slog.String("from", conn.RemoteAddr().String()))
		s.close(codeFull)
		return
	}
	p.serving.Go(s.loop)
}

// admit enters a session unless too many are open or the peer has ended.
func (p *Peer) admit(s *session) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil || len(p.sessions) >= maxSessions {
		return false
	}
	p.sessions[s] = struct{}{}
	return true
}

// loop takes the messages of one connection until it ends, or this process.
func (s *session) loop() {
	defer s.owner.forget(s)
	defer s.close(codeStop)
	for {
		stream, err := s.conn.AcceptStream(s.owner.ctx)
		if err != nil {
			return
		}
		m := &message{session: s, stream: stream}
		s.owner.work.Add(1)
		go m.run()
	}
}

func (p *Peer) forget(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.sessions, s)
}

// message is one message of another process while it is answered.
type message struct {
	session *session
	stream  *quic.Stream
}

// run reads the message, lets its handler answer and sends that back.
func (m *message) run() {
	defer m.session.owner.work.Done()
	defer m.stream.CancelRead(streamGone)
	if err := m.stream.SetReadDeadline(time.Now().Add(maxTimeout)); err != nil {
		return
	}
	req, err := readRequest(m.stream)
	if err != nil {
		m.stream.CancelWrite(streamGone)
		return
	}
	ctx, cancel := context.WithTimeout(m.stream.Context(), req.timeout)
	defer cancel()
	body, err := m.answer(ctx, req)
	if err != nil && ctx.Err() != nil {
		// The caller is about to give up too: an error text that wins that
		// race by a moment would look like a decision of the handler.
		m.stream.CancelWrite(streamStale)
		return
	}
	if err := m.stream.SetWriteDeadline(time.Now().Add(req.timeout)); err != nil {
		return
	}
	if _, err := m.stream.Write(encodeAnswer(body, err)); err != nil {
		m.stream.CancelWrite(streamGone)
		return
	}
	if err := m.stream.Close(); err != nil {
		m.stream.CancelWrite(streamGone)
	}
}

// answer runs the handler. One that panics ends its message alone.
func (m *message) answer(ctx context.Context, req request) (body []byte, err error) {
	defer func() {
		if cause := recover(); cause != nil {
			journal.Panicked(m.session.owner.log, "message", cause)
			body, err = nil, errPanicked
		}
	}()
	return m.session.owner.answer(ctx, m.session.identity, req)
}

// errPanicked is the answer to a message whose handler panicked.
var errPanicked = errors.New("peer: handler failed")

func (p *Peer) answer(ctx context.Context, from Identity, req request) ([]byte, error) {
	p.mu.Lock()
	handler := p.handlers[req.kind]
	p.mu.Unlock()
	if handler == nil || !asks(from.Role, req.kind) {
		return nil, ErrRefused
	}
	return handler(ctx, from, req.body)
}
