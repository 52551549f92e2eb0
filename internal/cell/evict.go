package cell

import (
	"cmp"
	"fmt"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
)

// evictionEpochStep is added to the epochs of an evicted cell, to exceed those of the
// standbys that it may have activated during a store outage.
const evictionEpochStep grant.Epoch = 1 << 10

// Evict returns the document of a cell whose zone is lost, with all of its shards ceded
// by evidence e. shards are those that the custody document at revision custody is about
// to transfer to other zones.
//
// The term rises, so that an isolated leader of the cell steps down when it reads the
// store again. The custody revision rises, so that no later leader adds the shards again
// by an older custody document.
func Evict(d Doc, custody platform.Revision, shards []CustodyRow, e grant.Evidence) Doc {
	out := d.clone()
	out.Term++
	out.Leader = ""
	// A leader with a pending write must not mistake this one for its own.
	out.WriteID = fmt.Sprintf("evict/%s/%d", d.ID.Zone, custody)
	out.Custody = custody
	for _, s := range shards {
		floor := max(s.Floor, d.highestEpoch(s.Shard)) + evictionEpochStep
		out.cede(CededShard{Shard: s.Shard, Floor: floor, Evidence: e})
	}
	return out
}

// highestEpoch returns the highest epoch in the document of a shard and the single keys
// that were split off it.
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
	for _, c := range d.Ceded {
		if c.Shard == shard {
			epoch = max(epoch, c.Floor)
		}
	}
	return epoch
}

// cede removes a shard with its single keys and lists it as ceded.
func (d *Doc) cede(ceded CededShard) {
	removed := map[key.Shard]bool{ceded.Shard: true}
	d.SingleKeys = slices.DeleteFunc(d.SingleKeys, func(s SingleKey) bool {
		if s.Parent == ceded.Shard {
			removed[s.Shard] = true
		}
		return s.Parent == ceded.Shard
	})
	d.Rows = slices.DeleteFunc(d.Rows, func(r Row) bool { return removed[r.Shard] })
	d.Ceded = slices.DeleteFunc(d.Ceded, func(c CededShard) bool { return c.Shard == ceded.Shard })
	d.Ceded = append(d.Ceded, ceded)
	slices.SortFunc(d.Ceded, func(a, b CededShard) int { return cmp.Compare(a.Shard, b.Shard) })
}
