package entry

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Bounds of the callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes bounds a request's line and headers; net/http adds 4 KiB.
	maxHeaderBytes = 16 << 10
	// stopPollInterval is how often a stop looks for open connections.
	stopPollInterval = 5 * time.Millisecond
)

// Server serves callers on one listener.
type Server struct {
	http      http.Server
	listener  net.Listener
	openConns atomic.Int64
	stopping  atomic.Bool
}

// NewServer returns the server for callers; Run serves.
func NewServer(handler http.Handler, listener net.Listener) *Server {
	s := &Server{listener: listener}
	s.http = http.Server{
		Handler:           handler,
		ConnState:         s.countConn,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	return s
}

func (s *Server) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Run serves until Stop or Close.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop takes no new connections and lets those that are open end: each is
// closed after its next answer, which says so. One that stays idle for
// patience is closed: closing it at once could cut a request on its way.
// Requests that run end, within ctx.
func (s *Server) Stop(ctx context.Context, patience time.Duration) error {
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.waitClosed(ctx, patience)
	return s.http.Shutdown(ctx)
}

func (s *Server) waitClosed(ctx context.Context, patience time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	ticker := time.NewTicker(stopPollInterval)
	defer ticker.Stop()
	for s.openConns.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Close ends all connections at once.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return s.http.Close()
}
