// Package cell decides ownership within one cell: the shards of one service
// that are in the custody of one availability zone.
//
// It is a deterministic state machine. It takes events and the current time,
// and returns effects; it does no I/O and reads no clock. The lead process and
// the randomized simulation run the same code.
package cell

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// ID names a cell.
type ID struct {
	Service key.Service
	Zone    place.Zone
}

// TargetIndex is an index into Doc.Targets. It is stable while the target is a
// member; the entry of a removed target is reused.
type TargetIndex uint16

// NoTarget stands for a shard without an owner or standby.
const NoTarget TargetIndex = 0xffff

// Doc is the cell's document in the store.
type Doc struct {
	ID                ID
	Term              grant.Term
	Leader            place.Host
	LeaderAddr        netip.AddrPort
	LeaderIncarnation place.Incarnation
	// WriteID is the ID of the write that made this revision. After a lost
	// response, the writer reads the document and compares WriteID to learn
	// whether its write was committed.
	WriteID    string
	Roster     []place.Host
	Removed    []RemovedHost
	Targets    []TargetDoc
	Rows       []Row
	SingleKeys []SingleKey
	// NextSingleKey plus the parent shard is the number of the next single-key
	// shard. No number is reused in the cell or used by two cells.
	NextSingleKey key.Shard
	// Ceded lists the shards that were taken out of the cell's custody and that
	// no target of this cell holds any more.
	Ceded []CededShard
	// Custody is the revision of the custody document that Rows reflects.
	Custody platform.Revision
	// Moves holds the last maxMoveHistory moves, oldest first.
	Moves []Move
}

// RemovedHost is a host that was removed from the roster at a term. It is a
// possible renewer of a target's grants until that target has accepted a
// term >= Term.
type RemovedHost struct {
	Host place.Host
	Term grant.Term
}

// TargetDoc is the document's entry of one member target.
type TargetDoc struct {
	Target  place.Target
	Addr    netip.AddrPort
	Leaving bool
	// Since is when the target became a member and its warm-up began.
	Since time.Time
	// Incarnation is the incarnation that the target had when a row was last
	// assigned to it.
	Incarnation place.Incarnation
}

// Row is the ownership of one shard. Doc.Rows is sorted by Shard.
type Row struct {
	Shard   key.Shard
	Epoch   grant.Epoch
	Owner   TargetIndex
	Standby TargetIndex
}

// SingleKey is a hot key that was split off its hash-range shard into a
// single-key shard.
type SingleKey struct {
	Hash  key.Hash
	Shard key.Shard
	// Parent is the hash-range shard, SplitEpoch its first epoch without the key.
	Parent     key.Shard
	SplitEpoch grant.Epoch
}

// CededShard is a shard that this cell gave up. Another cell may grant it at
// epoch Floor or above.
type CededShard struct {
	Shard    key.Shard
	Floor    grant.Epoch
	Evidence grant.Evidence
}

// Move records a change of owner and the evidence that the old grant had ended.
type Move struct {
	At       time.Time
	Shard    key.Shard
	Epoch    grant.Epoch
	From, To place.Target
	Evidence grant.Evidence
}

// Timing holds the durations of the ownership protocol.
type Timing struct {
	RenewInterval      time.Duration // between two orders to a target or heartbeats to a peer
	GrantDuration      time.Duration // by the target's clock
	LeaseTTL           time.Duration // of the leader's lease in the store
	LeaseRenewInterval time.Duration // between two renewals of that lease
	PromiseDuration    time.Duration // of a roster host's promise
	DriftPerMil        int           // largest clock drift, in thousandths
}

// DefaultTiming meets the objective that a key is served again within 4 s of the
// loss of its target.
func DefaultTiming() Timing {
	return Timing{
		RenewInterval:      400 * time.Millisecond,
		GrantDuration:      2500 * time.Millisecond,
		LeaseTTL:           1200 * time.Millisecond,
		LeaseRenewInterval: 400 * time.Millisecond,
		PromiseDuration:    time.Second,
		DriftPerMil:        10,
	}
}

// Config holds the settings of a cell and the identity of this host.
type Config struct {
	ID          ID
	Self        place.Host
	SelfAddr    netip.AddrPort
	Incarnation place.Incarnation
	Timing      Timing
	Shards      key.ShardCount
	// ChecksTerms is true if the targets reject orders of a term lower than the
	// highest that they have accepted.
	ChecksTerms bool
	// RenewLimit is the longest time since the lease was last renewed in which
	// grants are renewed. Zero means no limit.
	RenewLimit time.Duration
	// MovesPerMinute limits planned moves.
	MovesPerMinute int
	// ImbalancePercent is by how much the load of the busiest target may exceed the
	// mean before placement moves shards, in percent of the mean.
	ImbalancePercent int
	// WarmUp is the duration of a new target's warm-up, used by placement.
	WarmUp time.Duration
}
