package owner

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/evacuation"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// Config identifies the host of a core, and holds the durations that the ownership rules
// depend on.
type Config struct {
	Service     key.Service
	Host        place.Host
	Incarnation place.Incarnation
	// GrantDuration is the length of a grant. RenewInterval is the time between two
	// grants to the same target.
	GrantDuration time.Duration
	RenewInterval time.Duration
	// LimitedRenewInterval replaces RenewInterval for targets with a rate limit.
	LimitedRenewInterval time.Duration
	// OrderTimeout bounds the time until an order is answered; after it the connection
	// is reset.
	OrderTimeout time.Duration
	// MaxOrderTransit bounds how long an order may be in transit after its sender has
	// ended: nothing resets the connection then, and a network partition may delay what
	// was sent on it.
	MaxOrderTransit time.Duration
	// RenewGrace is how long after the end of its lease a leader still renews grants.
	// The next leader waits that long before it counts a grant of its predecessor as
	// expired.
	RenewGrace time.Duration
	// LeaseTTL is the length of the leader's own lease.
	LeaseTTL time.Duration
	Plan     partition.Config
	// PlanInterval is the time between two plans. With many targets, plans that
	// rebalance all of them are up to MaxRebalanceInterval apart, and the plans in
	// between only relieve targets far above their capacity: moves that start together
	// share writes and tables.
	PlanInterval         time.Duration
	MaxRebalanceInterval time.Duration
	// FirstGrantTimeout is how long a new owner may take to acknowledge its first
	// grant.
	FirstGrantTimeout time.Duration
	// MaxPublishInterval is the longest time between two tables. Hosts take an older
	// table to mean that they have lost contact with the leader.
	MaxPublishInterval time.Duration
	// MinPublishInterval is the shortest time between two tables, as each goes to every
	// host.
	MinPublishInterval time.Duration
	// ReleaseNotice is how long before a planned release a table without the owner is
	// published, so that hosts stop sending requests; the owner refuses requests that
	// arrive after the release.
	ReleaseNotice time.Duration
	// LeaseFreshness is how recent the last renewal of the lease must be for moves to
	// start: a range that is released during a store outage has no owner until the
	// outage ends.
	LeaseFreshness time.Duration
	// ConfirmTimeout is how long a move waits for a renewal of the lease that was sent
	// after the move was decided, before it is canceled. Until the renewal the range
	// stays with its owner: if it were released and the store could not record the new
	// owner, it would have none until the outage ends.
	ConfirmTimeout time.Duration
	// ReclaimTimeout is how long a released range waits until its new owner is recorded
	// before it returns to the old one.
	ReclaimTimeout time.Duration
	// WriteBatchDelay is how long a free range waits for ranges that are being
	// released, so that one write records all of them.
	WriteBatchDelay time.Duration
	// SettleTime is the time without a new target after which a service gets its first
	// owners.
	SettleTime time.Duration
	// FencesPerTerm is the number of fencing tokens of a term, zero for the usual one. All
	// leaders of a service need the same.
	FencesPerTerm uint64
}

// maxClockDrift bounds how much slower than this host's clock a target's clock runs, as
// a fraction.
const maxClockDrift = 0.02

// transitSlack covers the transit of an order that was sent just before its timeout.
const transitSlack = 50 * time.Millisecond

// maxGrantDuration returns how long a grant may last after its arrival, by this host's
// clock.
func (c *Config) maxGrantDuration() time.Duration {
	return time.Duration(float64(c.GrantDuration)*(1+maxClockDrift)) + transitSlack
}

// Effect is an action that a core asks its caller to carry out.
type Effect interface{ effect() }

// SendGrants sends grants to a target, one after the other, on the connection with
// number Conn. That connection is opened for its first order and never reopened.
type SendGrants struct {
	Target place.Target
	Addr   netip.AddrPort
	Conn   uint64
	Grants []target.Grant
	// Probe is set if it matters whether the target has ended: see TargetEnded.
	Probe bool
}

// SendRelease takes a range back, on a connection of its own.
type SendRelease struct {
	ID      uint64
	Target  place.Target
	Addr    netip.AddrPort
	Release target.Release
	// Probe is set if it matters whether the target has ended: see TargetEnded.
	Probe bool
}

// WriteDoc replaces the document at revision Expect, if this host is still the leader.
type WriteDoc struct {
	Doc    Doc
	Expect platform.Revision
}

// RenewLease asks for an immediate renewal of the lease, as proof that the store is
// available.
type RenewLease struct{}

// Publish puts a routing table in force.
type Publish struct{ Table *Table }

