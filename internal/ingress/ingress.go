// Package ingress serves HTTP/1.1 connections of clients that may send requests
// before the ones ahead have been answered. Requests that may be repeated run
// side by side; answers go out in the order of the requests. It answers clients
// that save round trips on one connection, of which one slow request must not
// cost the others their time.
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
	// maxPipelined is how many requests of one connection run at once: more wait
	// unread, and a client that leaves meanwhile is noticed later.
	maxPipelined = 16
	// writeTimeout bounds the writing of one answer to a client that does not
	// read.
	writeTimeout = 30 * time.Second
	// lingerTimeout is how long a connection that ends is still read: closing it
	// over unread bytes would reset it, and the last answer might be lost.
	lingerTimeout = 500 * time.Millisecond
	// minAcceptBackoff and acceptMost bound the pause after a failed accept, where the
	// process has no descriptor left.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Config is what a Server needs.
type Config struct {
	Handler http.Handler
	// Concurrent reports whether a request may run beside others of its connection.
	Concurrent func(*http.Request) bool
	// IdleTimeout returns how long a connection without a request is kept now.
	IdleTimeout func() time.Duration
	// MaxHeaderBytes bounds the head of a request, HeaderTimeout the time from its
	// first byte to its last.
	MaxHeaderBytes int
	HeaderTimeout  time.Duration
	// OnPanic is told where a handler panicked.
	OnPanic func(part string, cause any)
	Log     *slog.Logger
}

// Server serves the connections of one listener.
type Server struct {
	cfg Config

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// drainIdle is how long idle connections are kept in a planned stop; zero
	// before it.
	drainIdle time.Duration
	closed    bool
	work      sync.WaitGroup
}

// New returns a server that serves nothing yet.
func New(cfg Config) *Server { return &Server{cfg: cfg, conns: make(map[*conn]struct{})} }

// Serve takes connections until Shutdown or Close.
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

// removeConn is told by a connection that it has ended.
func (s *Server) removeConn(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.work.Done()
}

// idleTimeout returns how long a connection without a request is kept now.
func (s *Server) idleTimeout() time.Duration {
	s.mu.Lock()
	hurried := s.drainIdle
	s.mu.Unlock()
	if hurried > 0 {
		return hurried
	}
	return s.cfg.IdleTimeout()
}

// draining reports whether a planned stop has begun: each connection ends behind
// the last request that was taken from it.
func (s *Server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainIdle > 0
}

// Drain begins a planned stop. New connections are still served; those without a
// request are kept for idle, so that a request on its way is still taken.
func (s *Server) Drain(idle time.Duration) {
	s.mu.Lock()
	s.drainIdle = idle
	open := s.openConns()
	s.mu.Unlock()
	for _, c := range open {
		c.startIdle(idle)
	}
}

// openConns returns the open connections. The caller holds mu.
func (s *Server) openConns() []*conn {
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Shutdown takes no more connections and waits until all have ended, at most
// until ctx ends.
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

// Close ends all connections at once.
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
