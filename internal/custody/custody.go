// Package custody decides which availability zone has custody of each shard of a
// service. Its functions compute one document from another and do no I/O.
//
// A transfer takes three writes. A crash between two of them does no harm, as each
// write shows which one has to follow:
//
//  1. The custody document names the next zone of the shard (Row.Next).
//  2. The cell with the custody lists the shard as ceded in its own document
//     (cell.Doc.Ceded) once there is evidence that the owner's grant has ended, with
//     the lowest epoch at which another cell may grant it.
//  3. The custody document names the new zone, with that epoch as the floor.
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

// PathPrefix is the path prefix of custody documents in the store.
const PathPrefix platform.Path = "custody/"

// Doc is the custody document of one service. Rows are indexed by key.Shard.
type Doc struct {
	Service key.Service
	WriteID string
	Rows    []Row
}

// Row is the custody of one hash-range shard and its single keys.
type Row struct {
	Zone place.Zone
	// Next is the zone to which the shard is being transferred, or empty.
	Next place.Zone
	// Floor is the lowest epoch at which the shard may be granted.
	Floor grant.Epoch
}

// ZoneTargets is the number of targets in a zone that may own shards. The zone's share
// of the shards is proportional to it.
type ZoneTargets struct {
	Zone    place.Zone
	Targets int
}

// Path returns the path of a service's custody document.
func Path(service key.Service) platform.Path {
	return PathPrefix + platform.Path(service)
}

// New returns the custody document of a new service. Each shard goes to the zone with
// the highest rendezvous score among those whose quota is not used up. Every host thus
// computes the same document, and it doesn't matter which one writes it. The document
// has no rows if no zone has a target.
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

// quota is how many more shards a zone may take.
type quota struct {
	zone      place.Zone
	remaining int
}

// quotas divides the shards among the zones in proportion to their targets. The
// remainder goes to the first zones by name that have a target. It returns nil if no
// zone has one.
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
	assigned := 0
	for _, w := range sorted {
		n := shards * w.Targets / total
		assigned += n
		out = append(out, quota{zone: w.Zone, remaining: n})
	}
	for i := 0; assigned < shards; i = (i + 1) % len(out) {
		if sorted[i].Targets > 0 {
			out[i].remaining++
			assigned++
		}
	}
	return out
}

// assignBest returns the zone with the highest score for the shard among those with a
// quota left, and takes one from its quota. It returns an empty zone if there is none.
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

// score returns the rendezvous hashing score of a shard for a zone (Thaler, Ravishankar:
// Using Name-Based Mappings to Increase Hit Rates, 1998).
func score(service key.Service, shard key.Shard, zone place.Zone) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(string(service))
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(string(zone))
	_, _ = d.Write([]byte{0, byte(shard >> 24), byte(shard >> 16), byte(shard >> 8), byte(shard)})
	return d.Sum64()
}

// OwnableBy returns the shards that the zone's cell may own: those in its custody that
// are not being transferred.
func (d Doc) OwnableBy(zone place.Zone) []cell.CustodyRow {
	return d.filter(func(r Row) bool { return r.settledIn(zone) })
}

// CountByZone returns the number of shards of each zone once all transfers are complete.
func (d Doc) CountByZone() map[place.Zone]int {
	out := make(map[place.Zone]int)
	for _, r := range d.Rows {
		out[r.destination()]++
	}
	return out
}

// destination returns the zone of the shard once its transfer is complete.
func (r Row) destination() place.Zone {
	if r.Next != "" {
		return r.Next
	}
	return r.Zone
}

// Clone returns a deep copy of d.
func (d Doc) Clone() Doc {
	d.Rows = slices.Clone(d.Rows)
	return d
}
