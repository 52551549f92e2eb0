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
	cfg     Config
	now     time.Time
	effects []Effect

	// startedAt is the first present time seen: a restarted host stays silent for
	// the length of a promise, since it may have made one in its last life.
	startedAt time.Time
	role      role

	doc       Doc
	revision  platform.Revision
	hasDoc    bool
	docAbsent bool // the store answered that there is no document
	// readStore tells that this incarnation has read the document from the store.
	readStore   bool
	readAskedAt time.Time
	seenTerm    grant.Term // highest term that another host named

	term        grant.Term // the term this host leads at
	leaderSince time.Time
	lease       lease
	write       write
	writes      uint64
	campaign    campaign
	promise     promise
	peers       []peerState
	targets     []targetState
	rows        []rowState

	heartbeatDue time.Time
	reconcileDue time.Time

	// listsChanged tells that a list or the document changed since judgeLists.
	listsChanged  bool
	fleet         FleetReceived
	hasFleet      bool
	custody       CustodyReceived
	hasCustody    bool
	losses        []LossDeclaration
	hostLostSince map[place.Host]time.Time
	drains        []place.Target
	plan          []PlannedMove
	moveStarts    []time.Time
	splitMoves    []PlannedMove // moves that follow a cut of a solo key
	stopping      bool

	tableSequence uint64
	tableChanged  bool
	mutations     mutations
}

// lease is this host's view of the cell's lease in the platform's service.
type lease struct {
	until time.Time // counted from before the call was sent
	// start is when the unbroken lease began. A lead that lost its lease and
	// got it back may have been succeeded meanwhile: the lease counts again
	// once a write that was proposed since start has been won.
	start    time.Time
	verified bool
	askedAt  time.Time
	pending  bool
	// contactAt is when the newest call that reached the store was sent.
	contactAt time.Time
	// renewedAt is when the newest call that took or renewed the lease was sent.
	renewedAt time.Time
	// heldByOther tells that another host held the lease by the newest answer.
	heldByOther bool
}

// mutations switch off one rule each, for the runs that prove the rules needed.
type mutations struct {
	alwaysGrant, skipInventory, ignoreRenewers, renewUnbacked                                                 bool
	expireFromAnchor, sharedPromises, skipStartupSilence, skipStoreRead                                       bool
	ignoreRemoved, skipParentCheck                                                                            bool
	assumeWriteFailed, leaseFromResponse, skipLeaseCheck, ignoreLostPromises, limitFromContact, leadPastLimit bool
}

// New returns the cell's core for one host. It does nothing before the first
// Handle or Tick.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg}
}

// Handle takes one event and returns what has to be done now.
func (c *Cell) Handle(now time.Time, ev Event) []Effect {
	c.setNow(now)
	if c.role != stopped {
		c.dispatch(ev)
		c.advance()
	}
	return c.takeEffects()
}

// Tick judges all timers. The shell calls it every 50 ms, and at once after a
// pause of the process.
func (c *Cell) Tick(now time.Time) []Effect {
	c.setNow(now)
	if c.role != stopped {
		c.advance()
	}
	return c.takeEffects()
}

// setNow sets the present time, which never goes back.
func (c *Cell) setNow(now time.Time) {
	if c.startedAt.IsZero() {
		c.startedAt = now
		c.now = now
	}
	if now.After(c.now) {
		c.now = now
	}
}

func (c *Cell) takeEffects() []Effect {
	out := c.effects
	c.effects = nil
	return out
}

func (c *Cell) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Cell) logf(format string, args ...any) {
	c.emit(Log{Text: fmt.Sprintf(format, args...)})
}

// dispatch records what the event says. Decisions follow in advance.
func (c *Cell) dispatch(ev Event) {
	switch ev := ev.(type) {
	case DocReceived:
		c.handleDoc(ev)
	case WriteDone:
		c.handleWrite(ev)
	case LeaseDone:
		c.handleLease(ev)
	case OrderDone:
		c.handleResponse(ev)
	case PeerReceived:
		c.handleMessage(ev)
	case FleetReceived:
		c.fleet, c.hasFleet, c.listsChanged = ev, true, true
	case CustodyReceived:
		c.handleCustody(ev)
	case PlanReceived:
		c.handlePlan(ev)
	case LossesDeclared:
		c.handleLosses(ev.Losses)
	case DrainsReceived:
		c.drains, c.listsChanged = ev.Targets, true
	case ConfigChanged:
		c.handleConfig(ev.Config)
	case StopRequested:
		c.stopping = true
	}
}

