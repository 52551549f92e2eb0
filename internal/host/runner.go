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
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/spread"
)

const (
	// holdTime is the length of a grant. A target that is lost without a word
	// keeps its keys from others for that long; a lead that is lost must be
	// replaced within it.
	holdTime = 2500 * time.Millisecond
	// renewInterval is the time between two grants to a target: three may fail.
	renewInterval = 600 * time.Millisecond
	// renewRight is how long a lead renews without a lease. The platform's
	// store is away for up to nine seconds at a time.
	renewRight = 8 * time.Second
	// planInterval is the time between two plans.
	planInterval = 200 * time.Millisecond
	// levelInterval is the longest time between two plans that even out all
	// targets.
	levelInterval = time.Second
	// firstGrant is how long a new owner may take to answer its first grant.
	firstGrant = 800 * time.Millisecond
	// publishInterval is the longest time between two tables.
	publishInterval = time.Second
	// publishPace is the least time between two tables: each costs every host a
	// few packets.
	publishPace = 100 * time.Millisecond
	// releaseNotice is the time that a table takes to every host, over three
	// hops at worst, where processors are busy.
	releaseNotice = 80 * time.Millisecond
	// freshLease is how recent the last renewal of the lease must be for moves
	// to begin: one renewal and its answer may be late.
	freshLease = 900 * time.Millisecond
	// reclaimAfter is how long a released range waits for its new owner to be
	// written; a write takes some 10 ms, half a second where the store is slow
	// and another write comes first.
	reclaimAfter = 800 * time.Millisecond
	// confirmTime is how long a move waits for the store to renew the lease: two calls
	// where the store takes a quarter of a second for each.
	confirmTime = 600 * time.Millisecond
	// gatherTime is how long a free range waits for others to be written with.
	// At 100 ms a grown day writes a fifth less and refuses for want of an owner
	// a fifth more, which costs more.
	gatherTime = 40 * time.Millisecond
	// settleTime is how long the list of targets must have stood still before
	// a service gets its first owners.
	settleTime = time.Second
	// leadTick is the time between two looks of a lead at what is due, followTick
	// that of a candidate, and restTick that of all other hosts, which come after
	// the candidates.
	leadTick   = 20 * time.Millisecond
	followTick = 100 * time.Millisecond
	restTick   = time.Second
)

// planBounds are the bounds of one plan.
var planBounds = partition.Config{MaxMoves: 12, MaxSpans: 6, MaxImbalance: 0.1, MinGap: 0.08}

// rangesPath returns the path of a service's document.
func rangesPath(service key.Service) platform.Path {
	return rangesPrefix + platform.Path(service)
}

// rangesPrefix starts the paths of the services' documents.
const rangesPrefix platform.Path = "ranges/"

// runner leads one service on this host, or waits to.
type runner struct {
	host    *Host
	service key.Service
	log     *slog.Logger
	courier *courier
	core    *owner.Core
	// events are what other goroutines tell the runner's own; those that report
	// true want a step at once.
	events chan func(now time.Time) bool
	work   sync.WaitGroup

	meter    partition.Meter
	opinions map[place.Target]opinion
	// leadRevision is that of this host's entry as lead.
	leadRevision platform.Revision
	// vacantSince is since when no lead is known.
	vacantSince time.Time
	campaigning bool
	resigning   bool
	// lookedAt is when this host last campaigned; it does not until pausedUntil.
	lookedAt, pausedUntil time.Time
	wonAt                 time.Time
	// started is when this runner began, heard when a lead was last heard, announced
	// when this host last told others that it leads.
	started, heard, announced time.Time
	before                    predecessor
	lease                     *lease
	moves                     moves
	// sending counts the orders on their way.
	sending atomic.Int32
	// leads tells other goroutines whether the core leads.
	leads   atomic.Bool
	weighed time.Time
	// known numbers the list of targets that the core goes by, zero for none.
	known uint64
	// leaving are the lives of targets that have said to some host that they leave.
	leaving    map[place.Target]place.Incarnation
	load       partition.Load
	capacities partition.CapacityFilter
}

// opinion is what was last heard of a target.
type opinion struct {
	// time is the time of a request there, requests how many it rests on, slow the
	// decayed slowness of the last ones against that time.
	time     time.Duration
	requests float64
	slow     float64
	down     bool
	at       time.Time
}

func newRunner(h *Host, service key.Service) *runner {
	log := h.log.With(slog.String("service", string(service)))
	r := &runner{
		host: h, service: service, log: log,
		courier: newCourier(h.env.Orders, log),
		core: owner.New(owner.Config{
			Service: service, Host: h.site.Host, Incarnation: h.life,
			GrantDuration: min(holdTime, h.site.Bounds.HoldMax), RenewInterval: renewInterval, OrderTimeout: orderTimeout,
			RenewGrace: renewRight, LeaseTTL: max(leaseTTL, h.site.Bounds.SessionMin),
			Plan: planBounds, PlanInterval: planInterval, MaxRebalanceInterval: levelInterval, FirstGrantTimeout: firstGrant,
			MaxPublishInterval: publishInterval, MinPublishInterval: publishPace, ReleaseNotice: releaseNotice,
			WriteBatchDelay: gatherTime, SettleTime: settleTime, LeaseFreshness: freshLease, ConfirmTimeout: confirmTime, ReclaimTimeout: reclaimAfter,
		}),
		started:  clock.Now(),
		events:   make(chan func(time.Time) bool, 256),
		opinions: make(map[place.Target]opinion),
		leaving:  make(map[place.Target]place.Incarnation),
	}
	r.lease = r.newLease()
	return r
}

