// Package table holds the routing table of one cell as the entries use it.
package table

import (
	"net/netip"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Index is an index into Table.Targets.
type Index uint16

// None stands for a shard that no target owns now.
const None Index = 0xffff

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
	// Lead is where load reports of this cell go.
	Lead     place.Host
	LeadAddr netip.AddrPort
	Shards   key.ShardCount
	Targets  []Target
	Rows     []Row
	Solos    []Solo
}

// Target is one target of the cell.
type Target struct {
	Target  place.Target
	Addr    netip.AddrPort
	Leaving bool
	// Since is the start of the target's warm-up ramp.
	Since time.Time
}

// Row is one shard in the custody of the cell, sorted by Shard.
type Row struct {
	Shard key.Shard
	Epoch grant.Epoch
	Owner Index
}

// Solo is one hot key with a shard of its own.
type Solo struct {
	Hash  key.Hash
	Shard key.Shard
}