// Note is a decision to be logged.
type Note struct {
	// Text is the log message. It is also the label "text" of the metric "decisions" and
	// the evidence of a move in the status report, so the texts are fixed.
	Text  string
	Range key.Range
	From  place.Target
	To    place.Target
	Fence target.FencingToken
	// Age is the time since the range entered its state.
	Age time.Duration
}

func (SendGrants) effect()  {}
func (SendRelease) effect() {}
func (WriteDoc) effect()    {}
func (RenewLease) effect()  {}
func (Publish) effect()     {}
func (Note) effect()        {}

// Prior is the state of the prior leaders, as far as it is known.
type Prior uint8

// A leader that has stopped sends no more orders and has none in transit; one of unknown
// state may renew grants until its renewal grace ends. The leaders before the predecessor
// need not have ended when it has: see Doc.PriorMayRenew.
const (
	PriorUnknown Prior = iota
	PriorEnded
	// PriorInTransit: the process of a leader has ended without handing over, so that its
	// last orders may still be in transit.
	PriorInTransit
	// PriorLost: the store was restored from an older snapshot, so that leaders and
	// moves since that snapshot are unknown.
	PriorLost
)

// targetConn is the leader's connection for grants to one target, with the state of its
// orders.
type targetConn struct {
	conn     uint64
	inFlight bool
	// allSentAt is when all grants were last sent, sentAt when any grant was.
	allSentAt time.Time
	sentAt    time.Time
	// uncertain is true if the target may have carried out the last order that failed.
	uncertain bool
	// failingSince is the time since which orders have failed; zero if the last one
	// succeeded.
	failingSince time.Time
	// failedAt is when an order last failed, retryAt when the next one may be sent.
	failedAt time.Time
	retryAt  time.Time
}

// listing is an incarnation of a target that is listed at an address.
type listing struct {
	target      place.Target
	incarnation place.Incarnation
}

// Core is the leader of one service, or a candidate for it. It is not safe for
// concurrent use.
type Core struct {
	cfg      Config
	leading  bool
	term     Term
	revision platform.Revision
	// leaseEnd is when this leader's lease ends, by its own clock.
	leaseEnd  time.Time
	lastFence uint64
	// outranked is set once targets refuse the tokens of the term, and termSteps counts the terms
	// that were taken for that.
	outranked bool
	termSteps uint
	sequence  uint64
	// publishedAt is when the newest table was made.
	publishedAt time.Time
	rows        []*row
	targetConns map[place.Target]*targetConn
	targetRows  map[place.Target]place.TargetRow
	// listedAt is the latest incarnation that is listed at each address, of any service.
	listedAt map[netip.AddrPort]listing
	// reclaimedAt is when a range last stayed with or returned to its owner because the
	// store refused a write or did not respond.
	reclaimedAt time.Time
	// joinedAt is when the newest target joined.
	joinedAt time.Time
	suspect  map[place.Target]bool
	// evacuation holds the evacuated zones.
	evacuation evacuation.State
	// warmup is how long keys are slow after a change of owner without a handover.
	warmup   time.Duration
	measured map[place.Target]partition.Target
	// limited holds the targets with a rate limit.
	limited   map[place.Target]bool
	load      *partition.Load
	plannedAt time.Time
	// rebalancedAt is when a plan last rebalanced all targets.
	rebalancedAt time.Time
	pending      *Doc
	// writeRefusedAt is when a write to the store last failed.
	writeRefusedAt time.Time
	// renewalAskedAt is when a renewal of the lease was last asked for.
	renewalAskedAt time.Time
	// priorMayRenewUntil is until when prior leaders may renew grants; it is in the
	// past if they have ended.
	priorMayRenewUntil time.Time
	// priorInTransitUntil is until when orders of prior leaders may be in transit.
	// priorExpiresBy is when the grants of prior leaders have expired that have arrived.
	priorInTransitUntil, priorExpiresBy time.Time
	// frozenUntil is until when leaders that were lost in a restore of the store may
	// still send orders. Until then ranges are only renewed, and none is taken to be
	// free.
	frozenUntil time.Time
	// docFlagged is true if one of the flags of the document is set. A write clears them
	// once none applies any more.
	docFlagged  bool
	lastConn    uint64
	lastRelease uint64
	// termLost is true if the store was restored from an older snapshot during this
	// term.
	termLost bool
	stopping bool
	changed  bool
	effects  []Effect
}

