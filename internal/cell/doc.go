// Package cell decides ownership within one cell: the shards of one service
// that are in the custody of one availability zone.
//
// The package is a pure core. Events come in, the present time is an argument,
// effects come out; no function of it does I/O or reads a clock. The daemons
// and the randomised runs drive the same code.
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

// TargetIndex is an index into Doc.Targets. Indexes are stable while a target
// is a member; the rows of a target that left are reused.
type TargetIndex uint16

// NoTarget stands for a shard without an owner or standby.
const NoTarget TargetIndex = 0xffff

// Doc is the cell's document in the platform's service.
type Doc struct {
	ID                ID
	Term              grant.Term
	Leader            place.Host
	LeaderAddr        netip.AddrPort
	LeaderIncarnation place.Incarnation
	// WriteID is the id of the write that made this revision: a write whose
	// answer was lost is resolved by reading back and comparing it.
	WriteID    string
	Roster     []place.Host
	Removed    []RemovedHost
	Targets    []TargetDoc
	Rows       []Row
	SingleKeys []SingleKey
	// NextSingleKey plus its parent's shard is the shard of the next solo key; no
	// number is reused in the cell, and none is used by two cells.
	NextSingleKey key.Shard
	// Ceded lists the shards that custody took away and that nobody in this
	// cell holds any more.
	Ceded []CededShard
	// Custody is the revision of the custody document that Rows reflects.
	Custody platform.Revision
	// Moves holds the newest moves, oldest first, bounded.
	Moves []Move
}

// RemovedHost is a host that was dropped from the roster at a term. It counts
// as unaccounted for a target until that target has accepted a term >= Term.
type RemovedHost struct {
	Host place.Host
	Term grant.Term
}

// TargetDoc is one member target of the cell.
type TargetDoc struct {
	Target  place.Target
	Addr    netip.AddrPort
	Leaving bool
	// Since is when the target became a member: the start of its warm-up.
	Since time.Time
	// Incarnation is the life of the target that the rows were granted to.
	Incarnation place.Incarnation
}

// Row is the ownership of one shard. Rows are sorted by Shard.
type Row struct {
	Shard   key.Shard
	Epoch   grant.Epoch
	Owner   TargetIndex
	Standby TargetIndex
}

// SingleKey cuts one hot key out of its hash-range shard.
type SingleKey struct {
	Hash  key.Hash
	Shard key.Shard
	// Parent is the hash-range shard, Cut its first epoch without the key.
	Parent     key.Shard
	SplitEpoch grant.Epoch
}

// CededShard is one shard that this cell gave up. Another cell may grant it at
// Floor or above.
type CededShard struct {
	Shard    key.Shard
	Floor    grant.Epoch
	Evidence grant.Evidence
}

// Move records one change of owner and the evidence for it.
type Move struct {
	At       time.Time
	Shard    key.Shard
	Epoch    grant.Epoch
	From, To place.Target
	Evidence grant.Evidence
}

// Timing holds the durations of the ownership rules.
type Timing struct {
	RenewInterval      time.Duration // between two renewals of a target
	GrantDuration      time.Duration // length of a grant, by the target's clock
	LeaseTTL           time.Duration // the lead's lease in the platform's service
	LeaseRenewInterval time.Duration // between two renewals of that lease
	PromiseDuration    time.Duration // how long a roster host's promise runs
	DriftPerMil        int           // clock-rate margin, in thousandths
}

// DefaultTiming meets the promise that a key is served again 4 s after a loss.
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

// Config is what a cell needs of the settings and of its process.
type Config struct {
	ID          ID
	Self        place.Host
	SelfAddr    netip.AddrPort
	Incarnation place.Incarnation
	Timing      Timing
	Shards      key.ShardCount
	// ChecksTerms tells whether the targets refuse orders of a lower term.
	ChecksTerms bool
	// RenewLimit bounds how long the cell renews without contact to the store;
	// zero stands for no bound.
	RenewLimit time.Duration
	// MovesPerMinute bounds planned moves.
	MovesPerMinute int
	// ImbalancePercent is the busiest target's load over the mean that
	// placement accepts, in percent above 100.
	ImbalancePercent int
	// WarmUp is the length of a new target's ramp; placement heeds it.
	WarmUp time.Duration
}
