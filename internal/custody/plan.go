package custody

import (
	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// slackPercent is by how much a zone may exceed its share, in percent of it, before
// shards are transferred. A zone without targets has no slack.
const slackPercent = 20

// PlanTransfers starts transfers of at most budget shards from the zone from to zones
// below their shares, if it exceeds its own. It reports whether the document changed.
// The leader of each zone plans for its own zone only, so that a zone that does not
// reach the store loses no shard.
func PlanTransfers(d Doc, from place.Zone, weights []ZoneTargets, budget int) (Doc, bool) {
	share := quotas(len(d.Rows), weights)
	if share == nil || budget <= 0 {
		return d, false
	}
	room, excess := roomAndExcess(d, share)
	if excess[from] == 0 {
		return d, false
	}
	out := d.Clone()
	started := 0
	for s := range out.Rows {
		row := &out.Rows[s]
		if started == min(budget, excess[from]) {
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
		started++
	}
	return out, started > 0
}

// roomAndExcess returns how many shards are missing from the zones below their shares,
// and by how many the zones above exceed theirs, if by more than slackPercent.
func roomAndExcess(d Doc, share []quota) ([]quota, map[place.Zone]int) {
	count := d.CountByZone()
	excess := make(map[place.Zone]int)
	var room []quota
	for _, q := range share {
		have := count[q.zone]
		delete(count, q.zone)
		switch {
		case have < q.remaining:
			room = append(room, quota{zone: q.zone, remaining: q.remaining - have})
		case have > q.remaining+q.remaining*slackPercent/100:
			excess[q.zone] = have - q.remaining
		}
	}
	for zone, have := range count {
		excess[zone] = have // zone without targets
	}
	return room, excess
}

// CompleteTransfers completes the transfers of the shards that the zone's cell has
// ceded. It reports whether the document changed.
func CompleteTransfers(d Doc, zone place.Zone, ceded []cell.CededShard) (Doc, bool) {
	out := d
	changed := false
	for _, c := range ceded {
		if int(c.Shard) >= len(d.Rows) {
			continue
		}
		row := d.Rows[c.Shard]
		if row.Zone != zone || row.Next == "" {
			continue
		}
		if !changed {
			out, changed = d.Clone(), true
		}
		out.Rows[c.Shard] = Row{Zone: row.Next, Floor: max(c.Floor, row.Floor)}
	}
	return out, changed
}

// Evict starts the transfers of all shards of a lost zone to the zones of weights,
// which must not include it. It reports whether the document changed.
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

// countSettled counts the shards of a zone that are not being transferred.
func countSettled(d Doc, zone place.Zone) int {
	return len(d.OwnableBy(zone))
}

// settledIn reports whether the shard is in the zone and is not being transferred.
func (r Row) settledIn(zone place.Zone) bool { return r.Zone == zone && r.Next == "" }

// Outgoing returns the shards that are being transferred out of a zone.
func (d Doc) Outgoing(zone place.Zone) []cell.CustodyRow {
	return d.filter(func(r Row) bool { return r.Zone == zone && r.Next != "" })
}

// filter returns the shards for whose rows match returns true.
func (d Doc) filter(match func(Row) bool) []cell.CustodyRow {
	var out []cell.CustodyRow
	for s, r := range d.Rows {
		if match(r) {
			out = append(out, cell.CustodyRow{Shard: key.Shard(s), Floor: r.Floor})
		}
	}
	return out
}
