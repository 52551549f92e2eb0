package host

import (
	"log/slog"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// limitedRenewInterval is the time between two grants to a target with a rate limit,
// which may count them: one may fail.
const limitedRenewInterval = 1200 * time.Millisecond

// recordLimit records what the response to the job's request, sent at sentAt, states
// about the rate limit of the target.
func (j *job) recordLimit(sentAt time.Time, t ticket, limit target.Limit) {
	if _, none := limit.(target.NoLimit); limit == nil || none && !j.host.dispatcher.knowsLimits.Load() {
		return
	}
	if row, ok := j.host.views.view().targets[t.target]; ok {
		j.host.recordLimit(time.Now(), sentAt, j.poolOf(t.target), row, limit, j.request.ID)
	}
}

// recordLimit records what a response to a request or an order that was sent at sentAt
// states about the rate limit of a target of the pool. It logs and counts each
// change. The request's ID is empty for an order.
func (h *Host) recordLimit(now, sentAt time.Time, pool dispatch.PoolID, row place.TargetRow, limit target.Limit, request string) {
	if !h.dispatcher.recordLimit(now, sentAt, pool, row, limit) {
		return
	}
	attrs := []any{
		slog.String("service", row.Service), slog.String("target", string(row.Target)), slog.String("request", request),
		slog.Int("ranges", h.views.view().rangesOf(pool.Service, row.Target)),
	}
	switch l := limit.(type) {
	case target.RateLimit:
		h.metrics.countLimit(pool.Service, "advertised")
		h.log.Info("Target advertises a rate limit.", append(attrs, slog.Float64("rate", float64(l.Rate)))...)
	case target.NoLimit:
		h.metrics.countLimit(pool.Service, "ended")
		h.log.Info("Target no longer advertises a rate limit.", attrs...)
	case target.InvalidLimit:
		h.metrics.countLimit(pool.Service, "invalid")
		h.log.Warn("Target advertises an invalid rate limit, ignored.", append(attrs, slog.String("value", l.Value))...)
	}
}

// handleLimited passes a notice about a rate limit to the leader of the service, if
// it is this host.
func (h *Host) handleLimited(m dispatch.Limited) {
	h.mu.Lock()
	c := h.controllers[m.Pool.Service]
	h.mu.Unlock()
	if c != nil {
		c.receiveLimit(m)
	}
}

// rangesOf returns the number of ranges that a target owns, each of which the leader
// renews.
func (v *view) rangesOf(service key.Service, name place.Target) int {
	table, n := v.tables[service], 0
	if table == nil {
		return 0
	}
	for i := range table.Spans {
		if table.Spans[i].Target == name {
			n++
		}
	}
	return n
}

// leaderLimit is the rate limit of one incarnation of a target as known to the leader
// of its service.
type leaderLimit struct {
	incarnation place.Incarnation
	rate        target.Rate
	// confirmedAt is when a response last advertised the limit.
	confirmedAt time.Time
}

// limitConfirmTimeout is how long after a response last advertised it a leader assumes the
// limit of a target. A target that owns no ranges because of its limit then gets some
// again, and its home learns whether the limit has ended.
const limitConfirmTimeout = 15 * time.Second

// receiveLimit queues a notice about the rate limit of a target. It is dropped if the
// queue is full, as the next one follows soon.
func (c *controller) receiveLimit(m dispatch.Limited) {
	c.tryPost(func(now time.Time) { c.applyLimit(now, m) })
}

func (c *controller) applyLimit(now time.Time, m dispatch.Limited) {
	if !c.core.Leading() {
		return
	}
	last, known := c.limits[m.Target]
	confirmedAt := now.Add(-m.Age)
	outdated := known && (m.Incarnation < last.incarnation || m.Incarnation == last.incarnation && confirmedAt.Before(last.confirmedAt))
	if outdated || m.Age > limitConfirmTimeout {
		return
	}
	attrs := []any{
		slog.String("target", string(m.Target)), slog.Int("ranges", c.host.views.view().rangesOf(c.service, m.Target)),
		millisAttr("age", m.Age),
	}
	switch limit := m.Limit.(type) {
	case target.RateLimit:
		if !known || last.rate != limit.Rate {
			c.log.Info("Target has a rate limit, its capacity follows from it.", append(attrs, slog.Float64("rate", float64(limit.Rate)))...)
		}
		c.limits[m.Target] = leaderLimit{incarnation: m.Incarnation, rate: limit.Rate, confirmedAt: confirmedAt}
	case target.NoLimit:
		if known {
			c.log.Info("Target has no rate limit any more.", attrs...)
			delete(c.limits, m.Target)
		}
	case target.InvalidLimit: // not sent by homes
	}
}

// limitOf returns the rate limit of a target, and whether it has one. A limit that was
// not confirmed for long is dropped.
func (c *controller) limitOf(now time.Time, row place.TargetRow) (target.Rate, bool) {
	l, ok := c.limits[row.Target]
	if !ok || l.incarnation != row.Incarnation {
		return 0, false
	}
	if now.Sub(l.confirmedAt) > limitConfirmTimeout {
		c.log.Info("Rate limit of target no longer confirmed.", slog.String("target", string(row.Target)))
		delete(c.limits, row.Target)
		return 0, false
	}
	return l.rate, true
}

// LimitShare implements dispatch.Catalog.
func (d *dispatcher) LimitShare(now time.Time, pool dispatch.PoolID) float64 {
	v := d.view()
	ranking := dispatch.HomeRanking{
		Ranked: v.ranked(pool, d.self.Host), Self: d.self.Host, Hosts: len(v.members.Hosts), Stopped: d.client.Stopped,
		Settling: d.settling(now),
	}
	share := ranking.LimitShare()
	if v.hasZonePools(pool) {
		share *= zonelessShare
	}
	return share
}

// memberListLag is how much later than this host another one may get a list of hosts.
const memberListLag = 2 * time.Second

// settling reports whether other hosts may still take this one for stopped: a list with
// this incarnation ends that.
func (d *dispatcher) settling(now time.Time) bool {
	listed := !d.listedAt.IsZero() && now.Sub(d.listedAt) >= memberListLag
	return !listed && now.Sub(d.startedAt) < dispatch.SettleTime
}

// zonelessShare is the share of a target's rate limit for the home of all targets of a
// service, while the hosts of zones with targets use a home for each zone.
const zonelessShare = 0.25

// OrderRate implements dispatch.Catalog.
func (d *dispatcher) OrderRate(service key.Service, name place.Target) target.Rate {
	return target.Rate(float64(d.view().rangesOf(service, name)) / limitedRenewInterval.Seconds())
}

// logLimits logs the changes of rate limits at the homes here.
func (d *dispatcher) logLimits(now time.Time) {
	for _, e := range d.home.LimitEvents() {
		d.onLimitChange(e)
		d.log.Info(limitChangeText(e.Change), slog.String("service", string(e.Pool.Service)), slog.String("target", string(e.Target)),
			slog.Float64("rate", float64(e.Rate)), slog.Float64("share", d.LimitShare(now, e.Pool)), slog.String("source", string(e.Source)),
			millisAttr("age", e.Age), millisAttr("confirmed", e.Confirmed), slog.Int("refused", e.Refused))
	}
}

// limitChangeText returns the log message for a change of a rate limit.
func limitChangeText(change dispatch.LimitChange) string {
	switch change {
	case dispatch.LimitAdvertised:
		return "Rate limit in force."
	case dispatch.LimitChanged:
		return "Rate limit changed."
	case dispatch.LimitEnded:
		return "Rate limit no longer in force."
	case dispatch.LimitExpired:
		return "Rate limit expired, no response confirmed it."
	case dispatch.LimitCold:
		return "Target is cold, its limit is in force."
	case dispatch.LimitWarm:
		return "Target is warm, its limit is no longer in force."
	}
	return "Rate limit."
}

// sendLimitNotices sends the notices of the homes here to the hosts that may be the next
// homes, and to the leader of the service. The caller holds mu.
func (d *dispatcher) sendLimitNotices(now time.Time) {
	notices := d.home.LimitNotices(now)
	if len(notices) == 0 {
		return
	}
	v := d.view()
	for _, m := range notices {
		to := slices.Clone(v.ranked(m.Pool, d.self.Host))
		if table := v.tables[m.Pool.Service]; table != nil && !slices.Contains(to, table.Leader) {
			to = append(to, table.Leader)
		}
		for _, host := range to {
			if host != d.self.Host {
				d.send(host, m)
			}
		}
		d.onLimited(m)
	}
}

// recordLimit records what the response of a target of the pool states about its rate
// limit. It reports whether that differs from what was known.
func (d *dispatcher) recordLimit(now, sentAt time.Time, pool dispatch.PoolID, row place.TargetRow, l target.Limit) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := d.client.RecordLimit(now, sentAt, pool, row, l)
	d.knowsLimits.Store(d.client.KnowsLimits())
	return changed
}
