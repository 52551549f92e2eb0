package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// zoneSilence is how long no host of a zone must have been heard, to which asks
	// and pings go several times a second, for the zone to count as cut off.
	zoneSilence = 400 * time.Millisecond
	// zoneSuspects is how many hosts of the zone must leave those unanswered: single
	// ones crash.
	zoneSuspects = 2
	// reachLeast is the share of the targets that a host must reach to take clients:
	// with less, they are better served by other hosts.
	reachLeast = 0.5
)

// Reach tells whether a cut has left this host with too few targets. A zone is cut
// off where neither its hosts nor its targets answer: hosts that were all killed
// leave their zone's targets in reach, and targets that crash its hosts. It is not
// safe for concurrent use.
type Reach struct {
	// failed are the zones whose targets took no connection by the latest tries.
	failed map[place.Zone]bool
	// heard is when a host of each zone last wrote.
	heard map[place.Zone]time.Time
}

// NewReach returns a reach of which nothing is known.
func NewReach() *Reach {
	return &Reach{failed: make(map[place.Zone]bool), heard: make(map[place.Zone]time.Time)}
}

// Zone is what a host knows of a zone.
type Zone struct {
	// Targets are all that are listed there, Hosts likewise.
	Targets, Hosts int
	// Suspects are the hosts that leave asks and pings unanswered.
	Suspects int
}

// Try takes the end of an attempt at a target of the zone.
func (r *Reach) Try(zone place.Zone, end End) {
	switch end {
	case EndUnreachable:
		r.failed[zone] = true
	case EndServed, EndFailed, EndBusy, EndForeign:
		delete(r.failed, zone)
	case EndUnused, EndCut, EndTimeout: // these say nothing of the way there
	}
}

// Hear notes that a host of the zone wrote.
func (r *Reach) Hear(now time.Time, zone place.Zone) { r.heard[zone] = now }

// Suspect reports whether any zone may be cut off, without which Lost needs no
// look.
func (r *Reach) Suspect() bool { return len(r.failed) > 0 }

// Lost reports whether too few targets are within reach.
func (r *Reach) Lost(now time.Time, self place.Zone, zones map[place.Zone]Zone) bool {
	all, lost := 0, 0
	for name, z := range zones {
		all += z.Targets
		silent := z.Suspects > 0 && z.Suspects >= min(zoneSuspects, z.Hosts) && now.Sub(r.heard[name]) >= zoneSilence
		if name != self && r.failed[name] && silent {
			lost += z.Targets
		}
	}
	return float64(all-lost) < reachLeast*float64(all)
}
