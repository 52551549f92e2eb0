package host

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/forward"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/path"
	"citrontray.example/citrontray/internal/place"
)

const (
	// stallTimeout is how long an attempt has no response before the paths to its service
	// are checked. Most responses take less.
	stallTimeout = 250 * time.Millisecond
	// maxProbeWait is the longest time between two looks for probes that are due.
	maxProbeWait = 5 * time.Second
)

// pathMonitor records what this host's attempts show about its paths to targets, and probes
// lost paths, so that no client's request has to. Safe for concurrent use.
type pathMonitor struct {
	host *Host
	// wake gets a token when a probe may be due.
	wake chan struct{}

	mu    sync.Mutex
	table *path.Table
}

func newPathMonitor(h *Host) *pathMonitor {
	return &pathMonitor{host: h, wake: make(chan struct{}, 1), table: path.New()}
}

// record records the result of an attempt that started at sentAt.
func (m *pathMonitor) record(now, sentAt time.Time, row place.TargetRow, end dispatch.Result) {
	event, ok := end.PathEvent()
	if !ok || row.Target == "" {
		return
	}
	m.mu.Lock()
	changed := m.table.Record(now, sentAt, row, event)
	m.mu.Unlock()
	if event != path.Responded {
		m.notify()
	}
	if changed {
		m.logChange(row, event)
	}
}

// evidence returns the result of an attempt that the home of the target gets. A host that
// reaches no target of the service knows nothing of this one.
func (m *pathMonitor) evidence(row place.TargetRow, end dispatch.Result) dispatch.Result {
	if event, ok := end.PathEvent(); !ok || event == path.Responded || !m.serviceLost(m.host.views.view(), key.Service(row.Service)) {
		return end
	}
	return dispatch.ResultUnused
}

// stalled records that an attempt which started at sentAt still has no response.
func (m *pathMonitor) stalled(now, sentAt time.Time, row place.TargetRow) {
	others := m.host.views.view().services[key.Service(row.Service)]
	m.mu.Lock()
	m.table.Stalled(now, sentAt, row, others)
	m.mu.Unlock()
	m.notify()
}

// lost reports whether this host has no path to a target.
func (m *pathMonitor) lost(v *view, name place.Target) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	service := key.Service(v.targets[name].Service)
	return m.table.Lost(v.targets[name]) || m.table.ServiceLost(service, len(v.services[service]))
}

// serviceLost reports whether this host has no path to any target of a service.
func (m *pathMonitor) serviceLost(v *view, service key.Service) bool {
	targets := len(v.services[service])
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.ServiceLost(service, targets)
}

// allLost reports whether this host has no path to any target.
func (m *pathMonitor) allLost(v *view) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, rows := range v.services {
		if !m.table.ServiceLost(service, len(rows)) {
			return false
		}
	}
	return len(v.services) > 0
}

// lostTargets returns the targets among rows, all those of a service, to which this host has
// no path.
func (m *pathMonitor) lostTargets(rows []place.TargetRow) []place.Target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.table.LostTargets(rows)
}

func (m *pathMonitor) notify() {
	select {
	case m.wake <- struct{}{}:
	default: // a token is pending already
	}
}

// logChange logs and counts that a path was lost or regained, and drops the connections over
// a lost one: what is sent on them may be lost, while a failed attempt to connect leaves no
// doubt.
func (m *pathMonitor) logChange(row place.TargetRow, event path.Event) {
	m.host.metrics.countPath(key.Service(row.Service), event == path.Responded)
	attrs := []any{slog.String("service", row.Service), slog.String("target", string(row.Target))}
	if event == path.Responded {
		m.host.log.Info("Path to target is back.", attrs...)
		return
	}
	m.host.log.Info("Path to target is lost.", attrs...)
	m.host.connPools.closeIdle(row.Addr)
}

// loop probes lost paths until ctx ends.
func (m *pathMonitor) loop(ctx context.Context) error {
	var probes errgroup.Group
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	for {
		now, v := time.Now(), m.host.views.view()
		m.mu.Lock()
		m.table.Prune(now, func(name place.Target) (place.TargetRow, bool) { row, ok := v.targets[name]; return row, ok })
		due := m.table.Probes(now)
		next := m.table.NextProbe()
		m.mu.Unlock()
		for _, row := range due {
			p := &probe{monitor: m, row: row}
			probes.Go(func() error { p.run(ctx); return nil })
		}
		wait := maxProbeWait
		if !next.IsZero() {
			wait = min(max(next.Sub(now), minTickInterval), maxProbeWait)
		}
		timer.Reset(wait)
		select {
		case <-ctx.Done():
			return probes.Wait()
		case <-timer.C:
		case <-m.wake:
		}
	}
}

// probe is one attempt to connect to a target.
type probe struct {
	monitor *pathMonitor
	row     place.TargetRow
}

func (p *probe) run(ctx context.Context) {
	m := p.monitor
	start := time.Now()
	event := probeEvent(ctx, m.host.checkTarget(ctx, start, p.row))
	m.mu.Lock()
	changed := m.table.Probed(time.Now(), start, p.row, event)
	m.mu.Unlock()
	m.notify()
	if changed {
		m.logChange(p.row, event)
	}
}

// probeEvent returns what an attempt to connect with the given error shows.
func probeEvent(ctx context.Context, err error) path.Event {
	switch {
	case err == nil:
		return path.Responded
	case ctx.Err() != nil, errors.Is(err, errNoService), errors.Is(err, forward.ErrFull), errors.Is(err, forward.ErrClosed):
		return path.Silent // not made
	}
	return path.Unreachable
}
