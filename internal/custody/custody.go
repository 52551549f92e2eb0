// Package custody decides which availability zone has custody of each shard
// of a service. It is pure: documents in, documents out.
//
// A planned transfer takes three writes and survives a crash between any two,
// since each step can be seen in the one before it:
//
//  1. the custody document names the next zone of the shard (Row.Next);
//  2. the cell that has it ends its owner's grant by evidence and lists the
//     shard, with the epoch it ended at, in its own document (cell.Doc.Given);
//  3. the custody document names the new zone, with that epoch as the floor.
package custody

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// PathPrefix is where custody documents live in the platform's service.
const PathPrefix platform.Path = "custody/"

// Doc is the custody document of one service. Rows are indexed by key.Shard.
type Doc struct {
	Service key.Service
	WriteID string
	Rows    []Row
}

// Row is the custody of one hash-range shard. Solo keys stay with their shard.
type Row struct {
	Zone place.Zone
	// Next is the zone of a transfer under way, or empty.
	Next place.Zone
	// Floor is the lowest epoch that the shard may be granted at.
	Floor grant.Epoch
}

// ZoneTargets is the share of a zone, in targets that may own shards there.
type ZoneTargets struct {
	Zone    place.Zone
	Targets int
}

// Path returns the path of a service's custody document.
func Path(service key.Service) platform.Path {
	return PathPrefix + platform.Path(service)
}

// New returns the layout of a new service: each shard goes to the zone with
// room left that has the highest rendezvous score, so that every host makes
// the same document and the race to write it is harmless. It returns a
// document without rows where no zone has a target.
func New(service key.Service, shards key.ShardCount, weights []ZoneTargets) Doc {
	doc := Doc{Service: service}
	share := quotas(int(shards), weights)
	if share == nil {
		return doc
	}
	doc.Rows = make([]Row, shards)
	for s := range doc.Rows {
		doc.Rows[s].Zone = assignBest(service, key.Shard(s), share)
	}
	return doc
}

// quota is how many more shards a zone takes.
type quota struct {
	zone      place.Zone
	remaining int
}

// quotas splits the shards by weight; remainders go to the first zones by
// name. It returns nil where no zone has a target.
func quotas(shards int, weights []ZoneTargets) []quota {
	sorted := slices.Clone(weights)
	slices.SortFunc(sorted, func(a, b ZoneTargets) int { return cmp.Compare(a.Zone, b.Zone) })
	total := 0
	for _, w := range sorted {
		total += w.Targets
	}
	if total == 0 {
		return nil
	}
	out := make([]quota, 0, len(sorted))
	given := 0
	for _, w := range sorted {
		n := shards * w.Targets / total
		given += n
		out = append(out, quota{zone: w.Zone, remaining: n})
	}
	for i := 0; given < shards; i = (i + 1) % len(out) {
		if sorted[i].Targets > 0 {
			out[i].remaining++
			given++
		}
	}
	return out
}

// assignBest takes one place from the zone that scores highest for the shard
// among those with room, or returns an empty zone where none has.
func assignBest(service key.Service, shard key.Shard, quotas []quota) place.Zone {
	best := -1
	var bestScore uint64
	for i, q := range quotas {
		if q.remaining == 0 {
			continue
		}
		if s := score(service, shard, q.zone); best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	if best < 0 {
		return ""
	}
	quotas[best].remaining--
	return quotas[best].zone
}

// score is the rendezvous score of a shard for a zone (Thaler, Ravishankar:
// Using Name-Based Mappings to Increase Hit Rates, 1998).
func score(service key.Service, shard key.Shard, zone place.Zone) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(zone))
	_, _ = d.Write([]byte{0, byte(shard >> 24), byte(shard >> 16), byte(shard >> 8), byte(shard)})
	return d.Sum64()
}

// OwnableBy returns the shards that a zone's cell may own now: those in its custody
// without a transfer under way.
func (d Doc) OwnableBy(zone place.Zone) []cell.CustodyRow {
	return d.filter(func(r Row) bool { return r.settledIn(zone) })
}

// CountByZone returns how many shards are, or are about to be, in each zone.
func (d Doc) CountByZone() map[place.Zone]int {
	out := make(map[place.Zone]int)
	for _, r := range d.Rows {
		out[r.destination()]++
	}
	return out
}

// destination is the zone of a shard once its transfer has ended.
func (r Row) destination() place.Zone {
	if r.Next != "" {
		return r.Next
	}
	return r.Zone
}

// Clone returns a copy that shares nothing with d.
func (d Doc) Clone() Doc {
	d.Rows = slices.Clone(d.Rows)
	return d
}
