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
	// leadRevision is the store revision of this host's leader entry.
	leadRevision platform.Revision
	// vacantSince is the time since which no leader is known.
	vacantSince time.Time
	campaigning bool
	resigning   bool
	// campaignedAt is the time of the last campaign. No campaign starts before
	// pausedUntil.
	campaignedAt, pausedUntil time.Time
	wonAt                     time.Time
	// startedAt is when this controller started, leaderHeardAt when the last notice of
	// a leader arrived, announcedAt when this host last announced its own leadership.
	startedAt, leaderHeardAt, announcedAt time.Time
	predecessor                           predecessor
	lease                                 *lease
	moveLog                               moveLog
	// inFlight counts the orders in flight.
	inFlight atomic.Int32
	// leading is core.Leading for other goroutines.
	leading       atomic.Bool
	loadUpdatedAt time.Time
	// knownFleet is the version of the list of targets in the core, zero for none.
	knownFleet uint64
	// leaving are the incarnations of targets that signaled to any host that they are
	// leaving.
	leaving    map[place.Target]place.Incarnation
	load       partition.Load
	capacities partition.CapacityFilter
}

// targetStats is the last report about a target.
type targetStats struct {
	// latency is the mean time of a request at the target and requests the number of
	// samples behind it. slowdown is the decayed ratio of recent times to that mean.
	latency   time.Duration
	requests  float64
	slowdown  float64
	down      bool
	updatedAt time.Time
}

func newController(h *Host, service key.Service) *controller {
	log := h.log.With(slog.String("service", string(service)))
	r := &controller{
		host: h, service: service, log: log,
		orders: newOrderClient(h.env.Orders, log),
		core: owner.New(owner.Config{
			Service: service, Host: h.site.Host, Incarnation: h.incarnation,
			GrantDuration: min(grantDuration, h.site.Bounds.MaxGrantDuration), RenewInterval: grantRenewInterval, OrderTimeout: orderTimeout,
			RenewGrace: renewGrace, LeaseTTL: max(leaseTTL, h.site.Bounds.MinSessionTTL),
			Plan: planConfig, PlanInterval: planInterval, MaxRebalanceInterval: maxRebalanceInterval, FirstGrantTimeout: firstGrantTimeout,
			MaxPublishInterval: maxPublishInterval, MinPublishInterval: minPublishInterval, ReleaseNotice: releaseNotice,
			WriteBatchDelay: writeBatchDelay, SettleTime: fleetSettleTime, LeaseFreshness: leaseFreshness, ConfirmTimeout: confirmTimeout, ReclaimTimeout: reclaimTimeout,
		}),
		startedAt:   clock.Now(),
		events:      make(chan func(time.Time) bool, 256),
		targetStats: make(map[place.Target]targetStats),
		leaving:     make(map[place.Target]place.Incarnation),
	}
	r.lease = r.newLease()
	return r
}

// run leads the service whenever no other host does, until ctx ends.
func (r *controller) run(ctx context.Context) error {
	tick := leaderTick
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer r.tasks.Wait()
	defer r.orders.close()
	defer func() { r.lease.abandon() }()
	for {
		select {
		case <-ctx.Done():
			if r.core.Leading() {
				r.log.Warn("Leadership not handed over, its lease will expire.", slog.Uint64("term", uint64(r.core.Term())), slog.Bool("ordering", !r.core.Idle()))
			}
			return nil
		case f := <-r.events:
			due := false
			r.guardLeader(func() { due = r.handleEvents(f) })
			if !due {
				continue
			}
		case <-ticker.C:
		}
		r.guardLeader(func() { r.step(ctx, clock.Now()) })
		if next := r.tickInterval(); next != tick {
			tick = next
			ticker.Reset(tick)
		}
	}
}

// tickInterval returns the time until the next tick.
func (r *controller) tickInterval() time.Duration {
	if r.core.Leading() {
		return leaderTick
	}
	ranked := r.host.views.view().candidates(r.service)
	if place := slices.Index(ranked, r.host.site.Host); place >= candidateCount {
		return nonCandidateTick
	}
	return candidateTick
}

// handleEvents runs an event and all others that are pending. It reports whether a step
// is due.
func (r *controller) handleEvents(f func(now time.Time) bool) bool {
	now := clock.Now()
	due := f(now)
	for {
		select {
		case f = <-r.events:
			due = f(now) || due
		default:
			return due
		}
	}
}

