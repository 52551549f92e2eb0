// Package ingress serves HTTP/1.1 connections with pipelining: clients may send requests
// before earlier ones have their responses. GET and HEAD requests for which
// Config.Concurrent returns true run concurrently, and responses are written in the order
// of the requests. net/http would run them one after the other, so that one slow request
// would delay all others on its connection.
package ingress

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// maxPipelined is how many requests of one connection run at once. More are left
	// unread; meanwhile, a disconnect of the client is detected late.
	maxPipelined = 16
	// writeTimeout bounds the time to write one response to a client that does not
	// read.
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long a closing connection is still read without receiving a byte,
	// maxLinger how long at most: a client may read its response only once it has sent the
	// whole request. Closing the connection with unread bytes would reset it, and the last
	// response might be lost.
	lingerTimeout = 500 * time.Millisecond
	maxLinger     = writeTimeout
	// minAcceptBackoff and maxAcceptBackoff bound the backoff after a failed accept,
	// for example if the process has no file descriptor left.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Config holds the handler and the limits of a Server.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request may run concurrently with others of its
	// connection. It is called only for GET and HEAD requests without a body.
	Concurrent func(*http.Request) bool
	// IdleTimeout returns how long a connection without a request is currently kept.
	IdleTimeout func() time.Duration
	// MaxHeaderBytes bounds the head of a request, HeaderTimeout the time from its
	// first byte to its last.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// OnPanic is called after a panic of a handler.
	OnPanic func(part string, cause any)
	Log     *slog.Logger
}

// Server serves the connections of one listener.
type Server struct {
	cfg Config

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// drainIdle is the idle timeout while the server drains, zero before, and readUntil until
	// when bodies are read then.
	drainIdle time.Duration
	readUntil time.Time
	closed    bool
	work      sync.WaitGroup
}

// New returns a server without a listener.
func New(cfg Config) *Server { return &Server{cfg: cfg, conns: make(map[*conn]struct{})} }

// Serve accepts connections until Shutdown or Close.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	closed := s.closed
	s.mu.Unlock()
	if closed {
		return l.Close()
	}
	pause := time.Duration(0)
	for {
		c, err := l.Accept()
		if err == nil {
			pause = 0
			s.startConn(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		pause = min(max(2*pause, minAcceptBackoff), maxAcceptBackoff)
		s.cfg.Log.Warn("Connection not accepted.", slog.Any("error", err), slog.Float64("pause", float64(pause.Microseconds())/1000))
		time.Sleep(pause)
	}
}

func (s *Server) startConn(c net.Conn) {
	k := newConn(s, c)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // the other side may have closed it first
		return
	}
	s.conns[k] = struct{}{}
	s.work.Add(1)
	go k.run()
}

// removeConn removes a connection that has ended.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.work.Done()
}

// idleTimeout returns how long a connection without a request is currently kept.
func (s *Server) idleTimeout() time.Duration {
	s.mu.Lock()
	drainTimeout := s.drainIdle
	s.mu.Unlock()
	if drainTimeout > 0 {
		return drainTimeout
	}
	return s.cfg.IdleTimeout()
}

// draining reports whether the server drains: each connection closes after its last
// accepted request.
func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainIdle > 0
}

// Drain begins to drain the server. New connections are still served. Connections
// without a request are kept for idle, so that a request in transit is still accepted. A body
// that has not been read by readUntil fails, so that its request can still be answered.
func (s *Server) Drain(idle time.Duration, readUntil time.Time) {
	s.mu.Lock()
	s.drainIdle, s.readUntil = idle, readUntil
	open := s.openConns()
	s.mu.Unlock()
	for _, c := range open {
		c.startIdle(idle)
		c.limitBody()
	}
}

// bodyDeadline returns until when the next bytes of a body are awaited.
func (s *Server) bodyDeadline(now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if until := now.Add(bodyReadTimeout); s.readUntil.IsZero() || until.Before(s.readUntil) {
		return until
	}
	return s.readUntil
}

// openConns returns the open connections. The caller holds mu.
func (s *Server) openConns() []*conn {
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Shutdown stops accepting connections and waits until all have ended or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closed = true
	listener := s.listener
	s.mu.Unlock()
	if listener != nil {
		_ = listener.Close() // it may be closed already
	}
	ended := make(chan struct{})
	go func() {
		s.work.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Abort closes the connections with a request that has no response yet and returns their
// number. Then it waits until the clients of the others have read their responses or ctx ends.
func (s *Server) Abort(ctx context.Context) int {
	s.mu.Lock()
	open := s.openConns()
	s.mu.Unlock()
	aborted := make(map[*conn]bool)
	for _, c := range open {
		if c.abort() {
			aborted[c] = true
		}
	}
	ticker := time.NewTicker(abortCheckInterval)
	defer ticker.Stop()
	for s.openBeside(aborted) {
		select {
		case <-ctx.Done():
			return len(aborted)
		case <-ticker.C:
		}
	}
	return len(aborted)
}

// abortCheckInterval is the time between two checks of Abort for connections that are open.
const abortCheckInterval = 10 * time.Millisecond

// openBeside reports whether any other connections than the aborted ones are open. Those end
// with their handlers, some of which can't be canceled.
func (s *Server) openBeside(aborted map[*conn]bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if !aborted[c] {
			return true
		}
	}
	return false
}

// Close closes the listener and all connections at once.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	listener, open := s.listener, s.openConns()
	s.mu.Unlock()
	var err error
	if listener != nil {
		err = listener.Close()
	}
	for _, c := range open {
		c.cancel()
		_ = c.Close() // the other side may have closed it first
	}
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}
