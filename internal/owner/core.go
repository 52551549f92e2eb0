package owner

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/target"
)

// Config holds the times that the rules rest on.
type Config struct {
	Service     key.Service
	Host        place.Host
	Incarnation place.Incarnation
	// GrantDuration is the length of a grant, Renew the time between two grants to one
	// target.
	GrantDuration time.Duration
	RenewInterval time.Duration
	// OrderTimeout bounds an order and its answer; after it the connection is reset.
	OrderTimeout time.Duration
	// RenewGrace is how long after the end of its lease a lead still renews what
	// stands. Whoever follows waits that long before it counts a grant of its
	// predecessor's as ended.
	RenewGrace time.Duration
	// LeaseTTL is the length of the lead's own lease.
	LeaseTTL time.Duration
	Plan     partition.Config
	// PlanInterval is the time between two plans. With many targets those that even
	// out all of them are up to LevelMost apart, and the others are for targets far
	// above what they can do: moves that begin together share writes and tables.
	PlanInterval         time.Duration
	MaxRebalanceInterval time.Duration
	// FirstGrantTimeout is how long a new owner may take to answer its first grant.
	FirstGrantTimeout time.Duration
	// MaxPublishInterval is the longest time between two tables: an old one tells hosts
	// that they have lost touch with the lead.
	MaxPublishInterval time.Duration
	// MinPublishInterval is the least time between two tables: each goes to every host.
	MinPublishInterval time.Duration
	// ReleaseNotice is how long before a planned release a table tells hosts to send
	// nothing more: what comes later is refused by the owner.
	ReleaseNotice time.Duration
	// LeaseFreshness is how recent the last renewal of the lease must be for moves to
	// begin: a range that is released while the store is away waits for it.
	LeaseFreshness time.Duration
	// ConfirmTimeout is how long a range that shall move stays with its owner until the lease
	// has been renewed by a call that was sent after that was decided: a range that is
	// released and whose new owner can't be written has none until the store is back.
	ConfirmTimeout time.Duration
	// ReclaimTimeout is how long a released range waits for its new owner to be
	// written before it goes back to the old one.
	ReclaimTimeout time.Duration
	// WriteBatchDelay is how long a free range waits for others whose release is on its
	// way, so that one write records them all.
	WriteBatchDelay time.Duration
	// SettleTime is how long the list of targets must have stood still before a
	// service gets its first owners.
	SettleTime time.Duration
}

// maxClockDrift is how much slower than ours a target's clock may run.
const maxClockDrift = 0.02

// transitSlack covers the way of an order that was sent just before its bound.
const transitSlack = 50 * time.Millisecond

// maxGrantDuration returns how long after its arrival a grant may last.
func (c *Config) maxGrantDuration() time.Duration {
	return time.Duration(float64(c.GrantDuration)*(1+maxClockDrift)) + transitSlack
}

// Effect is what a core wants done.
type Effect interface{ effect() }

// SendGrants sends grants to a target one after the other on the connection
// of that number, which is opened for its first order and never again.
type SendGrants struct {
	Target place.Target
	Addr   netip.AddrPort
	Conn   uint64
	Grants []target.Grant
}

// SendRelease takes a range back, on a connection of its own.
type SendRelease struct {
	ID      uint64
	Target  place.Target
	Addr    netip.AddrPort
	Release target.Release
}

// WriteDoc replaces the document at the revision, if this host still leads.
type WriteDoc struct {
	Doc    Doc
	Expect platform.Revision
}

// RenewLease wants the lease renewed at once, as a sign that the store answers.
type RenewLease struct{}

// Publish puts a table in force.
type Publish struct{ Table *Table }

// Note is a decision worth a line in the log.
type Note struct {
	Text  string
	Range key.Range
	From  place.Target
	To    place.Target
	Fence target.FencingToken
	// Age is the age of what the decision rests on.
	Age time.Duration
}

func (SendGrants) effect()  {}
func (SendRelease) effect() {}
func (WriteDoc) effect()    {}
func (RenewLease) effect()  {}
func (Publish) effect()     {}
func (Note) effect()        {}

// Prior is what is known of the leads before.
type Prior uint8

// A lead that has stopped or whose process has ended sends nothing any more;
// one of which nothing is known may renew until its right ends. The end of the
// last one tells nothing of those before it: see Doc.Stragglers.
const (
	PriorUnknown Prior = iota
	PriorEnded
	// PriorLost: the store has come back from an older copy, so that nothing is
	// known of who led, and moved what, since that was taken.
	PriorLost
)