// post queues an event for the controller's goroutine.
func (r *controller) post(f func(now time.Time) bool) { r.events <- f }

// receiveReport queues a load report. It is dropped if the queue is full, as the next
// one follows soon.
func (r *controller) receiveReport(l loadReport) {
	r.tryPost(func(now time.Time) { r.applyReport(now, l) })
}

// tryPost is post for events that may be dropped if the queue is full.
func (r *controller) tryPost(f func(now time.Time)) {
	select {
	case r.events <- func(now time.Time) bool { f(now); return false }:
	default:
	}
}

func (r *controller) applyReport(now time.Time, l loadReport) {
	if !r.core.Leading() {
		return
	}
	for p, n := range l.points {
		r.meter.Add(now, p, n)
	}
	for _, o := range l.targets {
		if o.Leaving {
			r.markLeaving(o.Target)
		}
		if !o.Used && !o.Down {
			continue
		}
		took := o.Mean
		if took == 0 {
			took = r.meanLatency(now) // it is down and has served nothing here
		}
		last, ok := r.targetStats[o.Target]
		if !ok || now.Sub(last.updatedAt) > maxStatsAge {
			last.slowdown = o.Slowdown
		}
		weight := 1 - math.Exp(-now.Sub(last.updatedAt).Seconds()/slowdownDecayTime.Seconds())
		last.slowdown += weight * (o.Slowdown - last.slowdown)
		last.latency, last.requests, last.down, last.updatedAt = took, o.Samples, o.Down, now
		if last.slowdown > minSlowdown {
			last.latency = time.Duration(float64(took) * last.slowdown)
		}
		r.targetStats[o.Target] = last
	}
}

// markLeaving records that a target signaled that it is leaving. The platform's list
// may say so later or never.
func (r *controller) markLeaving(name place.Target) {
	row, ok := r.host.views.view().targets[name]
	born, noted := r.leaving[name]
	if !ok || row.State != place.Live || noted && born == row.Incarnation {
		return
	}
	r.log.Info("Target marked as leaving after its signal.", slog.String("target", string(name)))
	r.leaving[name] = row.Incarnation
	r.knownFleet = 0 // pass the change to the core
}

// effectiveTargets returns the targets of a view, with those that signaled it marked as
// leaving.
func (r *controller) effectiveTargets(v *view) map[place.Target]place.TargetRow {
	maps.DeleteFunc(r.leaving, func(name place.Target, born place.Incarnation) bool {
		row, ok := v.targets[name]
		return !ok || row.Incarnation != born
	})
	if len(r.leaving) == 0 {
		return v.targets
	}
	out := maps.Clone(v.targets)
	for name := range r.leaving {
		row := out[name]
		row.State = place.Leaving
		out[name] = row
	}
	return out
}

// guardLeader runs f. After a panic this host steps down: its state may be half
// changed, and the next leader starts from the store.
func (r *controller) guardLeader(f func()) {
	if r.host.guard("lead", f) {
		return
	}
	r.core.StepDown()
	r.lease.abandon()
	r.leading.Store(false)
}

// step runs one tick.
func (r *controller) step(ctx context.Context, now time.Time) {
	v := r.host.views.view()
	r.observeLeader(now, v)
	if r.core.Leading() {
		session := r.lease.current()
		if _, era := r.host.store.eras(); session.restored || max(era, v.era) > r.core.Term().Era() {
			r.core.StoreRestored(now, r.core.Term())
		}
		r.core.ExtendLease(session.end)
		if v.fleetVersion != r.knownFleet {
			r.knownFleet = v.fleetVersion
			r.core.SetTargets(now, r.effectiveTargets(v))
		}
		r.updateLoad(now, v)
		r.announceLeadership(now, v)
	} else {
		r.lease.abandon() // leadership was lost
	}
	r.campaignIfDue(ctx, now, v)
	r.resignIfDue(ctx, now)
	r.leading.Store(r.core.Leading())
	r.apply(ctx, r.core.Tick(now))
}

