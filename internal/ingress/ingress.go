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
	// aheadMost is how many requests of one connection run at once: more wait
	// unread, and a client that leaves meanwhile is noticed later.
	aheadMost = 16
	// writeTimeout bounds the writing of one answer to a client that does not
	// read.
	writeTimeout = 30 * time.Second
	// lingerTime is how long a connection that ends is still read: closing it
	// over unread bytes would reset it, and the last answer might be lost.
	lingerTime = 500 * time.Millisecond
	// acceptFirst and acceptMost bound the pause after a failed accept, where the
	// process has no descriptor left.
	acceptFirst = 5 * time.Millisecond
	acceptMost  = time.Second
)

// Config is what a Server needs.
type Config struct {
	Handler http.Handler
	// Beside reports whether a request may run beside others of its connection.
	Beside func(*http.Request) bool
	// Idle returns how long a connection without a request is kept now.
	Idle func() time.Duration
	// HeaderBytes bounds the head of a request, HeaderTimeout the time from its
	// first byte to its last.
	HeaderBytes   int
	HeaderTimeout time.Duration
	// Panicked is told where a handler panicked.
	Panicked func(part string, cause any)
	Log      *slog.Logger
}

// Server serves the connections of one listener.
type Server struct {
	cfg Config

	mu       sync.Mutex
	listener net.Listener
	conns    map[*conn]struct{}
	// hurried is how long idle connections are kept in a planned stop; zero
	// before it.
	hurried time.Duration
	closed  bool
	work    sync.WaitGroup
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
			s.open(c)
			continue
		}
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		pause = min(max(2*pause, acceptFirst), acceptMost)
		s.cfg.Log.Warn("Connection not accepted.", slog.Any("error", err), slog.Float64("pause", float64(pause.Microseconds())/1000))
		time.Sleep(pause)
	}
}

func (s *Server) open(c net.Conn) {
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

// forget is told by a connection that it has ended.
func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.work.Done()
}

// idle returns how long a connection without a request is kept now.
func (s *Server) idle() time.Duration {
	s.mu.Lock()
	hurried := s.hurried
	s.mu.Unlock()
	if hurried > 0 {
		return hurried
	}
	return s.cfg.Idle()
}

// ending reports whether a planned stop has begun: each connection ends behind
// the last request that was taken from it.
func (s *Server) ending() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hurried > 0
}

// Hurry begins a planned stop. New connections are still served; those without a
// request are kept for idle, so that a request on its way is still taken.
func (s *Server) Hurry(idle time.Duration) {
	s.mu.Lock()
	s.hurried = idle
	open := s.list()
	s.mu.Unlock()
	for _, c := range open {
		c.rest(idle)
	}
}

// list returns the open connections. The caller holds mu.
func (s *Server) list() []*conn {
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
	listener, open := s.listener, s.list()
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