// targetConn is what a lead knows of one target that it orders about.
type targetConn struct {
	conn     uint64
	inFlight bool
	// allSentAt is when all grants were last sent, asked when any were.
	allSentAt time.Time
	sentAt    time.Time
	// uncertain tells that the last failure was an order that may have been
	// carried out.
	uncertain bool
	// failingSince is since when orders got no answer; zero if the last one did.
	failingSince time.Time
	// failedAt is when one last got no answer, retryAt when the next is sent.
	failedAt time.Time
	retryAt  time.Time
}

// Core leads one service, or waits to. It is not safe for concurrent use.
type Core struct {
	cfg      Config
	leading  bool
	term     Term
	revision platform.Revision
	// leaseEnd is when this lead's lease ends by its own clock.
	leaseEnd  time.Time
	lastFence uint64
	sequence  uint64
	// publishedAt is when the newest table was made.
	publishedAt time.Time
	rows        []*row
	targetConns map[place.Target]*targetConn
	targetRows  map[place.Target]place.TargetRow
	// reclaimedAt is when a range last went back for want of a write.
	reclaimedAt time.Time
	// joinedAt is when the newest target joined.
	joinedAt time.Time
	suspect  map[place.Target]bool
	// warmup is how long keys are slow after a change of owner without a handover.
	warmup    time.Duration
	measured  map[place.Target]partition.Target
	load      *partition.Load
	plannedAt time.Time
	// rebalancedAt is when all targets were last evened out.
	rebalancedAt time.Time
	pending      *Doc
	// writeRefusedAt is when the store last took no write.
	writeRefusedAt time.Time
	// renewalAskedAt is when a renewal of the lease was last asked for.
	renewalAskedAt time.Time
	// priorMayRenewUntil is until when leads before this one may renew; it has passed
	// where they have ended.
	priorMayRenewUntil time.Time
	// frozenUntil is until when leads that the store has forgotten may still order targets
	// about: ranges are only renewed, and none is taken to be free.
	frozenUntil time.Time
	// docFlagged tells that the document says so, and that a write should end that.
	docFlagged  bool
	lastConn    uint64
	lastRelease uint64
	// termLost tells that the store has come back from an older copy since this term
	// began.
	termLost bool
	stopping bool
	changed  bool
	effects  []Effect
}

// New returns a core that leads nothing.
func New(cfg Config) *Core {
	return &Core{
		cfg:         cfg,
		targetConns: make(map[place.Target]*targetConn),
		targetRows:  make(map[place.Target]place.TargetRow),
		suspect:     make(map[place.Target]bool),
		load:        partition.UniformLoad(),
	}
}

// Leading reports whether this core leads, with or without a lease.
func (c *Core) Leading() bool { return c.leading }

// Term returns the term that this core leads, or led last.
func (c *Core) Term() Term { return c.term }

// BeginTerm starts a term: doc, with the new term and this host as its lead, is what
// the store holds at the revision.
func (c *Core) BeginTerm(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time, prior Prior) {
	if c.leading && prior == PriorLost {
		c.resumeAfterRestore(now, doc, revision, leaseEnd)
		return
	}
	if c.leading && doc.Term == c.term+1 && c.pending == nil && !c.termLost {
		// Nobody led in between: all that is known still holds.
		c.term, c.revision, c.leaseEnd = doc.Term, revision, leaseEnd
		c.changed, c.docFlagged = true, doc.PriorMayRenew || doc.AfterRestore
		return
	}
	c.reset()
	c.leading, c.term, c.revision, c.leaseEnd = true, doc.Term, revision, leaseEnd
	c.docFlagged = doc.PriorMayRenew || doc.AfterRestore
	end := now.Add(c.cfg.OrderTimeout + c.cfg.maxGrantDuration())
	if prior != PriorEnded {
		end = end.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
		c.priorMayRenewUntil = now.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
	}
	if prior == PriorLost {
		c.frozenUntil = end
	}
	for _, r := range doc.Rows {
		// The lead before has probably renewed until a moment ago.
		next := &row{Row: r, state: held, since: now, expiresBy: end, routable: true, heldUntil: now.Add(c.cfg.GrantDuration)}
		switch {
		case now.Before(c.frozenUntil):
			// The document may name none of those that hold it.
			next.routable, next.heldUntil = false, now
		case r.Target == "":
			next.state, next.routable, next.expiresBy = free, false, now
		}
		c.rows = append(c.rows, next)
	}
	c.changed = true
}

// PriorEnded tells that all leads before have ended, or have stopped and have
// no order on their way.
func (c *Core) PriorEnded(now time.Time) {
	if now.Before(c.frozenUntil) {
		return // it need not have been the last one
	}
	c.priorMayRenewUntil = time.Time{}
	end := now.Add(c.cfg.maxGrantDuration())
	for _, r := range c.rows {
		if r.acked == 0 && r.unacked == 0 && r.expiresBy.After(end) {
			r.expiresBy = end
		}
	}
}