// advance runs each system once, in the order of their dependence.
func (c *Cell) advance() {
	c.checkRole()
	c.retryWrite()
	c.applyLists()
	if c.stopping {
		c.stop()
	}
	switch c.role {
	case follower:
		c.follow()
	case candidate:
		c.runCampaign()
	case leader:
		c.leadCell()
	case deputy:
		c.actAsDeputy()
	}
	c.publish()
}

func (c *Cell) handleCustody(ev CustodyReceived) {
	if c.hasCustody && ev.Revision < c.custody.Revision {
		return
	}
	ev.Shards = slices.Clone(ev.Shards)
	slices.SortFunc(ev.Shards, func(a, b CustodyRow) int { return int(a.Shard) - int(b.Shard) })
	c.custody, c.hasCustody, c.listsChanged = ev, true, true
}

func (c *Cell) handlePlan(ev PlanReceived) {
	c.plan = slices.Clone(ev.Moves[:min(len(ev.Moves), maxPlan)])
}

// handleConfig keeps what names this cell and this life.
func (c *Cell) handleConfig(cfg Config) {
	cfg.ID, cfg.Self, cfg.SelfAddr, cfg.Incarnation = c.cfg.ID, c.cfg.Self, c.cfg.SelfAddr, c.cfg.Incarnation
	cfg.Shards = c.cfg.Shards
	c.cfg = cfg
}

// addDrift returns d as it must be waited by a clock that may run fast, for
// something that ends after d by a clock that may run slow.
func (c *Cell) addDrift(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d*(perMil+m)/(perMil-m) + time.Nanosecond
}

// subtractDrift is the reverse of longer.
func (c *Cell) subtractDrift(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d * (perMil - m) / (perMil + m)
}

// perMil is the unit of Timing.DriftPerMil.
const perMil = 1000

// Bounds of lists that come from outside or grow with time.
const (
	maxPlan        = 256
	maxMoveHistory = 64
	maxRoster      = 4
	maxRemoved     = 16
	maxReleases    = 64
)

// Pacing of work that no timer of Timing names.
const (
	readInterval         = 400 * time.Millisecond
	writeRetryDelay      = 400 * time.Millisecond
	reconcileInterval    = 100 * time.Millisecond
	callTimeout          = 15 * time.Second // after it an unanswered call counts as lost
	rankDelay            = 150 * time.Millisecond
	fastCampaignInterval = 100 * time.Millisecond // between calls for a lease about to lapse
	fastCampaignPeriod   = 2 * time.Second        // after it, calls come as a lead's do
	maxSilence           = 3 * time.Second        // of a roster host before it is dropped
	unlistedRetention    = 10 * time.Second       // of an unlisted target before its row is reused
)

// knownTerm returns the highest term this host has heard of.
func (c *Cell) knownTerm() grant.Term {
	return max(c.doc.Term, c.seenTerm)
}

// leading reports whether this host leads the cell at the document's term.
func (c *Cell) leading() bool { return c.role == leader }

// leaseValid reports whether this host leads with a lease that runs for
// certain and was unbroken since the document is known to be the newest.
func (c *Cell) leaseValid() bool {
	return c.leading() && c.now.Before(c.lease.until) && (c.lease.verified || c.mutations.skipLeaseCheck)
}

// currentRow returns the row as it is in force, with a standby activated by this lead.
func (c *Cell) currentRow(i int) Row {
	r := c.doc.Rows[i]
	if a := c.rows[i].activation; a != nil {
		r.Owner, r.Epoch = a.To, a.Epoch
	}
	return r
}

// rowIndex returns the index of a shard's row, or -1.
func (d *Doc) rowIndex(shard key.Shard) int {
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
	out.SingleKeys = slices.Clone(d.SingleKeys)
	out.Ceded = slices.Clone(d.Ceded)
	out.Moves = slices.Clone(d.Moves)
	return out
}
