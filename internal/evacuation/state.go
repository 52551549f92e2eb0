package evacuation

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// Limits are the durations that evacuations depend on.
type Limits struct {
	// Bound is how long after the store's acknowledgement requests may still reach the
	// targets; zero if zones are not evacuated.
	Bound time.Duration
	// ReadLag is the longest time from the acknowledgement until hosts have read it.
	ReadLag time.Duration
	// Margin covers the transit of a request.
	Margin time.Duration
	// MaxGap is the longest time between two documents of any kind that a host receives
	// while it is in touch.
	MaxGap time.Duration
}

// window returns how long after its own reading a host may still send requests.
func (l Limits) window() time.Duration { return max(l.Bound-l.ReadLag-l.Margin, 0) }

// minSendTime is the least time that a host allows for connecting to a target while no
// evacuation is known, even if the bound is too short for it.
const minSendTime = 500 * time.Millisecond

// NotAfter returns the time after which a request is no longer sent, zero for none. until
// is when the host must stop sending by what it knows, zero for never. An evacuation that
// the host reads while it connects to the target can't begin to count before now.
func (l Limits) NotAfter(now, until time.Time) time.Time {
	if l.Bound <= 0 {
		return until
	}
	if end := now.Add(max(l.window(), minSendTime)); until.IsZero() || end.Before(until) {
		return end
	}
	return until
}

// spreadShare is the share of the bound over which the ranges of a zone's targets begin to
// move. Half a second of moves and the lag of the leader's reading remain within the bound.
const spreadShare = 1.0 / 3

// Contact tells when a host was in touch with the others, by the documents that it received.
type Contact struct {
	heardAt time.Time
	// silentFrom and resumedAt are the begin and the end of the last time without contact.
	silentFrom, resumedAt time.Time
}

// Heard records that a document has arrived.
func (c *Contact) Heard(now time.Time, l Limits) {
	if !c.heardAt.IsZero() && now.Sub(c.heardAt) > 2*l.MaxGap {
		c.silentFrom, c.resumedAt = c.heardAt, now
	}
	c.heardAt = now
}

// From returns the time from which a change counts that a host reads now. It may have missed
// the change while it was not in touch, and gets the documents of that time one by one.
func (c *Contact) From(now time.Time, l Limits) time.Time {
	from := now
	if latest := c.heardAt.Add(l.MaxGap); !c.heardAt.IsZero() && latest.Before(from) {
		from = latest
	}
	if latest := c.silentFrom.Add(l.MaxGap); !c.resumedAt.IsZero() && now.Sub(c.resumedAt) <= l.ReadLag && latest.Before(from) {
		from = latest
	}
	return from
}

// State is what a host knows of the evacuated zones. The zero value knows none. A state
// is not changed once it is in use.
type State struct {
	limits Limits
	// known is set once the host has a document.
	known bool
	// since holds the evacuated zones. The bound of each counts from that time.
	since map[place.Zone]time.Time
}

// Apply returns the state after a host has received a document. The bound of zones that are
// new to it counts from the given time. Those in the first document may have been evacuated
// long before.
func (s State) Apply(now, from time.Time, l Limits, d *Document) State {
	next := State{limits: l, known: true, since: make(map[place.Zone]time.Time)}
	for _, zone := range d.Evacuated() {
		since, ok := s.since[zone]
		switch {
		case ok:
		case !s.known:
			since = now.Add(-l.Bound)
		default:
			since = from
		}
		next.since[zone] = since
	}
	return next
}

// Translate returns the state with its times on another clock, which reads to where the
// clock of the state reads from.
func (s State) Translate(from, to time.Time) State {
	next := s
	next.since = make(map[place.Zone]time.Time, len(s.since))
	for zone, since := range s.since {
		next.since[zone] = to.Add(since.Sub(from))
	}
	return next
}

// Limits returns the limits of the last document.
func (s State) Limits() Limits { return s.limits }

// Known reports whether the host has a document.
func (s State) Known() bool { return s.known }

// Zones returns the evacuated zones, sorted.
func (s State) Zones() []place.Zone { return slices.Sorted(maps.Keys(s.since)) }

// Any reports whether a zone is evacuated.
func (s State) Any() bool { return len(s.since) > 0 }

// Contains reports whether a zone is evacuated.
func (s State) Contains(zone place.Zone) bool {
	_, ok := s.since[zone]
	return ok
}

// Since returns the time from which the bound of a zone counts.
func (s State) Since(zone place.Zone) (time.Time, bool) {
	since, ok := s.since[zone]
	return since, ok
}

// SendUntil returns until when this host may send requests to targets of a zone, and
// whether the zone is evacuated.
func (s State) SendUntil(zone place.Zone) (time.Time, bool) {
	since, ok := s.since[zone]
	return since.Add(s.limits.window()), ok
}

// MoveAt returns when a range that starts at the point begins to move from a target of the
// zone, and whether the zone is evacuated.
func (s State) MoveAt(zone place.Zone, first key.Point) (time.Time, bool) {
	since, ok := s.since[zone]
	// Multiplication by the golden ratio spreads adjacent points evenly.
	const goldenRatio, scale = 0x9E3779B9, 1 << 32
	fraction := float64(uint32(first)*goldenRatio) / scale
	return since.Add(time.Duration(fraction * spreadShare * float64(s.limits.Bound))), ok
}

// Filter returns the rows outside evacuated zones.
func (s State) Filter(rows []place.TargetRow) []place.TargetRow {
	if !s.Any() {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(r place.TargetRow) bool { return s.Contains(r.Zone) })
}

// NearZone returns the zone whose targets a host uses in place of those of its own
// evacuated zone, empty if there is none. The hosts of a zone spread over the zones in
// proportion to their targets.
func (s State) NearZone(host place.Host, rows []place.TargetRow) place.Zone {
	var best place.TargetRow
	highest := uint64(0)
	for _, row := range rows {
		if row.State != place.Live || s.Contains(row.Zone) {
			continue
		}
		if score := rank(host, row.Target); best.Target == "" || score > highest {
			best, highest = row, score
		}
	}
	return best.Zone
}

// rank is the rank of a target for a host by rendezvous hashing.
func rank(host place.Host, name place.Target) uint64 {
	return xxhash.Sum64String(string(host) + "\x00" + string(name))
}
