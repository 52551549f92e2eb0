// Package table holds the routing table of one cell as the entries use it.
package table

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// TargetIndex is an index into Table.Targets.
type TargetIndex uint16

// NoOwner stands for a shard that no target owns now.
const NoOwner TargetIndex = 0xffff

// Version orders the tables of one cell; a higher one replaces a lower one.
type Version struct {
	Term     grant.Term
	Sequence uint64
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Term != w.Term {
		return v.Term < w.Term
	}
	return v.Sequence < w.Sequence
}

// Table is the routing table of one cell.
type Table struct {
	Service key.Service
	Zone    place.Zone
	Version Version
	// Leader is where load reports of this cell go.
	Leader     place.Host
	LeaderAddr netip.AddrPort
	Shards     key.ShardCount
	Targets    []Target
	Rows       []Row
	SingleKeys []SingleKey
}

// Target is one target of the cell.
type Target struct {
	Name    place.Target
	Addr    netip.AddrPort
	Leaving bool
	// WarmupStart is the start of the target's warm-up ramp.
	WarmupStart time.Time
}

// Row is one shard in the custody of the cell, sorted by Shard.
type Row struct {
	Shard key.Shard
	Epoch grant.Epoch
	Owner TargetIndex
}

// SingleKey is one hot key with a shard of its own.
type SingleKey struct {
	Hash  key.Hash
	Shard key.Shard
}
