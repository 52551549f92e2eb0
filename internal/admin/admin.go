// Package admin serves the HTTP endpoints of a daemon for operators and the load
// balancer: /live, /ready, /metrics and /status.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"
)

const (
	headerTimeout = 5 * time.Second
	closeTimeout  = time.Second
)

// Server is a daemon's admin listener.
type Server struct {
	*mux.Router

	ready    atomic.Bool
	listener net.Listener
	http     http.Server
}

// Listen binds the address. Run serves the endpoints; without a status handler there
// is no /status.
func Listen(addr netip.AddrPort, metrics, status http.Handler) (*Server, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, oops.Wrapf(err, "admin: listen on %s", addr)
	}
	s := &Server{Router: mux.NewRouter(), listener: listener}
	s.Handle("/metrics", metrics)
	s.HandleFunc("/live", s.handleLive)
	s.HandleFunc("/ready", s.handleReady)
	if status != nil {
		s.Handle("/status", status)
	}
	s.http = http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	return s, nil
}

// Addr returns the bound address.
func (s *Server) Addr() net.Addr { return s.listener.Addr() }

// SetReady sets whether the load balancer may send callers to this host.
func (s *Server) SetReady(ready bool) { s.ready.Store(ready) }

// Run serves until ctx is done. Requests in flight then have closeTimeout to finish.
func (s *Server) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, s.close)
	defer stop()
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// close shuts the server down gracefully, within closeTimeout.
func (s *Server) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = s.http.Shutdown(ctx)
}

// handleLive reports that the process runs.
func (s *Server) handleLive(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("live\n"))
}

// handleReady responds 200 while the load balancer may send callers to this host.
func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !s.ready.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}
