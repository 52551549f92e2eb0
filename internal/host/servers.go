package host

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"citrontray.example/citrontray/internal/ingress"
)

const (
	// headerTimeout bounds the reading of a request's head.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the hard bound of a request's head; the configured one is
	// lower.
	maxHeaderBytes = 256 << 10
	// idleMargin is added to the configured idle time: a client that just
	// keeps within it must not meet a closed connection.
	idleMargin = 500 * time.Millisecond
	// defaultIdleTimeout holds until the first configuration is known.
	defaultIdleTimeout = 30 * time.Second
	// stopIdleTimeout is how long a connection without a request is kept in a planned
	// stop, so that a request that is on its way is still taken.
	stopIdleTimeout = 1200 * time.Millisecond
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
)

// servers are the HTTP servers of a host.
type servers struct {
	host  *Host
	front *ingress.Server
	ready *http.Server
}

func newServers(h *Host) *servers {
	return &servers{
		host: h,
		front: ingress.New(ingress.Config{
			Handler: h, Concurrent: h.mayRunConcurrently, IdleTimeout: h.idleTime,
			MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, OnPanic: h.panicked, Log: h.log,
		}),
		ready: &http.Server{
			Handler: http.HandlerFunc(h.serveReady), ReadHeaderTimeout: headerTimeout,
			ErrorLog: slog.NewLogLogger(h.log.Handler(), slog.LevelDebug),
		},
	}
}

// mayRunConcurrently reports whether a request may run beside others that its client
// has sent on the same connection: where it may be repeated, or ends here.
func (h *Host) mayRunConcurrently(r *http.Request) bool {
	v := h.views.view()
	if v.routes == nil {
		return true
	}
	route := v.routes.Find(r.Host, pathOf(r))
	return route == nil || route.Idempotent
}

// idleTime is how long a client's connection without a request is kept.
func (h *Host) idleTime() time.Duration {
	if v := h.views.view(); v.routes != nil && v.routes.Config().Limits.IdleTimeout > 0 {
		return v.routes.Config().Limits.IdleTimeout + idleMargin
	}
	return defaultIdleTimeout
}

// runReady answers the balancer's probes.
func (s *servers) runReady() error { return ignoreClosed(s.ready.Serve(s.host.ready)) }

// runFront takes clients' requests.
func (s *servers) runFront() error { return s.front.Serve(s.host.front) }

func ignoreClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// serveReady tells whether this host takes new connections: it has a
// configuration, does not stop, and no cut keeps most targets from it.
func (h *Host) serveReady(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || !h.views.view().usable() || h.checkIsolated(time.Now()) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// checkIsolated reports whether clients are better served by hosts beyond a cut. A change
// is logged.
func (h *Host) checkIsolated(now time.Time) bool {
	cut := h.dispatcher.isolated(now, h.views.view())
	if h.isolated.Swap(cut) != cut {
		if cut {
			h.log.Warn("Most targets are beyond a cut, clients are sent elsewhere.")
		} else {
			h.log.Info("Most targets are within reach again.")
		}
	}
	return cut
}

// usable reports whether requests can be served by the view.
func (v *view) usable() bool { return v.routes != nil && len(v.targets) > 0 }

func (s *servers) close() error { return errors.Join(s.front.Close(), s.ready.Close()) }

// stop ends the host in a planned way: not ready, answers that ask clients to
// close, the lead handed on, what runs to its end, then the process.
func (h *Host) stop(ctx context.Context, s *servers, stopLeads context.CancelFunc) error {
	start := time.Now()
	grace := h.bounds.Load().Grace
	h.log.Info("Stopping.", millisAttr("grace", grace))
	h.stopping.Store(true)
	s.front.Drain(stopIdleTimeout)
	h.dispatcher.announceStop(h.views.view().members.Hosts)
	end := start.Add(grace - stopMargin)
	bound, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	// The balancer notices after two probes a second apart; until then new
	// connections are still taken and served.
	sleep(bound, min(stopAcceptTime, grace/2))
	if err := s.front.Shutdown(bound); err != nil {
		h.log.Warn("Requests were cut at the end of the stop.", slog.Any("error", err))
	}
	h.awaitSuccessors(bound)
	stopLeads()
	h.log.Info("Stopped.", millisAttr("took", time.Since(start)))
	return s.close()
}

// stopAcceptTime is how long a stopping host still takes new connections: two
// probes of the balancer a second apart, and a connection on its way.
const stopAcceptTime = 2500 * time.Millisecond
