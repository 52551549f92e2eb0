package cell

import (
	"cmp"
	"fmt"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
)

// evictionEpochStep is added to the epochs of an evicted cell: more than the
// standbys that it could have activated without the store having heard of it.
const evictionEpochStep grant.Epoch = 1 << 10

// Evict returns the document of a cell whose zone is lost, by evidence, with
// all of its shards given up. The shards are those that the custody document
// at that revision is about to hand to other zones.
//
// The term rises, so a lead of the cell that was cut off finds itself deposed
// when it reads the store again, and the custody revision rises, so that no
// later lead takes the shards back by an older custody document.
func Evict(d Doc, custody platform.Revision, shards []CustodyRow, e grant.Evidence) Doc {
	out := d.clone()
	out.Term++
	out.Leader = ""
	// A lead whose own write is under way must not take this one for it.
	out.WriteID = fmt.Sprintf("evict/%s/%d", d.ID.Zone, custody)
	out.Custody = custody
	for _, s := range shards {
		floor := max(s.Floor, d.highestEpoch(s.Shard)) + evictionEpochStep
		out.cede(CededShard{Shard: s.Shard, Floor: floor, Evidence: e})
	}
	return out
}

// highestEpoch returns the highest epoch that the document knows of a shard and of
// the solo keys cut out of it.
func (d *Doc) highestEpoch(shard key.Shard) grant.Epoch {
	var epoch grant.Epoch
	if i := d.rowIndex(shard); i >= 0 {
		epoch = d.Rows[i].Epoch
	}
	for _, s := range d.SingleKeys {
		if i := d.rowIndex(s.Shard); s.Parent == shard && i >= 0 {
			epoch = max(epoch, d.Rows[i].Epoch, s.SplitEpoch)
		}
	}
	for _, g := range d.Ceded {
		if g.Shard == shard {
			epoch = max(epoch, g.Floor)
		}
	}
	return epoch
}

// cede removes a shard with its solo keys and lists it as given up.
func (d *Doc) cede(given CededShard) {
	gone := map[key.Shard]bool{given.Shard: true}
	d.SingleKeys = slices.DeleteFunc(d.SingleKeys, func(s SingleKey) bool {
		if s.Parent == given.Shard {
			gone[s.Shard] = true
		}
		return s.Parent == given.Shard
	})
	d.Rows = slices.DeleteFunc(d.Rows, func(r Row) bool { return gone[r.Shard] })
	d.Ceded = slices.DeleteFunc(d.Ceded, func(g CededShard) bool { return g.Shard == given.Shard })
	d.Ceded = append(d.Ceded, given)
	slices.SortFunc(d.Ceded, func(a, b CededShard) int { return cmp.Compare(a.Shard, b.Shard) })
}
