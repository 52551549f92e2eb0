package custody

import (
	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// slackPercent is how far a zone may be above its share before shards are
// transferred for balance. A zone without targets has no slack.
const slackPercent = 20

// PlanTransfers starts transfers out of the zone from, where it has more than its share,
// to the zones that have less, at most budget shards of them. It reports
// whether the document changed. Each zone's lead plans for its own zone, so a
// zone that is cut off from the store gives nothing away.
func PlanTransfers(d Doc, from place.Zone, weights []ZoneTargets, budget int) (Doc, bool) {
	share := quotas(len(d.Rows), weights)
	if share == nil || budget <= 0 {
		return d, false
	}
	room, over := roomAndExcess(d, share)
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
		if !row.settledIn(from) {
			continue
		}
		to := assignBest(d.Service, key.Shard(s), room)
		if to == "" {
			break
		}
		row.Next = to
		moved++
	}
	return out, moved > 0
}

// roomAndExcess returns the zones with room and how many shards the others are over.
func roomAndExcess(d Doc, share []quota) ([]quota, map[place.Zone]int) {
	count := d.CountByZone()
	over := make(map[place.Zone]int)
	var room []quota
	for _, q := range share {
		have := count[q.zone]
		delete(count, q.zone)
		switch {
		case have < q.remaining:
			room = append(room, quota{zone: q.zone, remaining: q.remaining - have})
		case have > q.remaining+q.remaining*slackPercent/100:
			over[q.zone] = have - q.remaining
		}
	}
	for zone, have := range count {
		over[zone] = have // a zone without any target
	}
	return room, over
}

// CompleteTransfers ends the transfers of the shards that the cell of zone has given up.
// It reports whether the document changed.
func CompleteTransfers(d Doc, zone place.Zone, given []cell.CededShard) (Doc, bool) {
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
func Evict(d Doc, zone place.Zone, weights []ZoneTargets) (Doc, bool) {
	share := quotas(countSettled(d, zone), weights)
	if countSettled(d, zone) == 0 || share == nil {
		return d, false
	}
	out := d.Clone()
	for s := range out.Rows {
		if row := &out.Rows[s]; row.settledIn(zone) {
			row.Next = assignBest(d.Service, key.Shard(s), share)
		}
	}
	return out, true
}

// countSettled counts the shards of a zone that are not under transfer.
func countSettled(d Doc, zone place.Zone) int {
	return len(d.OwnableBy(zone))
}

// settledIn reports whether the shard is in the zone and not under transfer.
func (r Row) settledIn(zone place.Zone) bool { return r.Zone == zone && r.Next == "" }

// Outgoing returns the shards that are under transfer out of a zone.
func (d Doc) Outgoing(zone place.Zone) []cell.CustodyRow {
	return d.filter(func(r Row) bool { return r.Zone == zone && r.Next != "" })
}

// filter returns the shards whose rows match.
func (d Doc) filter(match func(Row) bool) []cell.CustodyRow {
	var out []cell.CustodyRow
	for s, r := range d.Rows {
		if match(r) {
			out = append(out, cell.CustodyRow{Shard: key.Shard(s), Floor: r.Floor})
		}
	}
	return out
}
