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
	Service key.Service
	Host    place.Host
	Life    place.Incarnation
	// Hold is the length of a grant, Renew the time between two grants to one
	// target.
	Hold  time.Duration
	Renew time.Duration
	// Order bounds an order and its answer; after it the connection is reset.
	Order time.Duration
	// Right is how long after the end of its lease a lead still renews what
	// stands. Whoever follows waits that long before it counts a grant of its
	// predecessor's as ended.
	Right time.Duration
	// Lease is the length of the lead's own lease.
	Lease time.Duration
	Plan  partition.Config
	// PlanEvery is the time between two plans. With many targets those that even
	// out all of them are up to LevelMost apart, and the others are for targets far
	// above what they can do: moves that begin together share writes and tables.
	PlanEvery time.Duration
	LevelMost time.Duration
	// First is how long a new owner may take to answer its first grant.
	First time.Duration
	// Publish is the longest time between two tables: an old one tells hosts
	// that they have lost touch with the lead.
	Publish time.Duration
	// Pace is the least time between two tables: each goes to every host.
	Pace time.Duration
	// Warn is how long before a planned release a table tells hosts to send
	// nothing more: what comes later is refused by the owner.
	Warn time.Duration
	// Fresh is how recent the last renewal of the lease must be for moves to
	// begin: a range that is released while the store is away waits for it.
	Fresh time.Duration
	// Confirm is how long a range that shall move stays with its owner until the lease
	// has been renewed by a call that was sent after that was decided: a range that is
	// released and whose new owner can't be written has none until the store is back.
	Confirm time.Duration
	// Reclaim is how long a released range waits for its new owner to be
	// written before it goes back to the old one.
	Reclaim time.Duration
	// Gather is how long a free range waits for others whose release is on its
	// way, so that one write records them all.
	Gather time.Duration
	// Settle is how long the list of targets must have stood still before a
	// service gets its first owners.
	Settle time.Duration
}

// slowClock is how much slower than ours a target's clock may run.
const slowClock = 0.02

// endSlack covers the way of an order that was sent just before its bound.
const endSlack = 50 * time.Millisecond

// longest returns how long after its arrival a grant may last.
func (c *Config) longest() time.Duration {
	return time.Duration(float64(c.Hold)*(1+slowClock)) + endSlack
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
	Fence target.Fence
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
	// PriorForgotten: the store has come back from an older copy, so that nothing is
	// known of who led, and moved what, since that was taken.
	PriorForgotten
)

// lane is what a lead knows of one target that it orders about.
type lane struct {
	conn uint64
	busy bool
	// sent is when all grants were last sent, asked when any were.
	sent  time.Time
	asked time.Time
	// doubtful tells that the last failure was an order that may have been
	// carried out.
	doubtful bool
	// failing is since when orders got no answer; zero if the last one did.
	failing time.Time
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
	leaseEnd time.Time
	fences   uint64
	sequence uint64
	// published is when the newest table was made.
	published time.Time
	rows      []*row
	lanes     map[place.Target]*lane
	fleet     map[place.Target]place.TargetRow
	// reclaimed is when a range last went back for want of a write.
	reclaimed time.Time
	// joined is when the newest target joined.
	joined  time.Time
	suspect map[place.Target]bool
	// warm is how long keys are slow after a change of owner without a handover.
	warm     time.Duration
	measured map[place.Target]partition.Target
	load     *partition.Load
	planned  time.Time
	// leveled is when all targets were last evened out.
	leveled time.Time
	pending *Doc
	// refused is when the store last took no write.
	refused time.Time
	// confirming is when a renewal of the lease was last asked for.
	confirming time.Time
	// stragglers is until when leads before this one may renew; it has passed
	// where they have ended.
	stragglers time.Time
	// cautious is until when leads that the store has forgotten may still order targets
	// about: ranges are only renewed, and none is taken to be free.
	cautious time.Time
	// marked tells that the document says so, and that a write should end that.
	marked   bool
	conns    uint64
	releases uint64
	// restored tells that the store has come back from an older copy since this term
	// began.
	restored bool
	stopping bool
	changed  bool
	out      []Effect
}

