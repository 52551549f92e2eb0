package custody

import (
	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// slackPercent is how far a zone may be above its share before shards are
// transferred for balance. A zone without targets has no slack.
const slackPercent = 20

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
		if !row.stays(from) {
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

// Evict starts the transfer of all shards of a zone that is lost to the zones
// of the weights, the lost one not among them. It reports whether the document
// changed.
func Evict(d Doc, zone place.Zone, weights []Weight) (Doc, bool) {
	share := quotas(staying(d, zone), weights)
	if staying(d, zone) == 0 || share == nil {
		return d, false
	}
	out := d.Clone()
	for s := range out.Rows {
		if row := &out.Rows[s]; row.stays(zone) {
			row.Next = takeBest(d.Service, key.Shard(s), share)
		}
	}
	return out, true
}

// staying counts the shards of a zone that are not under transfer.
func staying(d Doc, zone place.Zone) int {
	return len(d.Of(zone))
}

// stays reports whether the shard is in the zone and not under transfer.
func (r Row) stays(zone place.Zone) bool { return r.Zone == zone && r.Next == "" }

// Leaving returns the shards that are under transfer out of a zone.
func (d Doc) Leaving(zone place.Zone) []cell.CustodyRow {
	return d.pick(func(r Row) bool { return r.Zone == zone && r.Next != "" })
}

// pick returns the shards whose rows match.
func (d Doc) pick(match func(Row) bool) []cell.CustodyRow {
	var out []cell.CustodyRow
	for s, r := range d.Rows {
		if match(r) {
			out = append(out, cell.CustodyRow{Shard: key.Shard(s), Floor: r.Floor})
		}
	}
	return out
}
