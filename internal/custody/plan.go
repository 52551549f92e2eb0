package custody

import (
	"slices"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// slackPercent is how far a zone may be above its share before shards are
// transferred for balance. A zone without targets has no slack.
const slackPercent = 20

// lostEpochStep is added to the epochs of a lost zone: more than the standbys
// that the zone could have activated without the store having heard of it.
const lostEpochStep grant.Epoch = 1 << 10

// Plan starts transfers out of the zone from, where it has more than its share,
// to the zones that have less, at most budget shards of them. It reports
// whether the document changed. Each zone's lead plans for its own zone, so a
// zone that is cut off from the store gives nothing away.
func Plan(d Doc, from place.Zone, weights []Weight, budget int) (Doc, bool) {
	share := quotas(len(d.Rows), weights)
	if share == nil || budget <= 0 {
		return d, false
	}
	room, over := compare(d, share)
	if over[from] == 0 {
		return d, false
	}
	out := d.Clone()
	moved := 0
	for s := range out.Rows {
		row := &out.Rows[s]
		if moved == min(budget, over[from]) {
			break
		}
		if row.Next != "" || row.Zone != from {
			continue
		}
		to := takeBest(d.Service, key.Shard(s), room)
		if to == "" {
			break
		}
		row.Next = to
		moved++
	}
	return out, moved > 0
}

// compare returns the zones with room and how many shards the others are over.
func compare(d Doc, share []quota) ([]quota, map[place.Zone]int) {
	count := d.Count()
	over := make(map[place.Zone]int)
	var room []quota
	for _, q := range share {
		have := count[q.zone]
		delete(count, q.zone)
		switch {
		case have < q.left:
			room = append(room, quota{zone: q.zone, left: q.left - have})
		case have > q.left+q.left*slackPercent/100:
			over[q.zone] = have - q.left
		}
	}
	for zone, have := range count {
		over[zone] = have // a zone without any target
	}
	return room, over
}

// Settle ends the transfers of the shards that the cell of zone has given up.
// It reports whether the document changed.
func Settle(d Doc, zone place.Zone, given []cell.Given) (Doc, bool) {
	out := d
	changed := false
	for _, g := range given {
		if int(g.Shard) >= len(d.Rows) {
			continue
		}
		row := d.Rows[g.Shard]
		if row.Zone != zone || row.Next == "" {
			continue
		}
		if !changed {
			out, changed = d.Clone(), true
		}
		out.Rows[g.Shard] = Row{Zone: row.Next, Floor: max(g.Floor, row.Floor)}
	}
	return out, changed
}

// Lose hands the shards of a zone that an operator declared lost to the
// others. The last is the zone's own document: it gives the epochs to exceed.
func Lose(d Doc, zone place.Zone, weights []Weight, last cell.Doc) (Doc, bool) {
	left := slices.DeleteFunc(slices.Clone(weights), func(w Weight) bool { return w.Zone == zone })
	rows := lostRows(d, zone)
	share := quotas(rows, left)
	if rows == 0 || share == nil {
		return d, false
	}
	epochs := make(map[key.Shard]grant.Epoch, len(last.Rows))
	for _, r := range last.Rows {
		epochs[r.Shard] = r.Epoch
	}
	out := d.Clone()
	for s := range out.Rows {
		row := &out.Rows[s]
		if row.Zone != zone {
			continue
		}
		floor := max(row.Floor, epochs[key.Shard(s)]) + lostEpochStep
		*row = Row{Zone: takeBest(d.Service, key.Shard(s), share), Floor: floor}
	}
	return out, true
}

// lostRows counts the shards in the custody of a zone.
func lostRows(d Doc, zone place.Zone) int {
	n := 0
	for _, r := range d.Rows {
		if r.Zone == zone {
			n++
		}
	}
	return n
}