// reset forgets all that one term knew.
func (c *Core) reset() {
	c.leading, c.pending, c.rows = false, nil, nil
	c.lastFence = 0
	c.targetConns = make(map[place.Target]*targetConn)
	c.plannedAt, c.rebalancedAt, c.priorMayRenewUntil = time.Time{}, time.Time{}, time.Time{}
	c.docFlagged, c.termLost, c.frozenUntil = false, false, time.Time{}
}

// StepDown ends leading: another host does.
func (c *Core) StepDown() { c.reset() }

// ExtendLease tells until when this host's lease runs.
func (c *Core) ExtendLease(end time.Time) {
	if end.After(c.leaseEnd) {
		c.leaseEnd = end
	}
}

// Stop ends all sending until Resume; Idle tells when nothing is on its way any
// more.
func (c *Core) Stop() { c.stopping = true }

// Resume lets a core that was stopped go on.
func (c *Core) Resume() { c.stopping = false }

// LeaseFresh reports whether the store has renewed the lease a moment ago.
func (c *Core) LeaseFresh(now time.Time) bool {
	return now.Before(c.lastRenewal().Add(c.cfg.LeaseFreshness))
}

// lastRenewal returns when the last renewal that the store answered was sent.
func (c *Core) lastRenewal() time.Time { return c.leaseEnd.Add(-c.cfg.LeaseTTL) }

// Idle reports whether no order and no write is on its way.
func (c *Core) Idle() bool {
	if c.pending != nil {
		return false
	}
	for _, l := range c.targetConns {
		if l.inFlight {
			return false
		}
	}
	return true
}

// Doc returns the document as it would be written now.
func (c *Core) Doc(now time.Time) Doc {
	d := Doc{
		Service: c.cfg.Service, Term: c.term, Leader: c.cfg.Host, LeaderIncarnation: c.cfg.Incarnation,
		PriorMayRenew: now.Before(c.priorMayRenewUntil), AfterRestore: now.Before(c.frozenUntil), WriteID: rand.Uint64(),
	}
	for _, r := range c.rows {
		d.Rows = append(d.Rows, r.Row)
	}
	return d
}

// Ranges returns the ranges in order, neighbours of one owner as one.
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

// Changed reports whether a table is due: something changed that requests
// depend on.
func (c *Core) Changed() bool { return c.changed }

// Revision returns the revision of the document that the core works on.
func (c *Core) Revision() platform.Revision { return c.revision }

// SetTargets takes over the newest list of the targets of all services. Leaving
// targets, and those that are not in it, lose their ranges.
func (c *Core) SetTargets(now time.Time, targets map[place.Target]place.TargetRow) {
	old := c.targetRows
	c.targetRows = make(map[place.Target]place.TargetRow, len(targets))
	newest := make(map[netip.AddrPort]place.TargetRow, len(targets))
	for name, t := range targets {
		if newest[t.Addr].Incarnation < t.Incarnation {
			newest[t.Addr] = t
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
		// Another target at the address is proof that this one has ended. A
		// later life of its own is none: it may have taken a renewal already.
		if t := newest[r.Addr]; t.Target != r.Target && t.Incarnation > r.Incarnation {
			c.markFree(now, r, "Another target has the address.")
		}
	}
}

// SetLoad tells the work of the key space, what each target can do, and which
// targets are out of reach of those that send requests.
func (c *Core) SetLoad(load *partition.Load, measured map[place.Target]partition.Target, suspect map[place.Target]bool) {
	c.load, c.measured, c.suspect = load, measured, suspect
}

// SetWarmup tells how long keys stay slow at an owner that took them without a
// handover.
func (c *Core) SetWarmup(d time.Duration) { c.warmup = d }

// failureCooldown is how long a target that failed to answer orders gets no
// ranges; one that has none is sent no orders by which it could show itself.
const failureCooldown = 2 * time.Second

// usable reports whether a target may be given ranges.
func (c *Core) usable(now time.Time, name place.Target) bool {
	t, ok := c.targetRows[name]
	if !ok || t.State != place.Live || c.suspect[name] {
		return false
	}
	l := c.targetConns[name]
	return l == nil || l.failingSince.IsZero() || now.Sub(l.failedAt) > failureCooldown
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

// ownerLive reports whether a target may keep its ranges.
func (c *Core) ownerLive(r *row) bool {
	t, ok := c.targetRows[r.Target]
	return ok && t.State == place.Live
}

func (c *Core) targetConn(name place.Target) *targetConn {
	l := c.targetConns[name]
	if l == nil {
		c.lastConn++
		l = &targetConn{conn: c.lastConn}
		c.targetConns[name] = l
	}
	return l
}

// Tick lets what is due happen and returns all effects since the last call.
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
