// Package table holds the routing table of a cell, by which entry processes
// find the owner of a shard.
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

// NoOwner marks a shard that no target owns now.
const NoOwner TargetIndex = 0xffff

// Version orders the tables of one cell; a table replaces one of a lower
// version.
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

// Table is the routing table of one cell: the shards of one service in the
// custody of one zone.
type Table struct {
	Service key.Service
	Zone    place.Zone
	Version Version
	// Leader is the cell's leader; entry processes send it their load reports.
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
	// WarmupStart is when the target's warm-up began.
	WarmupStart time.Time
}

// Row is one shard in the custody of the cell. The rows of a table are sorted
// by shard.
type Row struct {
	Shard key.Shard
	Epoch grant.Epoch
	Owner TargetIndex
}

// SingleKey is a hot key with a shard of its own.
type SingleKey struct {
	Hash  key.Hash
	Shard key.Shard
}