// New returns a core that is not a leader.
func New(cfg Config) *Core {
	return &Core{
		cfg:         cfg,
		targetConns: make(map[place.Target]*targetConn),
		targetRows:  make(map[place.Target]place.TargetRow),
		suspect:     make(map[place.Target]bool),
		load:        partition.UniformLoad(),
	}
}

// Leading reports whether this core is the leader, with or without a lease.
func (c *Core) Leading() bool { return c.leading }

// Term returns the current term, or the last one if this core is not the leader.
func (c *Core) Term() Term { return c.term }

// BeginTerm starts a term. doc is the document in the store at the revision; it has the
// new term and names this host as the leader.
func (c *Core) BeginTerm(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time, prior Prior) {
	if c.leading && prior == PriorLost {
		c.resumeAfterRestore(now, doc, revision, leaseEnd)
		return
	}
	if c.leading && doc.Term == c.term+1 && c.pending == nil && !c.termLost {
		// No other host led in between, so the state is still valid.
		c.revision, c.leaseEnd = revision, leaseEnd
		c.takeTerm(doc.Term)
		c.docFlagged = doc.flagged()
		return
	}
	c.reset()
	c.leading, c.term, c.revision, c.leaseEnd = true, doc.Term, revision, leaseEnd
	c.docFlagged = doc.flagged()
	end := now.Add(c.cfg.OrderTimeout + c.cfg.maxGrantDuration())
	if prior == PriorUnknown || prior == PriorLost || doc.PriorMayRenew {
		end = end.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
		c.priorMayRenewUntil = now.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
	}
	c.priorExpiresBy = end
	if prior == PriorLost {
		c.frozenUntil = end
	}
	if prior == PriorInTransit {
		c.priorInTransitUntil = now.Add(c.cfg.MaxOrderTransit)
		end = later(end, c.priorInTransitUntil.Add(c.cfg.maxGrantDuration()))
	}
	for _, r := range doc.Rows {
		// The predecessor has probably renewed this grant until just now.
		next := &row{Row: r, state: held, since: now, expiresBy: end, routable: true, heldUntil: now.Add(c.cfg.GrantDuration)}
		switch {
		case now.Before(c.frozenUntil):
			// The document may not name the target that holds the range.
			next.routable, next.heldUntil = false, now
		case r.Target == "":
			next.state, next.routable, next.expiresBy = free, false, now
		}
		c.rows = append(c.rows, next)
	}
	c.changed = true
}

// PriorEnded records that all prior leaders have ended, or have stopped and have no
// order in flight.
func (c *Core) PriorEnded(now time.Time) {
	if now.Before(c.frozenUntil) {
		return // leaders lost in the restore may not have ended
	}
	c.priorMayRenewUntil = time.Time{}
	end := now.Add(c.cfg.maxGrantDuration())
	for _, r := range c.rows {
		if r.acked == 0 && r.unacked == 0 && r.expiresBy.After(end) {
			r.expiresBy = end
		}
	}
}

// PriorInTransit records that the process of the predecessor has ended without handing over.
// A range counts as held by the owner that the predecessor knew until an order of this leader
// reaches that owner, or no earlier one can arrive any more. mayRenew is set if a leader
// before the predecessor may still renew grants.
func (c *Core) PriorInTransit(now time.Time, mayRenew bool) {
	if now.Before(c.frozenUntil) {
		return // ranges are not moved until then
	}
	if sent := now.Add(c.cfg.maxGrantDuration()); !mayRenew && c.priorExpiresBy.After(sent) {
		c.priorMayRenewUntil, c.priorExpiresBy = time.Time{}, sent
	}
	c.priorInTransitUntil, c.docFlagged = now.Add(c.cfg.MaxOrderTransit), true
	end := c.priorInTransitUntil.Add(c.cfg.maxGrantDuration())
	for _, r := range c.rows {
		if r.acked == 0 && r.state != free && r.state != writing {
			r.expiresBy = later(r.expiresBy, end)
		}
	}
}

// TargetEnded records that the process of a target at an address has ended: no order that is
// in transit to it has an effect any more.
func (c *Core) TargetEnded(now time.Time, name place.Target, addr netip.AddrPort) {
	for _, r := range c.rows {
		if r.Target == name && r.Addr == addr {
			c.endTransit(now, r)
		}
	}
}

// endTransit ends the wait for orders of prior leaders to the owner of a range.
func (c *Core) endTransit(now time.Time, r *row) {
	if !c.awaitsTransit(now, r) {
		return
	}
	end := c.priorExpiresBy
	if r.unacked > 0 {
		end = later(end, now.Add(c.cfg.maxGrantDuration()))
	}
	if r.expiresBy.After(end) {
		r.expiresBy = end
	}
}

