package host

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/forward"
)

const (
	// headerTimeout bounds the reading of a request's head until the first
	// configuration is known.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the hard bound; the configured one is lower.
	maxHeaderBytes = 1 << 20
	// idleMargin is added to the configured idle time: a client that just
	// keeps within it must not meet a closed connection.
	idleMargin = 500 * time.Millisecond
	// defaultIdle holds until the first configuration is known.
	defaultIdle = 30 * time.Second
	// idleAgain is when a connection is looked at again on which a request
	// waits; its state changes before.
	idleAgain = 100 * time.Millisecond
	// stopIdle is how long a connection without a request is kept in a planned
	// stop, so that a request that is on its way is still taken.
	stopIdle = 1200 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// servers are the HTTP servers of a host.
type servers struct {
	host  *Host
	front *http.Server
	ready *http.Server
	idle  idles
}

func newServers(h *Host) *servers {
	s := &servers{host: h}
	s.idle.timers = make(map[net.Conn]*time.Timer)
	s.front = &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.follow, ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	s.ready = &http.Server{
		Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout,
		ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
	}
	return s
}

// runReady answers the balancer's probes.
func (s *servers) runReady() error { return ended(s.ready.Serve(s.host.ready)) }

// runFront takes clients' requests.
func (s *servers) runFront() error { return ended(s.front.Serve(s.host.front)) }

func ended(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady tells whether this host takes new connections: it has a
// configuration and does not stop.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.viewer.view().usable() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// usable reports whether requests can be served by the view.
func (v *view) usable() bool { return v.routes != nil && len(v.targets) > 0 }

// idles closes connections that have been idle for the configured time.
type idles struct {
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
	// stopping shortens the time.
	stopping bool
}

// follow is told each change of state of a client's connection.
func (s *servers) follow(c net.Conn, state http.ConnState) {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	if t := s.idle.timers[c]; t != nil {
		t.Stop()
		delete(s.idle.timers, c)
	}
	if state == http.StateIdle {
		s.idle.timers[c] = time.AfterFunc(s.idleTime(), func() { s.expire(c) })
	}
}

func (s *servers) idleTime() time.Duration {
	if s.idle.stopping {
		return stopIdle
	}
	if v := s.host.viewer.view(); v.routes != nil && v.routes.Config().Limits.IdleTimeout > 0 {
		return v.routes.Config().Limits.IdleTimeout + idleMargin
	}
	return defaultIdle
}

// expire closes an idle connection, unless a request waits on it that nobody
// has read yet: a busy processor may run the timer first.
func (s *servers) expire(c net.Conn) {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	if s.idle.timers[c] == nil {
		return
	}
	if waiting(c) {
		s.idle.timers[c] = time.AfterFunc(idleAgain, func() { s.expire(c) })
		return
	}
	delete(s.idle.timers, c)
	_ = c.Close() // the other side may have closed it first
}

// waiting reports whether bytes wait on a connection.
func waiting(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := s.SyscallConn()
	return err == nil && !forward.Quiet(raw)
}

// hurry shortens the idle time of all connections.
func (s *servers) hurry() {
	s.idle.mu.Lock()
	defer s.idle.mu.Unlock()
	s.idle.stopping = true
	for _, t := range s.idle.timers {
		t.Reset(stopIdle)
	}
}

func (s *servers) close() error { return errors.Join(s.front.Close(), s.ready.Close()) }

// stop ends the host in a planned way: not ready, answers that ask clients to
// close, the lead handed on, what runs to its end, then the process.
func (h *Host) stop(ctx context.Context, s *servers, stopLeads context.CancelFunc) error {
	start := time.Now()
	grace := h.bounds.Load().Grace
	h.log.Info("Stopping.", millis("grace", grace))
	h.stopping.Store(true)
	s.hurry()
	h.desk.leave(h.viewer.view().members.Hosts)
	end := start.Add(grace - stopMargin)
	bound, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	// The balancer notices after two probes a second apart; until then new
	// connections are still taken and served.
	sleep(bound, min(stopNotice, grace/2))
	var group errgroup.Group
	group.Go(func() error { return s.front.Shutdown(bound) })
	if err := group.Wait(); err != nil {
		h.log.Warn("Requests were cut at the end of the stop.", slog.Any("error", err))
	}
	h.awaitSuccessors(bound)
	stopLeads()
	h.log.Info("Stopped.", millis("took", time.Since(start)))
	return s.close()
}

// stopNotice is how long a stopping host still takes new connections: two
// probes of the balancer a second apart, and a connection on its way.
const stopNotice = 2500 * time.Millisecond
