package cell

import (
	"fmt"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// role is what this host does for the cell now.
type role uint8

const (
	follower  role = iota
	candidate      // takes the lease, then writes the next term
	leader
	deputy // renews what stands while store and lead are silent
	stopped
)

// String returns the role's word in logs and output.
func (r role) String() string {
	switch r {
	case follower:
		return "follower"
	case candidate:
		return "candidate"
	case leader:
		return "lead"
	case deputy:
		return "deputy"
	case stopped:
		return "stopped"
	}
	return "invalid"
}

// Cell is one host's part in one cell. It is not safe for concurrent use.
type Cell struct {
	cfg Config
	now time.Time
	out []Effect

	// born is the first present time seen: a restarted host stays silent for
	// the length of a promise, since it may have made one in its last life.
	born time.Time
	role role

	doc      Doc
	revision platform.Revision
	hasDoc   bool
	absent   bool // the store answered that there is no document
	// readStore tells that this incarnation has read the document from the store.
	readStore bool
	readAsked time.Time
	refused   grant.Term // highest term that another host named

	term      grant.Term // the term this host leads at
	leadSince time.Time
	lease     lease
	write     write
	writes    uint64
	campaign  campaign
	promise   promise
	mates     []mate
	targets   []targetState
	rows      []rowState

	heartbeatDue time.Time
	maintainDue  time.Time

	// unjudged tells that a list or the document changed since judgeLists.
	unjudged    bool
	fleet       FleetSeen
	fleetSeen   bool
	custody     CustodySeen
	custodySeen bool
	lost        []Lost
	lostSince   map[place.Host]time.Time
	drains      []place.Target
	plan        []PlannedMove
	planStarts  []time.Time
	cuts        []PlannedMove // moves that follow a cut of a solo key
	stopping    bool

	published uint64
	dirty     bool
	knobs     knobs
}

// lease is this host's view of the cell's lease in the platform's service.
type lease struct {
	until time.Time // counted from before the call was sent
	// start is when the unbroken lease began. A lead that lost its lease and
	// got it back may have been succeeded meanwhile: the lease counts again
	// once a write that was proposed since start has been won.
	start    time.Time
	verified bool
	asked    time.Time
	pending  bool
	// contact is when the newest call that reached the store was sent.
	contact time.Time
	// held is when the newest call that took or renewed the lease was sent.
	held time.Time
	// taken tells that another host held the lease by the newest answer.
	taken bool
}

// knobs switch off one rule each, for the runs that prove the rules needed.
type knobs struct {
	extendGrants, noInventory, manyUnaccounted, lonely                              bool
	lapseFromAnchor, sharedPromises, noSilence, standbyUnread                       bool
	forgetRemoved, noParentCheck                                                    bool
	assumeLost, leaseFromAnswer, leaseUnverified, lostAtOnce, holdContact, holdOver bool
}

// New returns the cell's core for one host. It does nothing before the first
// Handle or Tick.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg}
}

// Handle takes one event and returns what has to be done now.
func (c *Cell) Handle(now time.Time, ev Event) []Effect {
	c.start(now)
	if c.role != stopped {
		c.take(ev)
		c.advance()
	}
	return c.drain()
}

// Tick judges all timers. The shell calls it every 50 ms, and at once after a
// pause of the process.
func (c *Cell) Tick(now time.Time) []Effect {
	c.start(now)
	if c.role != stopped {
		c.advance()
	}
	return c.drain()
}

// start sets the present time, which never goes back.
func (c *Cell) start(now time.Time) {
	if c.born.IsZero() {
		c.born = now
		c.now = now
	}
	if now.After(c.now) {
		c.now = now
	}
}

func (c *Cell) drain() []Effect {
	out := c.out
	c.out = nil
	return out
}

func (c *Cell) emit(e Effect) { c.out = append(c.out, e) }

