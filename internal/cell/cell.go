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

// role is the role of this host in the cell.
type role uint8

const (
	follower  role = iota
	candidate      // acquires the lease, then writes the next term
	leader
	deputy // renews the grants while store and leader are unresponsive
	stopped
)

// String returns the name of the role in logs and in the status.
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

// Cell is the state of one host in one cell. It is not safe for concurrent use.
type Cell struct {
	cfg     Config
	now     time.Time
	effects []Effect

	// startedAt is the time of the first Handle or Tick. For the duration of a promise
	// from then on, the host makes no promise and, if there is a document, does not
	// campaign, as its previous incarnation may have made a promise.
	startedAt time.Time
	role      role

	doc       Doc
	revision  platform.Revision
	hasDoc    bool
	docAbsent bool // the store responded that there is no document
	// readStore is true if this incarnation has read the document from the store.
	readStore   bool
	readAskedAt time.Time
	seenTerm    grant.Term // highest term that a HigherTerm message or a target reported

	term        grant.Term // term at which this host leads
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

	// listsChanged is true if a list or the document changed since applyLists.
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
	splitMoves    []PlannedMove // of keys that were split off, started once the split is confirmed
	stopping      bool

	tableSequence uint64
	tableChanged  bool
	mutations     mutations
}

// lease is this host's view of the cell's lease in the store.
type lease struct {
	until time.Time // counted from just before the call was sent
	// start is when the current uninterrupted lease began. A leader whose lease
	// expired and was acquired again may have had a successor meanwhile, so the
	// lease is verified only when a write proposed after start is committed.
	start    time.Time
	verified bool
	askedAt  time.Time
	pending  bool
	// contactAt is when the last call to which the store responded was sent.
	contactAt time.Time
	// renewedAt is when the last call that acquired or renewed the lease was sent.
	renewedAt time.Time
	// heldByOther is true if by the last response another host held the lease.
	heldByOther bool
}

// mutations disable one rule each. Tests set them to show that the simulation
// detects the violation that the rule prevents.
type mutations struct {
	alwaysGrant, skipInventory, ignoreRenewers, renewWithoutRight                                             bool
	expireFromAnchor, sharedPromises, skipStartupSilence, skipStoreRead                                       bool
	ignoreRemoved, skipParentCheck                                                                            bool
	assumeWriteFailed, leaseFromResponse, skipLeaseCheck, ignoreLostPromises, limitFromContact, leadPastLimit bool
}

// New returns a cell. It makes no decision before the first Handle or Tick.
func New(cfg Config) *Cell {
	return &Cell{cfg: cfg}
}

// Handle processes an event and returns the effects to carry out.
func (c *Cell) Handle(now time.Time, ev Event) []Effect {
	c.setNow(now)
	if c.role != stopped {
		c.dispatch(ev)
		c.advance()
	}
	return c.takeEffects()
}

// Tick processes the timers. It has to be called every 50 ms, and right after a
// pause of the process.
func (c *Cell) Tick(now time.Time) []Effect {
	c.setNow(now)
	if c.role != stopped {
		c.advance()
	}
	return c.takeEffects()
}

// setNow sets the current time, which never goes back.
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

// dispatch passes an event to its handler. The method advance then makes the decisions
// that are due.
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

// advance runs the decision steps once, in the order of their dependencies.
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

// handleConfig adopts cfg, except for the identity of the cell and of this
// incarnation and for the number of shards.
func (c *Cell) handleConfig(cfg Config) {
	cfg.ID, cfg.Self, cfg.SelfAddr, cfg.Incarnation = c.cfg.ID, c.cfg.Self, c.cfg.SelfAddr, c.cfg.Incarnation
	cfg.Shards = c.cfg.Shards
	c.cfg = cfg
}

// addDrift returns how long to wait by this host's clock, which may run fast, for
// d to have passed by a clock that may run slow.
func (c *Cell) addDrift(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d*(perMil+m)/(perMil-m) + time.Nanosecond
}

// subtractDrift returns how much time may pass by this host's clock, which may run
// slow, for d not to have passed by a clock that may run fast.
func (c *Cell) subtractDrift(d time.Duration) time.Duration {
	m := time.Duration(c.cfg.Timing.DriftPerMil)
	return d * (perMil - m) / (perMil + m)
}

// perMil is one in the unit of Timing.DriftPerMil.
const perMil = 1000

// Limits of releases, and of lists that are received or grow over time.
const (
	maxPlan        = 256
	maxMoveHistory = 64
	maxRoster      = 4
	maxRemoved     = 16
	maxReleases    = 64 // at one time
)

// Intervals and timeouts that are not part of Timing.
const (
	readInterval         = 400 * time.Millisecond
	writeRetryDelay      = 400 * time.Millisecond
	reconcileInterval    = 100 * time.Millisecond
	callTimeout          = 15 * time.Second       // after it, the response counts as lost
	rankDelay            = 150 * time.Millisecond // of a campaign, per rank on the roster
	fastCampaignInterval = 100 * time.Millisecond // between lease calls, while the old leader's lease is about to expire
	fastCampaignPeriod   = 2 * time.Second        // after it, the interval is Timing.LeaseRenewInterval
	maxSilence           = 3 * time.Second        // of a roster host or standby before it is replaced
	unlistedRetention    = 10 * time.Second       // of an unresponsive target that is not listed
)

// knownTerm returns the highest term that this host knows.
func (c *Cell) knownTerm() grant.Term {
	return max(c.doc.Term, c.seenTerm)
}

func (c *Cell) leading() bool { return c.role == leader }

// leaseValid reports whether this host leads with a lease that certainly has not
// expired, and whose last interruption, if any, was before the document was verified to
// be the newest.
func (c *Cell) leaseValid() bool {
	return c.leading() && c.now.Before(c.lease.until) && (c.lease.verified || c.mutations.skipLeaseCheck)
}

// currentRow returns the row with the activation of its standby applied, if any.
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

// clone returns a copy whose lists can be changed without changing d.
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