// awaitsTransit reports whether a range waits for orders of prior leaders that may be in
// transit: its owner has acknowledged no order of this leader.
func (c *Core) awaitsTransit(now time.Time, r *row) bool {
	return r.acked == 0 && now.Before(c.priorInTransitUntil) && r.expiresBy.After(c.priorExpiresBy) && r.state != free && r.state != writing
}

// reset drops the state of a term.
func (c *Core) reset() {
	c.leading, c.stopping, c.pending, c.rows = false, false, nil, nil
	c.lastFence, c.outranked, c.termSteps = 0, false, 0
	c.targetConns = make(map[place.Target]*targetConn)
	c.plannedAt, c.rebalancedAt = time.Time{}, time.Time{}
	c.priorMayRenewUntil, c.priorInTransitUntil, c.priorExpiresBy = time.Time{}, time.Time{}, time.Time{}
	c.docFlagged, c.termLost, c.frozenUntil = false, false, time.Time{}
}

// StepDown ends leadership, as another host is the leader.
func (c *Core) StepDown() { c.reset() }

// ExtendLease sets the end of this host's lease, if it is later than the known one.
func (c *Core) ExtendLease(end time.Time) {
	if end.After(c.leaseEnd) {
		c.leaseEnd = end
	}
}

// Stop ends all sending until Resume or the next term. Idle reports when no grant and no write
// is in flight any more.
func (c *Core) Stop() { c.stopping = true }

// Resume undoes Stop.
func (c *Core) Resume() { c.stopping = false }

// LeaseFresh reports whether the lease was renewed within LeaseFreshness.
func (c *Core) LeaseFresh(now time.Time) bool {
	return now.Before(c.lastRenewal().Add(c.cfg.LeaseFreshness))
}

// lastRenewal returns when the last successful renewal of the lease was sent.
func (c *Core) lastRenewal() time.Time { return c.leaseEnd.Add(-c.cfg.LeaseTTL) }

// Idle reports whether no grant and no write is in flight.
func (c *Core) Idle() bool {
	if c.pending != nil {
		return false
	}
	for _, tc := range c.targetConns {
		if tc.inFlight {
			return false
		}
	}
	return true
}

// Unreached reports whether orders fail at half or more of the targets that own ranges.
func (c *Core) Unreached() bool {
	owners, failing := make(map[place.Target]bool), 0
	for _, r := range c.rows {
		if r.Target == "" || owners[r.Target] {
			continue
		}
		owners[r.Target] = true
		if tc := c.targetConns[r.Target]; tc != nil && !tc.failingSince.IsZero() {
			failing++
		}
	}
	return failing > 0 && 2*failing >= len(owners)
}

// unresolved reports whether a target may still carry out a grant that got no response.
func (c *Core) unresolved() bool {
	return slices.ContainsFunc(c.rows, func(r *row) bool { return r.unacked != 0 && r.unacked >= r.acked })
}

// FinalDoc returns the document of a leader that hands over. It names no leader. A grant
// without a response counts like those of a prior leader that may still renew: it may be
// carried out after the next leader has started.
func (c *Core) FinalDoc(now time.Time) Doc {
	d := c.Doc(now)
	d.Leader, d.LeaderIncarnation = "", 0
	d.PriorMayRenew = d.PriorMayRenew || c.unresolved()
	return d
}

// Doc returns the document as it would be written now.
func (c *Core) Doc(now time.Time) Doc {
	d := Doc{
		Service: c.cfg.Service, Term: c.term, Leader: c.cfg.Host, LeaderIncarnation: c.cfg.Incarnation,
		PriorMayRenew: now.Before(c.priorMayRenewUntil), PriorInTransit: now.Before(c.priorInTransitUntil),
		AfterRestore: now.Before(c.frozenUntil), WriteID: rand.Uint64(),
	}
	for _, r := range c.rows {
		d.Rows = append(d.Rows, r.Row)
	}
	return d
}

// Ranges returns all ranges in order, with adjacent ranges of one owner merged.
func (c *Core) Ranges() []key.Range {
	var out []key.Range
	var last place.Target
	for _, r := range c.rows {
		if n := len(out); n > 0 && r.Target == last {
			out[n-1].Last = r.Range.Last
			continue
		}
		out, last = append(out, r.Range), r.Target
	}
	return out
}

// Changed reports whether anything that requests depend on has changed since the last
// table.
func (c *Core) Changed() bool { return c.changed }

// Revision returns the revision of the document that the core works on.
func (c *Core) Revision() platform.Revision { return c.revision }