func (c *Cell) logf(format string, args ...any) {
	c.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// take records what the event says. Decisions follow in advance.
func (c *Cell) take(ev Event) {
	switch ev := ev.(type) {
	case DocSeen:
		c.takeDoc(ev)
	case WriteDone:
		c.takeWrite(ev)
	case LeaseDone:
		c.takeLease(ev)
	case OrderDone:
		c.takeOrder(ev)
	case PeerReceived:
		c.takeMessage(ev)
	case FleetSeen:
		c.fleet, c.fleetSeen, c.unjudged = ev, true, true
	case CustodySeen:
		c.takeCustody(ev)
	case PlanSeen:
		c.takePlan(ev)
	case LostSeen:
		c.takeLost(ev.Lost)
	case DrainSeen:
		c.drains, c.unjudged = ev.Targets, true
	case ConfigSeen:
		c.takeConfig(ev.Config)
	case StopSeen:
		c.stopping = true
	}
}

// advance runs each system once, in the order of their dependence.
func (c *Cell) advance() {
	c.checkRole()
	c.resendWrite()
	c.judgeLists()
	if c.stopping {
		c.stop()
	}
	switch c.role {
	case follower:
		c.follow()
	case candidate:
		c.run()
	case leader:
		c.leadCell()
	case deputy:
		c.deputise()
	}
	c.publish()
}

func (c *Cell) takeCustody(ev CustodySeen) {
	if c.custodySeen && ev.Revision < c.custody.Revision {
		return
	}
	ev.Shards = slices.Clone(ev.Shards)
	slices.SortFunc(ev.Shards, func(a, b CustodyRow) int { return int(a.Shard) - int(b.Shard) })
	c.custody, c.custodySeen, c.unjudged = ev, true, true
}

func (c *Cell) takePlan(ev PlanSeen) {
	c.plan = slices.Clone(ev.Moves[:min(len(ev.Moves), maxPlan)])
}

// takeConfig keeps what names this cell and this life.
func (c *Cell) takeConfig(cfg Config) {
	cfg.ID, cfg.Self, cfg.SelfAddr, cfg.Incarnation = c.cfg.ID, c.cfg.Self, c.cfg.SelfAddr, c.cfg.Incarnation
	cfg.Shards = c.cfg.Shards
	c.cfg = cfg
}

// longer returns d as it must be waited by a clock that may run fast, for
// something that ends after d by a clock that may run slow.
func (c *Cell) longer(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d*(perMil+m)/(perMil-m) + time.Nanosecond
}

// shorter is the reverse of longer.
func (c *Cell) shorter(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d * (perMil - m) / (perMil + m)
}

// perMil is the unit of Timing.DriftPerMil.
const perMil = 1000

// Bounds of lists that come from outside or grow with time.
const (
	maxPlan      = 256
	maxMoves     = 64
	maxRoster    = 4
	maxRemoved   = 16
	releaseBatch = 64
)

// Pacing of work that no timer of Timing names.
const (
	readEvery     = 400 * time.Millisecond
	writeRetry    = 400 * time.Millisecond
	maintainEvery = 100 * time.Millisecond
	callTimeout   = 15 * time.Second // after it an unanswered call counts as lost
	rankDelay     = 150 * time.Millisecond
	campaignEvery = 100 * time.Millisecond // between calls for a lease about to lapse
	campaignEager = 2 * time.Second        // after it, calls come as a lead's do
	memberSilence = 3 * time.Second        // of a roster host before it is dropped
	memberForget  = 10 * time.Second       // of an unlisted target before its row is reused
)

// knownTerm returns the highest term this host has heard of.
func (c *Cell) knownTerm() grant.Term {
	return max(c.doc.Term, c.refused)
}

// leading reports whether this host leads the cell at the document's term.
func (c *Cell) leading() bool { return c.role == leader }

// leaseValid reports whether this host leads with a lease that runs for
// certain and was unbroken since the document is known to be the newest.
func (c *Cell) leaseValid() bool {
	return c.leading() && c.now.Before(c.lease.until) && (c.lease.verified || c.knobs.leaseUnverified)
}

// row returns the row as it is in force, with a standby activated by this lead.
func (c *Cell) row(i int) Row {
	r := c.doc.Rows[i]
	if a := c.rows[i].active; a != nil {
		r.Owner, r.Epoch = a.To, a.Epoch
	}
	return r
}

// rowOf returns the index of a shard's row, or -1.
func (d *Doc) rowOf(shard key.Shard) int {
	i, found := slices.BinarySearchFunc(d.Rows, shard, func(r Row, s key.Shard) int {
		return int(r.Shard) - int(s)
	})
	if !found {
		return -1
	}
	return i
}

// clone returns a copy that shares nothing that is written later.
func (d *Doc) clone() Doc {
	out := *d
	out.Roster = slices.Clone(d.Roster)
	out.Removed = slices.Clone(d.Removed)
	out.Targets = slices.Clone(d.Targets)
	out.Rows = slices.Clone(d.Rows)
	out.Solos = slices.Clone(d.Solos)
	out.Given = slices.Clone(d.Given)
	out.Moves = slices.Clone(d.Moves)
	return out
}
