package host

import (
	"context"
	"log/slog"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"citrontray.example/citrontray/internal/clock"
	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

const (
	// grantDuration is the length of a grant. The keys of a lost target are unavailable
	// for that long, and a lost leader must be replaced within it.
	grantDuration = 2500 * time.Millisecond
	// grantRenewInterval is the time between two grants to a target: three may fail.
	grantRenewInterval = 600 * time.Millisecond
	// renewGrace is how long a leader renews grants after its lease expired. Outages of
	// the platform's store last up to nine seconds.
	renewGrace = 8 * time.Second
	// planInterval is the time between two rebalancing plans.
	planInterval = 200 * time.Millisecond
	// maxRebalanceInterval is the longest time between two plans that rebalance all
	// targets.
	maxRebalanceInterval = time.Second
	// firstGrantTimeout is how long a new owner may take to acknowledge its first
	// grant.
	firstGrantTimeout = 800 * time.Millisecond
	// maxPublishInterval is the longest time between two routing tables.
	maxPublishInterval = time.Second
	// minPublishInterval is the shortest time between two routing tables: each costs
	// every host a few packets.
	minPublishInterval = 100 * time.Millisecond
	// releaseNotice is the time until a routing table has reached every host, over up
	// to three hops on busy machines.
	releaseNotice = 80 * time.Millisecond
	// leaseFreshness is the largest age of the last lease renewal with which moves may
	// start. One renewal and its response may be late.
	leaseFreshness = 900 * time.Millisecond
	// reclaimTimeout is how long a released range waits for its new owner to be
	// written. A write takes some 10 ms, or half a second if the store is slow and
	// another write comes first.
	reclaimTimeout = 800 * time.Millisecond
	// confirmTimeout is how long a move waits for the store to renew the lease. It
	// allows for two calls to a store that takes a quarter of a second for each.
	confirmTimeout = 600 * time.Millisecond
	// writeBatchDelay is how long a free range waits for others to be written with it.
	// A delay of 100 ms saves a fifth of the writes, but a fifth more requests are
	// refused for lack of an owner, which costs more.
	writeBatchDelay = 40 * time.Millisecond
	// fleetSettleTime is how long the list of targets must be unchanged before a
	// service gets its first owners.
	fleetSettleTime = time.Second
	// leaderTick, candidateTick and nonCandidateTick are the tick intervals of a
	// leader, of a candidate, and of all other hosts, which campaign after the
	// candidates.
	leaderTick       = 20 * time.Millisecond
	candidateTick    = 100 * time.Millisecond
	nonCandidateTick = time.Second
)

// planConfig limits a single plan.
var planConfig = partition.Config{MaxMoves: 12, MaxSpans: 6, MaxImbalance: 0.1, MinGap: 0.08}

// rangesPath returns the store path of a service's ownership document.
func rangesPath(service key.Service) platform.Path {
	return rangesPrefix + platform.Path(service)
}

// rangesPrefix is the store prefix of the ownership documents.
const rangesPrefix platform.Path = "ranges/"

// controller runs the leader election of one service on this host, and the ownership
// core while this host leads.
type controller struct {
	host    *Host
	service key.Service
	log     *slog.Logger
	orders  *orderClient
	core    *owner.Core
	// events are functions to run on the controller's goroutine. They return true if a
	// step is due at once.
	events chan func(now time.Time) bool
	tasks  sync.WaitGroup

	meter       partition.Meter
	targetStats map[place.Target]targetStats
	// leaderRevision is the store revision of this host's leader entry.
	leaderRevision platform.Revision
	// noLeaderSince is the time since which no leader is known.
	noLeaderSince time.Time
	campaigning   bool
	resigning     bool
	// yielding is set while this host hands over because it does not reach the targets.
	yielding bool
	// campaignedAt is the time of the last campaign. No campaign starts before
	// pausedUntil.
	campaignedAt, pausedUntil time.Time
	wonAt                     time.Time
	// startedAt is when this controller started, leaderNoticeAt when the last notice of
	// a leader arrived, announcedAt when this host last announced its own leadership.
	startedAt, leaderNoticeAt, announcedAt time.Time
	predecessor                            predecessor
	lease                                  *lease
	moveLog                                moveLog
	// inFlight counts the orders in flight.
	inFlight atomic.Int32
	// leading is a copy of core.Leading for other goroutines.
	leading       atomic.Bool
	loadUpdatedAt time.Time
	// knownFleet is the version of the list of targets in the core, zero for none.
	knownFleet uint64
	// leaving are the incarnations of targets that signaled to any host that they are
	// leaving.
	leaving map[place.Target]place.Incarnation
	// limits are the rate limits of targets.
	limits map[place.Target]leaderLimit
	// warmups are the warm-ups of targets, cold the targets that are cold in the plan.
	warmups    map[place.Target]*dispatch.Warmup
	cold       map[place.Target]bool
	load       partition.Load
	capacities partition.CapacityFilter
	// knownLists is the version of the lists from which the core has the evacuations.
	knownLists uint64
	// evacuatedZones are the evacuated zones whose targets own no range any more.
	evacuatedZones map[place.Zone]bool
	preference     partition.SpeedPreference
	// loggedExponent is that of the last line about the preference.
	loggedExponent float64
}

// targetStats is the last report about a target.
type targetStats struct {
	// latency is the mean time of a request at the target, multiplied by slowdown if
	// that exceeds minSlowdown. requests is the number of samples behind the mean,
	// slowdown a moving average of the ratio of recent times to the mean.
	latency   time.Duration
	requests  float64
	slowdown  float64
	down      bool
	updatedAt time.Time
}

func newController(h *Host, service key.Service) *controller {
	log := h.log.With(slog.String("service", string(service)))
	c := &controller{
		host: h, service: service, log: log,
		orders: newOrderClient(h.env.Orders, log),
		core: owner.New(owner.Config{
			Service: service, Host: h.site.Host, Incarnation: h.incarnation,
			GrantDuration: min(grantDuration, h.site.Bounds.MaxGrantDuration), RenewInterval: grantRenewInterval, LimitedRenewInterval: limitedRenewInterval, OrderTimeout: orderTimeout,
			MaxOrderTransit: maxOrderTransit,
			RenewGrace:      renewGrace, LeaseTTL: max(leaseTTL, h.site.Bounds.MinSessionTTL),
			Plan: planConfig, PlanInterval: planInterval, MaxRebalanceInterval: maxRebalanceInterval, FirstGrantTimeout: firstGrantTimeout,
			MaxPublishInterval: maxPublishInterval, MinPublishInterval: minPublishInterval, ReleaseNotice: releaseNotice,
			WriteBatchDelay: writeBatchDelay, SettleTime: fleetSettleTime, LeaseFreshness: leaseFreshness, ConfirmTimeout: confirmTimeout, ReclaimTimeout: reclaimTimeout,
		}),
		startedAt:   clock.Now(),
		events:      make(chan func(time.Time) bool, 256),
		targetStats: make(map[place.Target]targetStats),
		leaving:     make(map[place.Target]place.Incarnation),
		limits:      make(map[place.Target]leaderLimit),
		warmups:     make(map[place.Target]*dispatch.Warmup),
	}
	c.lease = c.newLease()
	return c
}

// run leads the service whenever no other host does, until ctx ends.
func (c *controller) run(ctx context.Context) error {
	tick := leaderTick
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer c.tasks.Wait()
	defer c.orders.close()
	defer func() { c.lease.abandon() }()
	for {
		select {
		case <-ctx.Done():
			if c.core.Leading() {
				c.log.Warn("Leadership not handed over, its lease will expire.", slog.Uint64("term", uint64(c.core.Term())), slog.Bool("ordering", !c.core.Idle()))
			}
			return nil
		case f := <-c.events:
			due := false
			c.guardLeader(func() { due = c.handleEvents(f) })
			if !due {
				continue
			}
		case <-ticker.C:
		}
		c.guardLeader(func() { c.step(ctx, clock.Now()) })
		if next := c.tickInterval(); next != tick {
			tick = next
			ticker.Reset(tick)
		}
	}
}

// tickInterval returns the time until the next tick.
func (c *controller) tickInterval() time.Duration {
	if c.core.Leading() {
		return leaderTick
	}
	ranked := c.host.views.view().candidates(c.service)
	if rank := slices.Index(ranked, c.host.site.Host); rank >= candidateCount {
		return nonCandidateTick
	}
	return candidateTick
}

// handleEvents runs an event and all others that are pending. It reports whether a step
// is due.
func (c *controller) handleEvents(f func(now time.Time) bool) bool {
	now := clock.Now()
	due := f(now)
	for {
		select {
		case f = <-c.events:
			due = f(now) || due
		default:
			return due
		}
	}
}

// post queues an event for the controller's goroutine.
func (c *controller) post(f func(now time.Time) bool) { c.events <- f }

// receiveReport queues a load report. It is dropped if the queue is full, as the next
// one follows soon.
func (c *controller) receiveReport(r loadReport) {
	c.tryPost(func(now time.Time) { c.applyReport(now, r) })
}

// tryPost is post for events that may be dropped if the queue is full.
func (c *controller) tryPost(f func(now time.Time)) {
	select {
	case c.events <- func(now time.Time) bool { f(now); return false }:
	default:
	}
}

func (c *controller) applyReport(now time.Time, r loadReport) {
	if !c.core.Leading() {
		return
	}
	for p, n := range r.points {
		c.meter.Add(now, p, n)
	}
	for _, s := range r.targets {
		if s.Leaving {
			c.markLeaving(s.Target)
		}
		if !s.Used && !s.Down {
			continue
		}
		took := s.Mean
		if took == 0 {
			took = c.meanLatency(now) // a target that is down may have no samples at the reporting host
		}
		last, ok := c.targetStats[s.Target]
		if !ok || now.Sub(last.updatedAt) > maxStatsAge {
			last.slowdown = s.Slowdown
		}
		weight := 1 - math.Exp(-now.Sub(last.updatedAt).Seconds()/slowdownDecayTime.Seconds())
		last.slowdown += weight * (s.Slowdown - last.slowdown)
		last.latency, last.requests, last.down, last.updatedAt = took, s.Samples, s.Down, now
		if last.slowdown > minSlowdown {
			last.latency = time.Duration(float64(took) * last.slowdown)
		}
		c.targetStats[s.Target] = last
	}
}

// markLeaving records that a target signaled that it is leaving. The platform's list
// may show that later or never.
func (c *controller) markLeaving(name place.Target) {
	row, ok := c.host.views.view().targets[name]
	incarnation, noted := c.leaving[name]
	if !ok || row.State != place.Live || noted && incarnation == row.Incarnation {
		return
	}
	c.log.Info("Target marked as leaving after its signal.", slog.String("target", string(name)))
	c.leaving[name] = row.Incarnation
	c.knownFleet = 0 // pass the change to the core
}

// effectiveTargets returns the targets of a view. Those that signaled that they are
// leaving are marked as leaving.
func (c *controller) effectiveTargets(v *view) map[place.Target]place.TargetRow {
	maps.DeleteFunc(c.leaving, func(name place.Target, incarnation place.Incarnation) bool {
		row, ok := v.targets[name]
		return !ok || row.Incarnation != incarnation
	})
	if len(c.leaving) == 0 {
		return v.targets
	}
	out := maps.Clone(v.targets)
	for name := range c.leaving {
		row := out[name]
		row.State = place.Leaving
		out[name] = row
	}
	return out
}

// guardLeader runs f. After a panic this host steps down: its state may be half
// changed, and the next leader starts from the store.
func (c *controller) guardLeader(f func()) {
	if c.host.guard("lead", f) {
		return
	}
	c.core.StepDown()
	c.lease.abandon()
	c.leading.Store(false)
}

// step runs one tick.
func (c *controller) step(ctx context.Context, now time.Time) {
	v := c.host.views.view()
	c.observeLeader(now, v)
	if v.listVersion != c.knownLists {
		c.knownLists = v.listVersion
		c.core.SetEvacuations(v.evacuation.Translate(time.Now(), now))
	}
	if c.core.Leading() {
		session := c.lease.current()
		if _, era := c.host.store.eras(); session.restored || max(era, v.era) > c.core.Term().Era() {
			c.core.StoreRestored(now, c.core.Term())
		}
		c.core.ExtendLease(session.end)
		if v.fleetVersion != c.knownFleet {
			c.knownFleet = v.fleetVersion
			c.core.SetTargets(now, c.effectiveTargets(v))
		}
		c.observeEvacuations(v)
		c.updateLoad(now, v)
		c.announceLeadership(now, v)
	} else {
		c.lease.abandon() // leadership was lost
	}
	c.campaignIfDue(ctx, now, v)
	c.resignIfDue(ctx, now)
	c.leading.Store(c.core.Leading())
	c.apply(ctx, c.core.Tick(now))
}

// observeLeader updates noLeaderSince from the list of hosts. It steps down if the list
// names another, later leader.
func (c *controller) observeLeader(now time.Time, v *view) {
	leader, ok := v.members.Leader(c.service)
	ok = ok && !leader.Restored()
	own := ok && leader.Host == c.host.site.Host && leader.Incarnation == c.host.incarnation
	switch {
	case ok && !own && c.core.Leading() && leader.Revision > c.leaderRevision:
		c.log.Warn("Another host leads, stepping down.", slog.String("lead", string(leader.Host)),
			slog.Uint64("revision", uint64(leader.Revision)), slog.Uint64("term", uint64(c.core.Term())))
		c.core.StepDown()
		c.noLeaderSince = time.Time{}
	case ok && !own && !v.members.Ended(leader):
		c.noLeaderSince = time.Time{}
	case !own && c.noLeaderSince.IsZero():
		c.noLeaderSince = now
	}
}

// maxStatsAge is the age after which the statistics of a target are ignored.
const maxStatsAge = 3 * time.Second

// updateLoad passes the load and the measured capacities to the core.
func (c *controller) updateLoad(now time.Time, v *view) {
	if now.Sub(c.loadUpdatedAt) < planInterval {
		return
	}
	c.loadUpdatedAt = now
	if v.routes != nil {
		if service := v.routes.Service(c.service); service != nil {
			c.core.SetWarmup(service.WarmUp)
		}
	}
	c.meter.Decay(now)
	mean := c.meanLatency(now)
	measured := make(map[place.Target]partition.Target)
	suspect := make(map[place.Target]bool)
	limited := make(map[place.Target]bool)
	bound, cold := c.host.coldBound(c.service), make(map[place.Target]bool)
	preferring := c.updatePreference(now)
	for _, row := range v.services[c.service] {
		limit, hasLimit := c.limitOf(now, row)
		listed := partition.Target{Name: row.Target, Capacity: partition.Capacity(row.Slots, 1)}
		if hasLimit {
			listed = listed.WithLimit(limit, mean)
			limited[row.Target], measured[row.Target] = true, listed
		}
		if t, isCold := c.limitCold(now, row, bound, listed, mean); isCold {
			cold[row.Target], measured[row.Target] = true, t
		}
		s, ok := c.targetStats[row.Target]
		if !ok || now.Sub(s.updatedAt) > maxStatsAge {
			continue
		}
		suspect[row.Target] = s.down
		t := partition.EstimateTarget(row.Target, row.Slots, partition.Sample{MeanTime: s.latency, Requests: s.requests}, mean)
		filtered, changed := c.capacities.Apply(t)
		if preferring {
			filtered = c.preference.Apply(filtered, row.Slots)
		}
		if hasLimit {
			filtered = filtered.WithLimit(limit, mean)
		}
		if cold[row.Target] {
			filtered = filtered.WithColdRate(bound.Rate, mean)
		}
		measured[row.Target] = filtered
		if changed {
			c.log.Info("Target capacity changed.", slog.String("target", string(row.Target)),
				slog.Float64("capacity", t.Capacity), slog.Float64("doubt", t.RelStdDev), slog.Int("slots", row.Slots),
				millisAttr("time", s.latency), millisAttr("mean", mean), slog.Float64("requests", s.requests))
		}
	}
	c.capacities.Retain(func(name place.Target) bool { _, ok := v.targets[name]; return ok })
	maps.DeleteFunc(c.limits, func(name place.Target, _ leaderLimit) bool { _, ok := v.targets[name]; return !ok })
	c.pruneWarmups(v)
	c.noteCold(cold, float64(bound.Rate))
	if c.meter.DetectChanges(now, c.core.Ranges()) {
		c.log.Info("Load changed, restarting averages.")
	}
	c.meter.Load(now, &c.load, mean)
	c.core.SetLoad(&c.load, measured, suspect)
	c.core.SetLimited(limited)
}

// meanLatency returns the mean latency over all targets.
func (c *controller) meanLatency(now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, s := range c.targetStats {
		if now.Sub(s.updatedAt) <= maxStatsAge && s.latency > 0 {
			sum += s.latency
			n++
		}
	}
	if n == 0 {
		return defaultLatency
	}
	return sum / time.Duration(n)
}

const (
	// defaultLatency is the assumed latency before any is measured.
	defaultLatency = 100 * time.Millisecond
	// minSlowdown is the slowdown from which a target counts as slower than its mean. A
	// smaller one may be chance.
	minSlowdown = 1.8
	// slowdownDecayTime is the time constant of the average of a target's slowdown.
	slowdownDecayTime = 1200 * time.Millisecond
)

// apply carries out the core's effects. Orders in flight finish when ctx ends, which their
// timeouts limit. A write does not: it is repeated until its outcome is known.
func (c *controller) apply(ctx context.Context, effects []owner.Effect) {
	orders := context.WithoutCancel(ctx)
	for _, e := range effects {
		switch e := e.(type) {
		case owner.SendGrants:
			t := &grantTask{controller: c, effect: e}
			c.tasks.Add(1)
			go t.run(orders)
		case owner.SendRelease:
			t := &releaseTask{controller: c, effect: e}
			c.tasks.Add(1)
			go t.run(orders)
		case owner.WriteDoc:
			t := &writeTask{controller: c, effect: e, leaderRevision: c.leaderRevision}
			c.tasks.Add(1)
			go t.run(ctx)
		case owner.RenewLease:
			c.lease.renewNow()
		case owner.Publish:
			c.publish(e.Table)
		case owner.Note:
			c.host.metrics.countDecision(c.service, e.Text)
			c.moveLog.add(time.Now(), e)
			c.log.Info(e.Text, slog.String("range", e.Range.String()), slog.String("from", string(e.From)),
				slog.String("to", string(e.To)), slog.Uint64("fence", uint64(e.Fence)), millisAttr("age", e.Age),
				slog.Uint64("term", uint64(c.core.Term())))
		}
	}
}

func (c *controller) publish(t *owner.Table) {
	body, err := t.Encode()
	if err != nil {
		c.log.Error("Routing table not encoded.", slog.Any("error", err))
		return
	}
	c.host.replica.Publish(docsync.Document{
		Name:    docRanges + docsync.Name(c.service),
		Version: docsync.Version{Major: uint64(t.Version.Term), Minor: t.Version.Sequence},
		Body:    body,
	})
}
