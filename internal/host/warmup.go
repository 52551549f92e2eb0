package host

import (
	"log/slog"
	"maps"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/status"
)

// coldBound returns how many requests all hosts together may send a cold target of a
// service.
func (h *Host) coldBound(name key.Service) dispatch.ColdBound {
	v := h.views.view()
	if v.routes == nil {
		return dispatch.ColdBound{}
	}
	service := v.routes.Service(name)
	if service == nil {
		return dispatch.ColdBound{}
	}
	b := h.bounds.Load()
	return dispatch.NewColdBound(service.ColdRate, b.WarmupOverage, b.WarmupSlack)
}

// ColdBound implements dispatch.Catalog.
func (d *dispatcher) ColdBound(service key.Service) dispatch.ColdBound { return d.coldBound(service) }

// countLimitChange counts the begin and the end of the limit of a cold target.
func (h *Host) countLimitChange(e dispatch.LimitEvent) {
	switch e.Change {
	case dispatch.LimitCold:
		h.metrics.countLimit(e.Pool.Service, "cold")
	case dispatch.LimitWarm:
		h.metrics.countLimit(e.Pool.Service, "warm")
	case dispatch.LimitAdvertised, dispatch.LimitChanged, dispatch.LimitEnded, dispatch.LimitExpired:
		// Counted with the response that states it.
	}
}

// limitCold returns the target with the capacity that is left while it is cold. It keeps the
// warm-ups of all targets up to date, so it must be called for each one.
func (c *controller) limitCold(now time.Time, row place.TargetRow, bound dispatch.ColdBound, t partition.Target, mean time.Duration) (_ partition.Target, cold bool) {
	w := c.warmups[row.Target]
	if w == nil {
		w = &dispatch.Warmup{}
		c.warmups[row.Target] = w
	}
	w.Listed(now, row)
	if bound.Rate <= 0 || !now.Before(w.Until()) {
		return t, false
	}
	return t.WithColdRate(bound.Rate, mean), true
}

// noteCold logs the targets that are cold for the plan now, and those that are not any more.
func (c *controller) noteCold(cold map[place.Target]bool, rate float64) {
	for name := range cold {
		if !c.cold[name] {
			c.log.Info("Target is cold, its capacity follows from what it can handle.",
				slog.String("target", string(name)), slog.Float64("rate", rate), slog.Int("ranges", c.host.views.view().rangesOf(c.service, name)))
		}
	}
	for name := range c.cold {
		if !cold[name] {
			c.log.Info("Target is no longer cold.", slog.String("target", string(name)))
		}
	}
	c.cold = cold
}

// pruneWarmups drops the warm-ups of targets that are no longer listed.
func (c *controller) pruneWarmups(v *view) {
	maps.DeleteFunc(c.warmups, func(name place.Target, _ *dispatch.Warmup) bool { _, ok := v.targets[name]; return !ok })
}

// coldTargets returns the cold targets of a pool for the report.
func coldTargets(now time.Time, p *dispatch.PoolState) []status.ColdTarget {
	out := make([]status.ColdTarget, 0, len(p.Cold))
	for _, c := range p.Cold {
		out = append(out, status.ColdTarget{
			Service: string(p.ID.Service), Target: string(c.Target), Rate: float64(c.Rate), Until: now.Add(c.Left), Refused: c.Refused,
		})
	}
	return out
}
