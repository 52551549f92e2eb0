package host

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/ingress"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/shutdown"
)

const (
	// headerTimeout limits the reading of a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the hard limit for a request's head. The configured limit is
	// lower.
	maxHeaderBytes = 256 << 10
	// idleMargin is added to the configured idle timeout, so that a client that just
	// keeps within it does not meet a closed connection.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout is used until a configuration is known.
	defaultIdleTimeout = 30 * time.Second
	// stopIdleTimeout is how long idle connections are kept during a graceful stop, so
	// that a request in transit is still accepted.
	stopIdleTimeout = 1200 * time.Millisecond
)

// servers holds the HTTP servers of a host.
type servers struct {
	host  *Host
	front *ingress.Server
	ready *http.Server
}

func newServers(h *Host) *servers {
	return &servers{
		host: h,
		front: ingress.New(ingress.Config{
			Handler: h, Concurrent: h.mayRunConcurrently, IdleTimeout: h.clientIdleTimeout,
			MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, OnPanic: h.panicked, Log: h.log,
		}),
		ready: &http.Server{
			Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout,
			ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
		},
	}
}

// mayRunConcurrently reports whether a request may run concurrently with others
// pipelined on the same connection: it is idempotent, or it is rejected here.
func (h *Host) mayRunConcurrently(r *http.Request) bool {
	v := h.views.view()
	if v.routes == nil {
		return true
	}
	route := v.routes.Find(r.Host, pathOf(r))
	return route == nil || route.Idempotent
}

// clientIdleTimeout returns how long an idle client connection is kept.
func (h *Host) clientIdleTimeout() time.Duration {
	if v := h.views.view(); v.routes != nil && v.routes.Config().Limits.IdleTimeout > 0 {
		return v.routes.Config().Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

// runReady serves the load balancer's probes.
func (s *servers) runReady() error { return ignoreClosed(s.ready.Serve(s.host.ready)) }

// runFront serves client requests.
func (s *servers) runFront() error { return s.front.Serve(s.host.front) }

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady reports whether this host accepts new connections: it has a configuration
// and targets, is not stopping, and is not isolated from most targets.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.views.view().usable() || h.checkIsolated(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkIsolated reports whether a network partition isolates this host from most
// targets, so that other hosts serve clients better. A change is logged.
func (h *Host) checkIsolated(now time.Time) bool {
	result := h.dispatcher.isolated(now, h.views.view())
	if h.isolated.Swap(result) != result {
		if result {
			h.log.Warn("Isolated from most targets by a network partition, sending clients to other hosts.")
		} else {
			h.log.Info("Most targets are reachable again.")
		}
	}
	return result
}

// usable reports whether the view suffices to serve requests.
func (v *view) usable() bool { return v.routes != nil && !v.awaitsEvacuations && len(v.targets) > 0 }

func (s *servers) close() error { return errors.Join(s.front.Close(), s.ready.Close()) }

// shutdown shuts the host down gracefully: it reports not ready, asks clients to close
// their connections, lets requests in flight finish and hands over leadership.
func (h *Host) shutdown(ctx context.Context, s *servers, stopControllers context.CancelFunc) error {
	start := time.Now()
	grace := h.bounds.Load().Grace
	h.log.Info("Stopping.", millisAttr("grace", grace))
	schedule := shutdown.New(start, grace)
	h.stopping.Store(true)
	h.stops.begin(start, h.site.Host, schedule)
	s.front.Drain(stopIdleTimeout, schedule.ResponseEnd())
	h.dispatcher.announceStop(start, schedule.ResponseEnd(), h.views.view().members.Hosts)
	stopCtx, cancel := context.WithDeadline(ctx, schedule.End())
	defer cancel()
	// The load balancer notices after two probes a second apart. Until then new
	// connections are still accepted.
	sleep(stopCtx, min(stopAcceptTime, grace/2))
	if s.front.Shutdown(stopCtx) != nil {
		flushCtx, cancel := context.WithDeadline(ctx, schedule.FlushEnd())
		defer cancel()
		if aborted := s.front.Abort(flushCtx); aborted > 0 {
			h.log.Warn("Requests aborted at the end of the stop.", slog.Int("requests", aborted))
		}
	}
	h.relayer.awaitServed(stopCtx)
	h.awaitSuccessors(stopCtx)
	stopControllers()
	h.log.Info("Stopped.", millisAttr("took", time.Since(start)))
	return s.close()
}

// handleLeave bounds the requests of a host that stops and passed them to this one.
func (h *Host) handleLeave(from place.Host) {
	now := time.Now()
	h.stops.begin(now, from, shutdown.New(now, h.bounds.Load().Grace))
}

// stopAcceptTime is how long a stopping host accepts new connections: two probes of the
// load balancer a second apart, and the transit of a connection.
const stopAcceptTime = 2500 * time.Millisecond