// observeLeader steps down if the list of hosts names another leader.
func (r *controller) observeLeader(now time.Time, v *view) {
	lead, ok := v.members.Leader(r.service)
	ok = ok && !lead.Restored()
	mine := ok && lead.Host == r.host.site.Host && lead.Incarnation == r.host.incarnation
	switch {
	case ok && !mine && r.core.Leading() && lead.Revision > r.leadRevision:
		r.log.Warn("Another host leads, stepping down.", slog.String("lead", string(lead.Host)),
			slog.Uint64("revision", uint64(lead.Revision)), slog.Uint64("term", uint64(r.core.Term())))
		r.core.StepDown()
		r.vacantSince = time.Time{}
	case ok && !mine && !v.members.Ended(lead):
		r.vacantSince = time.Time{}
	case !mine && r.vacantSince.IsZero():
		r.vacantSince = now
	}
}

// maxStatsAge is the age after which the statistics of a target are ignored.
const maxStatsAge = 3 * time.Second

// updateLoad passes the load and the measured capacities to the core.
func (r *controller) updateLoad(now time.Time, v *view) {
	if now.Sub(r.loadUpdatedAt) < planInterval {
		return
	}
	r.loadUpdatedAt = now
	if v.routes != nil {
		if service := v.routes.Service(r.service); service != nil {
			r.core.SetWarmup(service.WarmUp)
		}
	}
	r.meter.Decay(now)
	mean := r.meanLatency(now)
	measured := make(map[place.Target]partition.Target)
	suspect := make(map[place.Target]bool)
	for _, row := range v.services[r.service] {
		o, ok := r.targetStats[row.Target]
		if !ok || now.Sub(o.updatedAt) > maxStatsAge {
			continue
		}
		suspect[row.Target] = o.down
		t := partition.EstimateTarget(row.Target, row.Slots, partition.Sample{MeanTime: o.latency, Requests: o.requests}, mean)
		steady, changed := r.capacities.Apply(t)
		measured[row.Target] = steady
		if changed {
			r.log.Info("Target capacity changed.", slog.String("target", string(row.Target)),
				slog.Float64("capacity", t.Capacity), slog.Float64("doubt", t.RelStdDev), slog.Int("slots", row.Slots),
				millisAttr("time", o.latency), millisAttr("mean", mean), slog.Float64("requests", o.requests))
		}
	}
	r.capacities.Retain(func(name place.Target) bool { _, ok := v.targets[name]; return ok })
	if r.meter.DetectChanges(now, r.core.Ranges()) {
		r.log.Info("Load changed, restarting averages.")
	}
	r.meter.Load(now, &r.load, mean)
	r.core.SetLoad(&r.load, measured, suspect)
}

// meanLatency returns the mean latency over all targets.
func (r *controller) meanLatency(now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, o := range r.targetStats {
		if now.Sub(o.updatedAt) <= maxStatsAge && o.latency > 0 {
			sum += o.latency
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

// apply carries out the core's effects.
func (r *controller) apply(ctx context.Context, effects []owner.Effect) {
	ctx = context.WithoutCancel(ctx) // orders and writes in flight finish during a stop
	for _, e := range effects {
		switch e := e.(type) {
		case owner.SendGrants:
			t := &grantTask{controller: r, effect: e}
			r.tasks.Add(1)
			go t.run(ctx)
		case owner.SendRelease:
			t := &releaseTask{controller: r, effect: e}
			r.tasks.Add(1)
			go t.run(ctx)
		case owner.WriteDoc:
			t := &writeTask{controller: r, effect: e, leadRevision: r.leadRevision}
			r.tasks.Add(1)
			go t.run(ctx)
		case owner.RenewLease:
			r.lease.renewNow()
		case owner.Publish:
			r.publish(e.Table)
		case owner.Note:
			r.host.metrics.countDecision(r.service, e.Text)
			r.moveLog.add(time.Now(), e)
			r.log.Info(e.Text, slog.String("range", e.Range.String()), slog.String("from", string(e.From)),
				slog.String("to", string(e.To)), slog.Uint64("fence", uint64(e.Fence)), millisAttr("age", e.Age),
				slog.Uint64("term", uint64(r.core.Term())))
		}
	}
}

func (r *controller) publish(t *owner.Table) {
	body, err := t.Encode()
	if err != nil {
		r.log.Error("Routing table not encoded.", slog.Any("error", err))
		return
	}
	r.host.replica.Publish(docsync.Document{
		Name:    docRanges + docsync.Name(r.service),
		Version: docsync.Version{Major: uint64(t.Version.Term), Minor: t.Version.Sequence},
		Body:    body,
	})
}