// New returns a core that leads nothing.
func New(cfg Config) *Core {
	return &Core{
		cfg:     cfg,
		lanes:   make(map[place.Target]*lane),
		fleet:   make(map[place.Target]place.TargetRow),
		suspect: make(map[place.Target]bool),
		load:    partition.Even(),
	}
}

// Leading reports whether this core leads, with or without a lease.
func (c *Core) Leading() bool { return c.leading }

// Term returns the term that this core leads, or led last.
func (c *Core) Term() Term { return c.term }

// Lead starts a term: doc, with the new term and this host as its lead, is what
// the store holds at the revision.
func (c *Core) Lead(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time, prior Prior) {
	if c.leading && prior == PriorForgotten {
		c.goOn(now, doc, revision, leaseEnd)
		return
	}
	if c.leading && doc.Term == c.term+1 && c.pending == nil && !c.restored {
		// Nobody led in between: all that is known still holds.
		c.term, c.revision, c.leaseEnd = doc.Term, revision, leaseEnd
		c.changed, c.marked = true, doc.Stragglers || doc.Doubt
		return
	}
	c.reset()
	c.leading, c.term, c.revision, c.leaseEnd = true, doc.Term, revision, leaseEnd
	c.marked = doc.Stragglers || doc.Doubt
	end := now.Add(c.cfg.Order + c.cfg.longest())
	if prior != PriorEnded {
		end = end.Add(c.cfg.Lease + c.cfg.Right)
		c.stragglers = now.Add(c.cfg.Lease + c.cfg.Right)
	}
	if prior == PriorForgotten {
		c.cautious = end
	}
	for _, r := range doc.Rows {
		// The lead before has probably renewed until a moment ago.
		next := &row{Row: r, state: held, since: now, end: end, served: true, sure: now.Add(c.cfg.Hold)}
		switch {
		case now.Before(c.cautious):
			// The document may name none of those that hold it.
			next.served, next.sure = false, now
		case r.Target == "":
			next.state, next.served, next.end = free, false, now
		}
		c.rows = append(c.rows, next)
	}
	c.changed = true
}

// PriorEnded tells that all leads before have ended, or have stopped and have
// no order on their way.
func (c *Core) PriorEnded(now time.Time) {
	if now.Before(c.cautious) {
		return // it need not have been the last one
	}
	c.stragglers = time.Time{}
	end := now.Add(c.cfg.longest())
	for _, r := range c.rows {
		if r.acked == 0 && r.lost == 0 && r.end.After(end) {
			r.end = end
		}
	}
}

// reset forgets all that one term knew.
func (c *Core) reset() {
	c.leading, c.pending, c.rows = false, nil, nil
	c.fences = 0
	c.lanes = make(map[place.Target]*lane)
	c.planned, c.leveled, c.stragglers = time.Time{}, time.Time{}, time.Time{}
	c.marked, c.restored, c.cautious = false, false, time.Time{}
}

// Depose ends leading: another host does.
func (c *Core) Depose() { c.reset() }

// Lease tells until when this host's lease runs.
func (c *Core) Lease(end time.Time) {
	if end.After(c.leaseEnd) {
		c.leaseEnd = end
	}
}

// Stop ends all sending until Resume; Idle tells when nothing is on its way any
// more.
func (c *Core) Stop() { c.stopping = true }

// Resume lets a core that was stopped go on.
func (c *Core) Resume() { c.stopping = false }

// Fresh reports whether the store has renewed the lease a moment ago.
func (c *Core) Fresh(now time.Time) bool {
	return now.Before(c.renewed().Add(c.cfg.Fresh))
}

// renewed returns when the last renewal that the store answered was sent.
func (c *Core) renewed() time.Time { return c.leaseEnd.Add(-c.cfg.Lease) }

// Idle reports whether no order and no write is on its way.
func (c *Core) Idle() bool {
	if c.pending != nil {
		return false
	}
	for _, l := range c.lanes {
		if l.busy {
			return false
		}
	}
	return true
}