// SetTargets sets the current list of the targets of all services. Targets that are
// leaving or not in the list lose their ranges.
func (c *Core) SetTargets(now time.Time, targets map[place.Target]place.TargetRow) {
	old, listedAt := c.targetRows, c.listedAt
	c.targetRows = make(map[place.Target]place.TargetRow, len(targets))
	c.listedAt = make(map[netip.AddrPort]listing, len(targets))
	for name, t := range targets {
		if c.listedAt[t.Addr].incarnation < t.Incarnation {
			c.listedAt[t.Addr] = listing{name, t.Incarnation}
		}
		if t.Service != string(c.cfg.Service) {
			continue
		}
		c.targetRows[name] = t
		if _, ok := old[name]; !ok {
			c.joinedAt = now
		}
	}
	if !c.leading {
		return
	}
	for _, r := range c.rows {
		if r.Target == "" || r.state == free || r.state == writing || r.Incarnation == 0 {
			continue
		}
		// An entry proves nothing about the process at its address, as anybody may have
		// written it. The response to an order does: see targetEnded.
		if l := c.listedAt[r.Addr]; l.target != r.Target && l.incarnation > r.Incarnation && l != listedAt[r.Addr] {
			c.targetConn(r.Target).allSentAt = time.Time{}
		}
		if t := c.targetRows[r.Target]; t.Incarnation > r.Incarnation && t.Addr != r.Addr {
			c.endTransit(now, r)
		}
	}
}

// SetLoad sets the work of the key space, the measured capacities of targets, and the
// targets that hosts suspect to be unreachable.
func (c *Core) SetLoad(load *partition.Load, measured map[place.Target]partition.Target, suspect map[place.Target]bool) {
	c.load, c.measured, c.suspect = load, measured, suspect
}

// SetLimited sets the targets with a rate limit, which may count orders. They get
// fewer of them, and their measured capacity is what the limit leaves.
func (c *Core) SetLimited(limited map[place.Target]bool) { c.limited = limited }

// renewInterval returns the time between two grants to a target.
func (c *Core) renewInterval(name place.Target) time.Duration {
	if c.limited[name] {
		return c.cfg.LimitedRenewInterval
	}
	return c.cfg.RenewInterval
}

// SetWarmup sets how long keys stay slow at an owner that took them without a handover.
func (c *Core) SetWarmup(d time.Duration) { c.warmup = d }

// failureCooldown is how long a target gets no ranges after an order to it has failed.
// It must end by time, as a target without ranges is sent no orders that could succeed.
const failureCooldown = 2 * time.Second

// usable reports whether a target may be given ranges.
func (c *Core) usable(now time.Time, name place.Target) bool {
	return !c.evacuation.Contains(c.targetRows[name].Zone) && c.available(now, name)
}

// available reports whether a target could be given ranges if its zone is not evacuated.
func (c *Core) available(now time.Time, name place.Target) bool {
	t, ok := c.targetRows[name]
	if !ok || t.State != place.Live || c.suspect[name] {
		return false
	}
	tc := c.targetConns[name]
	return tc == nil || tc.failingSince.IsZero() || now.Sub(tc.failedAt) > failureCooldown
}

// hasAlternative reports whether any other target may be given ranges.
func (c *Core) hasAlternative(now time.Time, name place.Target) bool {
	for other := range c.targetRows {
		if other != name && c.usable(now, other) {
			return true
		}
	}
	return false
}

// ownerLive reports whether the owner is listed as live and so may keep the range.
func (c *Core) ownerLive(r *row) bool {
	t, ok := c.targetRows[r.Target]
	return ok && t.State == place.Live
}

func (c *Core) targetConn(name place.Target) *targetConn {
	tc := c.targetConns[name]
	if tc == nil {
		c.lastConn++
		tc = &targetConn{conn: c.lastConn}
		c.targetConns[name] = tc
	}
	return tc
}

// Tick does what is due and returns all effects since the last call.
func (c *Core) Tick(now time.Time) []Effect {
	if c.leading && !c.stopping {
		c.checkRows(now)
		if now.Before(c.leaseEnd) && !c.termLost && !now.Before(c.frozenUntil) {
			if c.LeaseFresh(now) {
				c.coalesce()
				c.plan(now)
			}
			c.writeDoc(now)
		}
		c.confirm(now)
		if now.Before(c.leaseEnd.Add(c.cfg.RenewGrace)) {
			c.sendOrders(now)
		}
		c.publish(now)
	}
	out := c.effects
	c.effects = nil
	return out
}

func (c *Core) emit(e Effect) { c.effects = append(c.effects, e) }
