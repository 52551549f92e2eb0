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

// Limits of callers' connections.
const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxHeaderBytes limits the request line and the headers. net/http allows 4 KiB
	// more.
	maxHeaderBytes = 16 << 10
	// stopPollInterval is the time between two checks, during a stop, for open
	// connections and relayed requests.
	stopPollInterval = 5 * time.Millisecond
)

// Server is the HTTP server for callers, on one listener.
type Server struct {
	http      http.Server
	listener  net.Listener
	openConns atomic.Int64
	stopping  atomic.Bool
}

// NewServer returns a server. Run starts it.
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

// countConn keeps the number of open connections.
func (s *Server) countConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.openConns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.openConns.Add(-1)
	}
}

// Run serves until Stop or Close is called.
func (s *Server) Run() error {
	err := s.http.Serve(s.listener)
	if s.stopping.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Stop closes the listener and waits until all connections are closed. The next response
// on a connection announces its end if the handler sets "Connection: close". Connections
// idle after idleWait are closed; closing them at once could abort a request that is
// on its way. Requests in flight may complete until ctx ends.
func (s *Server) Stop(ctx context.Context, idleWait time.Duration) error {
	s.stopping.Store(true)
	_ = s.listener.Close()
	s.waitClosed(ctx, idleWait)
	return s.http.Shutdown(ctx)
}

// waitClosed waits until all connections are closed or the timeout passes.
func (s *Server) waitClosed(ctx context.Context, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	s.stopping.Store(true)
	return s.http.Close()
}
