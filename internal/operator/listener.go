package operator

import (
	"context"
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
	"github.com/samber/oops"

	"citrontray.example/citrontray/internal/finding"
	"citrontray.example/citrontray/internal/settings"
)

const (
	headerTimeout  = 5 * time.Second
	closeTimeout   = 2 * time.Second
	maxHeaderBytes = 16 << 10
)

// Listener serves the operators' API on an address of its own. The zero value
// serves nothing.
type Listener struct {
	listener net.Listener
	http     http.Server
}

// Listen binds addr; an invalid address stands for no listener. The
// configuration comes from the host's keys.
func Listen(addr netip.AddrPort, secure *tls.Config, server *Server) (*Listener, error) {
	if !addr.IsValid() {
		return &Listener{}, nil
	}
	bound, err := tls.Listen("tcp", addr.String(), secure)
	if err != nil {
		return nil, oops.Wrapf(err, "operator: listen on %s", addr)
	}
	router := mux.NewRouter()
	server.Register(router)
	l := &Listener{listener: bound}
	l.http = http.Server{
		Handler: router, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError),
	}
	return l, nil
}

// Addr returns the bound address, nil for no listener.
func (l *Listener) Addr() net.Addr {
	if l.listener == nil {
		return nil
	}
	return l.listener.Addr()
}

// Run serves until ctx ends; writes under way are finished.
func (l *Listener) Run(ctx context.Context) error {
	if l.listener == nil {
		<-ctx.Done()
		return nil
	}
	stop := context.AfterFunc(ctx, l.close)
	defer stop()
	err := l.http.Serve(l.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (l *Listener) close() {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = l.http.Shutdown(ctx)
}

// ParseBootstrap reads the flag with the hash of the first credential; empty
// stands for none.
func ParseBootstrap(value string, found *finding.List) [32]byte {
	if value == "" {
		return [32]byte{}
	}
	hash, err := settings.ParseHash(value)
	if err != nil {
		found.Add("--operator-bootstrap", err.Error(), "citrontray credential prints the hash")
	}
	return hash
}
