package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// zoneSilenceTimeout is how long no host of a zone must have been heard, to which asks
	// and pings go several times a second, for the zone to count as cut off.
	zoneSilenceTimeout = 400 * time.Millisecond
	// minZoneSuspects is how many hosts of the zone must leave those unanswered: single
	// ones crash.
	minZoneSuspects = 2
	// minReachableShare is the share of the targets that a host must reach to take clients:
	// with less, they are better served by other hosts.
	minReachableShare = 0.5
)

// Reachability tells whether a cut has left this host with too few targets. A zone is cut
// off where neither its hosts nor its targets answer: hosts that were all killed
// leave their zone's targets in reach, and targets that crash its hosts. It is not
// safe for concurrent use.
type Reachability struct {
	// failed are the zones whose targets took no connection by the latest tries.
	failed map[place.Zone]bool
	// heardAt is when a host of each zone last wrote.
	heardAt map[place.Zone]time.Time
}

// NewReachability returns a reach of which nothing is known.
func NewReachability() *Reachability {
	return &Reachability{failed: make(map[place.Zone]bool), heardAt: make(map[place.Zone]time.Time)}
}

// ZoneState is what a host knows of a zone.
type ZoneState struct {
	// Targets are all that are listed there, Hosts likewise.
	Targets, Hosts int
	// Suspects are the hosts that leave asks and pings unanswered.
	Suspects int
}

// RecordAttempt takes the end of an attempt at a target of the zone.
func (r *Reachability) RecordAttempt(zone place.Zone, end Result) {
	switch end {
	case ResultUnreachable:
		r.failed[zone] = true
	case ResultServed, ResultFailed, ResultBusy, ResultMisdirected:
		delete(r.failed, zone)
	case ResultUnused, ResultCut, ResultTimeout: // these say nothing of the way there
	}
}

// RecordMessage notes that a host of the zone wrote.
func (r *Reachability) RecordMessage(now time.Time, zone place.Zone) { r.heardAt[zone] = now }

// Suspected reports whether any zone may be cut off, without which Lost needs no
// look.
func (r *Reachability) Suspected() bool { return len(r.failed) > 0 }

// Partitioned reports whether too few targets are within reach.
func (r *Reachability) Partitioned(now time.Time, self place.Zone, zones map[place.Zone]ZoneState) bool {
	all, lost := 0, 0
	for name, z := range zones {
		all += z.Targets
		silent := z.Suspects > 0 && z.Suspects >= min(minZoneSuspects, z.Hosts) && now.Sub(r.heardAt[name]) >= zoneSilenceTimeout
		if name != self && r.failed[name] && silent {
			lost += z.Targets
		}
	}
	return float64(all-lost) < minReachableShare*float64(all)
}
