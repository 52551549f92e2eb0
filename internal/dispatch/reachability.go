package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// zoneMessageTimeout is how long no message must have come from any host of a
	// zone for the zone to count as partitioned. Suspected hosts are pinged every
	// pingInterval, so that a reachable one replies within it.
	zoneMessageTimeout = 400 * time.Millisecond
	// minZoneSuspects is how many hosts of the zone must be suspected. Single ones are
	// more likely to have crashed.
	minZoneSuspects = 2
	// minReachableShare is the share of all targets that a host must reach to accept
	// clients. Below it, other hosts serve them better.
	minReachableShare = 0.5
)

// Reachability detects that a network partition leaves this host with too few
// targets. A zone counts as partitioned only if neither its hosts nor its targets
// respond: if all its hosts were killed, its targets still respond, and if its
// targets crash, its hosts do. It is not safe for concurrent use.
type Reachability struct {
	// failed holds the zones in which the latest conclusive attempt failed to connect.
	failed map[place.Zone]bool
	// lastMessageAt is when the last message came from a host of each zone.
	lastMessageAt map[place.Zone]time.Time
}

// NewReachability returns a Reachability without observations.
func NewReachability() *Reachability {
	return &Reachability{failed: make(map[place.Zone]bool), lastMessageAt: make(map[place.Zone]time.Time)}
}

// ZoneState counts the targets and hosts of a zone.
type ZoneState struct {
	// Targets and Hosts count those that are listed in the zone.
	Targets, Hosts int
	// Suspects counts the hosts that do not reply to Acquires and Pings.
	Suspects int
}

// RecordAttempt records the result of an attempt at a target of the zone.
func (r *Reachability) RecordAttempt(zone place.Zone, result Result) {
	switch result {
	case ResultUnreachable:
		r.failed[zone] = true
	case ResultServed, ResultFailed, ResultBusy, ResultMisdirected:
		delete(r.failed, zone)
	case ResultUnused, ResultCut, ResultTimeout: // no evidence for or against reachability
	}
}

// RecordMessage records a message from a host of the zone.
func (r *Reachability) RecordMessage(now time.Time, zone place.Zone) { r.lastMessageAt[zone] = now }

// Suspected reports whether any zone may be partitioned. If not, Partitioned
// returns false for any zones.
func (r *Reachability) Suspected() bool { return len(r.failed) > 0 }

// Partitioned reports whether fewer than minReachableShare of the targets are
// reachable.
func (r *Reachability) Partitioned(now time.Time, self place.Zone, zones map[place.Zone]ZoneState) bool {
	all, unreachable := 0, 0
	for name, z := range zones {
		all += z.Targets
		unresponsive := z.Suspects > 0 && z.Suspects >= min(minZoneSuspects, z.Hosts) && now.Sub(r.lastMessageAt[name]) >= zoneMessageTimeout
		if name != self && r.failed[name] && unresponsive {
			unreachable += z.Targets
		}
	}
	return float64(all-unreachable) < minReachableShare*float64(all)
}
