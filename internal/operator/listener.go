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

// Listener serves the operators' API on its own address. The zero value serves
// nothing.
type Listener struct {
	listener net.Listener
	http     http.Server
}

// Listen binds addr. An invalid address yields a listener that serves nothing.
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

// Addr returns the bound address, or nil if there is none.
func (l *Listener) Addr() net.Addr {
	if l.listener == nil {
		return nil
	}
	return l.listener.Addr()
}

// Run serves until ctx is done. Requests in flight then have closeTimeout to finish.
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

// ParseBootstrap parses the flag with the hash of the bootstrap credential; an empty
// value means none.
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