// Doc returns the document as it would be written now.
func (c *Core) Doc(now time.Time) Doc {
	d := Doc{
		Service: c.cfg.Service, Term: c.term, Lead: c.cfg.Host, Life: c.cfg.Life,
		Stragglers: now.Before(c.stragglers), Doubt: now.Before(c.cautious), Write: rand.Uint64(),
	}
	for _, r := range c.rows {
		d.Rows = append(d.Rows, r.Row)
	}
	return d
}

// Held returns the ranges in order, neighbours of one owner as one.
func (c *Core) Held() []key.Range {
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

// Fleet takes over the newest list of the targets of all services. Leaving
// targets, and those that are not in it, lose their ranges.
func (c *Core) Fleet(now time.Time, targets map[place.Target]place.TargetRow) {
	old := c.fleet
	c.fleet = make(map[place.Target]place.TargetRow, len(targets))
	newest := make(map[netip.AddrPort]place.TargetRow, len(targets))
	for name, t := range targets {
		if newest[t.Addr].Born < t.Born {
			newest[t.Addr] = t
		}
		if t.Service != string(c.cfg.Service) {
			continue
		}
		c.fleet[name] = t
		if _, ok := old[name]; !ok {
			c.joined = now
		}
	}
	if !c.leading {
		return
	}
	for _, r := range c.rows {
		if r.Target == "" || r.state == free || r.state == writing || r.Born == 0 {
			continue
		}
		// Another target at the address is proof that this one has ended. A
		// later life of its own is none: it may have taken a renewal already.
		if t := newest[r.Addr]; t.Target != r.Target && t.Born > r.Born {
			c.free(now, r, "Another target has the address.")
		}
	}
}

// Load tells the work of the key space, what each target can do, and which
// targets are out of reach of those that send requests.
func (c *Core) Load(load *partition.Load, measured map[place.Target]partition.Target, suspect map[place.Target]bool) {
	c.load, c.measured, c.suspect = load, measured, suspect
}

// Warm tells how long keys stay slow at an owner that took them without a
// handover.
func (c *Core) Warm(d time.Duration) { c.warm = d }

// forgiveAfter is how long a target that failed to answer orders gets no
// ranges; one that has none is sent no orders by which it could show itself.
const forgiveAfter = 2 * time.Second

// usable reports whether a target may be given ranges.
func (c *Core) usable(now time.Time, name place.Target) bool {
	t, ok := c.fleet[name]
	if !ok || t.State != place.Live || c.suspect[name] {
		return false
	}
	l := c.lanes[name]
	return l == nil || l.failing.IsZero() || now.Sub(l.failedAt) > forgiveAfter
}

// alternative reports whether any other target may be given ranges.
func (c *Core) alternative(now time.Time, name place.Target) bool {
	for other := range c.fleet {
		if other != name && c.usable(now, other) {
			return true
		}
	}
	return false
}

// staying reports whether a target may keep its ranges.
func (c *Core) staying(r *row) bool {
	t, ok := c.fleet[r.Target]
	return ok && t.State == place.Live
}

func (c *Core) lane(name place.Target) *lane {
	l := c.lanes[name]
	if l == nil {
		c.conns++
		l = &lane{conn: c.conns}
		c.lanes[name] = l
	}
	return l
}

// Tick lets what is due happen and returns all effects since the last call.
func (c *Core) Tick(now time.Time) []Effect {
	if c.leading && !c.stopping {
		c.judge(now)
		if now.Before(c.leaseEnd) && !c.restored && !now.Before(c.cautious) {
			if c.Fresh(now) {
				c.coalesce()
				c.plan(now)
			}
			c.write(now)
		}
		c.confirm(now)
		if now.Before(c.leaseEnd.Add(c.cfg.Right)) {
			c.order(now)
		}
		c.publish(now)
	}
	out := c.out
	c.out = nil
	return out
}

func (c *Core) emit(e Effect) { c.out = append(c.out, e) }
