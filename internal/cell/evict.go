package cell

import (
	"cmp"
	"fmt"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/platform"
)

// lostEpochStep is added to the epochs of an evicted cell: more than the
// standbys that it could have activated without the store having heard of it.
const lostEpochStep grant.Epoch = 1 << 10

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
	out.Lead = ""
	// A lead whose own write is under way must not take this one for it.
	out.WriteID = fmt.Sprintf("evict/%s/%d", d.ID.Zone, custody)
	out.Custody = custody
	for _, s := range shards {
		floor := max(s.Floor, d.highest(s.Shard)) + lostEpochStep
		out.give(Given{Shard: s.Shard, Floor: floor, Evidence: e})
	}
	return out
}

// highest returns the highest epoch that the document knows of a shard and of
// the solo keys cut out of it.
func (d *Doc) highest(shard key.Shard) grant.Epoch {
	var epoch grant.Epoch
	if i := d.rowOf(shard); i >= 0 {
		epoch = d.Rows[i].Epoch
	}
	for _, s := range d.Solos {
		if i := d.rowOf(s.Shard); s.Parent == shard && i >= 0 {
			epoch = max(epoch, d.Rows[i].Epoch, s.Cut)
		}
	}
	for _, g := range d.Given {
		if g.Shard == shard {
			epoch = max(epoch, g.Floor)
		}
	}
	return epoch
}

// give removes a shard with its solo keys and lists it as given up.
func (d *Doc) give(given Given) {
	gone := map[key.Shard]bool{given.Shard: true}
	d.Solos = slices.DeleteFunc(d.Solos, func(s Solo) bool {
		if s.Parent == given.Shard {
			gone[s.Shard] = true
		}
		return s.Parent == given.Shard
	})
	d.Rows = slices.DeleteFunc(d.Rows, func(r Row) bool { return gone[r.Shard] })
	d.Given = slices.DeleteFunc(d.Given, func(g Given) bool { return g.Shard == given.Shard })
	d.Given = append(d.Given, given)
	slices.SortFunc(d.Given, func(a, b Given) int { return cmp.Compare(a.Shard, b.Shard) })
}