// run leads the service whenever no other host does, until ctx ends.
func (r *runner) run(ctx context.Context) error {
	tick := leadTick
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	defer r.work.Wait()
	defer r.courier.close()
	defer func() { r.lease.drop() }()
	for {
		select {
		case <-ctx.Done():
			if r.core.Leading() {
				r.log.Warn("Lead not handed on, it lapses.", slog.Uint64("term", uint64(r.core.Term())), slog.Bool("ordering", !r.core.Idle()))
			}
			return nil
		case f := <-r.events:
			due := false
			r.guard(func() { due = r.take(f) })
			if !due {
				continue
			}
		case <-ticker.C:
		}
		r.guard(func() { r.step(ctx, clock.Now()) })
		if next := r.tick(); next != tick {
			tick = next
			ticker.Reset(tick)
		}
	}
}

// tick returns the time until the next look at what is due.
func (r *runner) tick() time.Duration {
	if r.core.Leading() {
		return leadTick
	}
	ranked := r.host.viewer.view().candidates(r.service)
	if place := slices.Index(ranked, r.host.site.Host); place >= candidates {
		return restTick
	}
	return followTick
}

// take handles an event and all that wait behind it, and reports whether a step
// is due.
func (r *runner) take(f func(now time.Time) bool) bool {
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

// post hands an event to the runner's goroutine.
func (r *runner) post(f func(now time.Time) bool) { r.events <- f }

// report takes a load report. One that finds the runner behind is dropped: the
// next one comes in a moment.
func (r *runner) report(l loadReport) {
	r.offer(func(now time.Time) { r.note(now, l) })
}

// offer is post for what may be dropped where the runner is behind.
func (r *runner) offer(f func(now time.Time)) {
	select {
	case r.events <- func(now time.Time) bool { f(now); return false }:
	default:
	}
}

func (r *runner) note(now time.Time, l loadReport) {
	if !r.core.Leading() {
		return
	}
	for p, n := range l.points {
		r.meter.Add(now, p, n)
	}
	for _, o := range l.lanes {
		if o.Leaving {
			r.noteLeaving(o.Target)
		}
		if !o.Used && !o.Down {
			continue
		}
		took := o.Mean
		if took == 0 {
			took = r.meanTime(now) // it is down, and has served nothing here
		}
		last, ok := r.opinions[o.Target]
		if !ok || now.Sub(last.at) > opinionAge {
			last.slow = o.Slowdown
		}
		weight := 1 - math.Exp(-now.Sub(last.at).Seconds()/opinionMemory.Seconds())
		last.slow += weight * (o.Slowdown - last.slow)
		last.time, last.requests, last.down, last.at = took, o.Samples, o.Down, now
		if last.slow > slowSure {
			last.time = time.Duration(float64(took) * last.slow)
		}
		r.opinions[o.Target] = last
	}
}

// noteLeaving notes that a target has said that it leaves, which the platform's list
// may tell later, or never.
func (r *runner) noteLeaving(name place.Target) {
	row, ok := r.host.viewer.view().targets[name]
	born, noted := r.leaving[name]
	if !ok || row.State != place.Live || noted && born == row.Incarnation {
		return
	}
	r.log.Info("Target leaves by its own word.", slog.String("target", string(name)))
	r.leaving[name] = row.Incarnation
	r.known = 0 // the core has to hear of it
}

// listed returns the targets of a view, those that have said so as leaving.
func (r *runner) listed(v *view) map[place.Target]place.TargetRow {
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

// guard runs f. Where that panics, this host gives up the lead: what it knew may
// be half changed, and the next lead starts from the store.
func (r *runner) guard(f func()) {
	if r.host.guard("lead", f) {
		return
	}
	r.core.StepDown()
	r.lease.drop()
	r.leads.Store(false)
}

// step looks at what is due.
func (r *runner) step(ctx context.Context, now time.Time) {
	v := r.host.viewer.view()
	r.follow(now, v)
	if r.core.Leading() {
		session := r.lease.current()
		if _, era := r.host.store.eras(); session.forgotten || max(era, v.era) > r.core.Term().Era() {
			r.core.StoreRestored(now, r.core.Term())
		}
		r.core.ExtendLease(session.end)
		if v.fleet != r.known {
			r.known = v.fleet
			r.core.SetTargets(now, r.listed(v))
		}
		r.weigh(now, v)
		r.announce(now, v)
	} else {
		r.lease.drop() // the lead was lost
	}
	r.campaignIfDue(ctx, now, v)
	r.resignIfDue(ctx, now)
	r.leads.Store(r.core.Leading())
	r.apply(ctx, r.core.Tick(now))
}

// follow gives way to another lead that the list of members names.
func (r *runner) follow(now time.Time, v *view) {
	lead, ok := v.members.Leader(r.service)
	ok = ok && !lead.Restored()
	mine := ok && lead.Host == r.host.site.Host && lead.Incarnation == r.host.life
	switch {
	case ok && !mine && r.core.Leading() && lead.Revision > r.leadRevision:
		r.log.Warn("Another host leads, giving way.", slog.String("lead", string(lead.Host)),
			slog.Uint64("revision", uint64(lead.Revision)), slog.Uint64("term", uint64(r.core.Term())))
		r.core.StepDown()
		r.vacantSince = time.Time{}
	case ok && !mine && !v.members.Ended(lead):
		r.vacantSince = time.Time{}
	case !mine && r.vacantSince.IsZero():
		r.vacantSince = now
	}
}

// opinionAge is how old an opinion of a target may be to count.
const opinionAge = 3 * time.Second

// weigh tells the core the load and what each target can do.
func (r *runner) weigh(now time.Time, v *view) {
	if now.Sub(r.weighed) < planInterval {
		return
	}
	r.weighed = now
	if v.routes != nil {
		if service := v.routes.Service(r.service); service != nil {
			r.core.SetWarmup(service.WarmUp)
		}
	}
	r.meter.Decay(now)
	mean := r.meanTime(now)
	measured := make(map[place.Target]partition.Target)
	suspect := make(map[place.Target]bool)
	for _, row := range v.services[r.service] {
		o, ok := r.opinions[row.Target]
		if !ok || now.Sub(o.at) > opinionAge {
			continue
		}
		suspect[row.Target] = o.down
		t := partition.EstimateTarget(row.Target, row.Slots, partition.Sample{MeanTime: o.time, Requests: o.requests}, mean)
		steady, changed := r.capacities.Apply(t)
		measured[row.Target] = steady
		if changed {
			r.log.Info("Capacity of target has changed.", slog.String("target", string(row.Target)),
				slog.Float64("capacity", t.Capacity), slog.Float64("doubt", t.RelStdDev), slog.Int("slots", row.Slots),
				millis("time", o.time), millis("mean", mean), slog.Float64("requests", o.requests))
		}
	}
	r.capacities.Retain(func(name place.Target) bool { _, ok := v.targets[name]; return ok })
	if r.meter.DetectChanges(now, r.core.Ranges()) {
		r.log.Info("Load has changed, averaging anew.")
	}
	r.meter.Load(now, &r.load, mean)
	r.core.SetLoad(&r.load, measured, suspect)
}

// meanTime returns the mean time of a request over all targets.
func (r *runner) meanTime(now time.Time) time.Duration {
	var sum time.Duration
	n := 0
	for _, o := range r.opinions {
		if now.Sub(o.at) <= opinionAge && o.time > 0 {
			sum += o.time
			n++
		}
	}
	if n == 0 {
		return defaultMean
	}
	return sum / time.Duration(n)
}

const (
	// defaultMean is the time of a request of which nothing is known yet.
	defaultMean = 100 * time.Millisecond
	// slowSure is the slowness against its own mean from which a target counts
	// as slower than that mean; less is chance.
	slowSure = 1.8
	// opinionMemory is the time in which older opinions of a target's slowness lose
	// most of their weight.
	opinionMemory = 1200 * time.Millisecond
)

// apply carries out the core's effects.
func (r *runner) apply(ctx context.Context, effects []owner.Effect) {
	ctx = context.WithoutCancel(ctx) // a stop lets what is on its way end
	for _, e := range effects {
		switch e := e.(type) {
		case owner.SendGrants:
			t := &grantTask{runner: r, effect: e}
			r.work.Add(1)
			go t.run(ctx)
		case owner.SendRelease:
			t := &releaseTask{runner: r, effect: e}
			r.work.Add(1)
			go t.run(ctx)
		case owner.WriteDoc:
			t := &writeTask{runner: r, effect: e, leadRevision: r.leadRevision}
			r.work.Add(1)
			go t.run(ctx)
		case owner.RenewLease:
			r.lease.hurry()
		case owner.Publish:
			r.publish(e.Table)
		case owner.Note:
			r.host.metrics.noted(r.service, e.Text)
			r.moves.note(time.Now(), e)
			r.log.Info(e.Text, slog.String("range", e.Range.String()), slog.String("from", string(e.From)),
				slog.String("to", string(e.To)), slog.Uint64("fence", uint64(e.Fence)), millis("age", e.Age),
				slog.Uint64("term", uint64(r.core.Term())))
		}
	}
}

func (r *runner) publish(t *owner.Table) {
	body, err := t.Encode()
	if err != nil {
		r.log.Error("Table not written.", slog.Any("error", err))
		return
	}
	r.host.board.Publish(spread.Document{
		Name:    docRanges + spread.Name(r.service),
		Version: spread.Version{Major: uint64(t.Version.Term), Minor: t.Version.Sequence},
		Body:    body,
	})
}
