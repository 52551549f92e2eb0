package member

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Heartbeat is sent periodically by a host to its registrars.
type Heartbeat struct {
	Host Host
	// Rank is the rank of the registrar that gets the heartbeat, from 0. The first
	// registrar acts at once, the others only if it does not.
	Rank int
}

// Confirmation is the response of a registrar to the heartbeat of a host that is in its
// list of hosts. It is sent only while that list is recent.
type Confirmation struct {
	// Incarnation is that of the host that is listed.
	Incarnation place.Incarnation
	// Hosts is the number of hosts in the list.
	Hosts int
}

// Registry decides, at a registrar, which hosts that send heartbeats are entered in the
// store, and which entries are removed. Entries need no session, so that the load on
// the store grows with the hosts that come and go, not with those that are up. It is
// not safe for concurrent use.
type Registry struct {
	zone  place.Zone
	hosts map[place.Host]*heardHost
	// activeSince is when this host became a registrar, lastHeartbeat when it last got
	// a heartbeat, and rank its rank then. Registrars are the watchers of the zone, and
	// all hosts of the zone rank them alike.
	activeSince, lastHeartbeat time.Time
	rank                       int
}

// heardHost is a host that has sent a heartbeat.
type heardHost struct {
	Host

	// firstHeard is when the first heartbeat of this incarnation came, lastHeard when
	// the last one came, and rank this registrar's rank then.
	firstHeard, lastHeard time.Time
	rank                  int
	// triedAt is when Due last returned it as a host to enter.
	triedAt time.Time
}

const (
	// HeartbeatInterval is the time between two heartbeats of a host.
	HeartbeatInterval = time.Second
	// JoinInterval is the same for a host that is not listed yet.
	JoinInterval = 300 * time.Millisecond
	// joinBatchDelay is how long a registrar waits before it enters a new host, so that
	// others are entered in the same write: hosts start within a few hundred
	// milliseconds of each other.
	joinBatchDelay = 150 * time.Millisecond
	// joinRetryDelay is how long Due waits before it again returns a host to enter. By
	// then the host should be in this registrar's list: that takes a write, a read of the
	// store, and the distribution of the list.
	joinRetryDelay = 2 * time.Second
	// rankDelay is the head start of each registrar over the next one.
	rankDelay = time.Second
	// heartbeatTimeout is how long a host may send no heartbeat before its entry is removed:
	// a restart takes a second or two, a freeze some seconds.
	heartbeatTimeout = 6 * time.Second
	// registrarTimeout is how long after the last heartbeat this host still counts as a
	// registrar.
	registrarTimeout = 3 * HeartbeatInterval
	// minHeardShare is the share of its zone's hosts from which a registrar must get
	// heartbeats to remove any: one that gets fewer is probably isolated itself.
	minHeardShare = 0.5
)

// NewRegistry returns the registry of a host in the zone.
func NewRegistry(zone place.Zone) *Registry {
	return &Registry{zone: zone, hosts: make(map[place.Host]*heardHost)}
}

// HandleHeartbeat records a heartbeat.
func (r *Registry) HandleHeartbeat(now time.Time, hb Heartbeat) {
	if !r.Active(now) {
		r.activeSince = now
		clear(r.hosts)
	}
	r.lastHeartbeat, r.rank = now, hb.Rank
	h := r.hosts[hb.Host.Name]
	if h == nil || h.Incarnation != hb.Host.Incarnation {
		h = &heardHost{firstHeard: now}
		r.hosts[hb.Host.Name] = h
	}
	h.Host, h.lastHeard, h.rank = hb.Host, now, hb.Rank
}

// Active reports whether this host gets heartbeats, and so is a registrar.
func (r *Registry) Active(now time.Time) bool { return now.Sub(r.lastHeartbeat) <= registrarTimeout }

// Due returns the hosts to enter now, and the hosts whose entries are to be removed,
// according to the newest list.
func (r *Registry) Due(now time.Time, list *List) (enter, remove []Host) {
	if !r.Active(now) {
		return nil, nil
	}
	for _, h := range r.hosts {
		wait := joinBatchDelay + time.Duration(h.rank)*rankDelay
		if now.Sub(h.lastHeard) > registrarTimeout || now.Sub(h.firstHeard) < wait || now.Sub(h.triedAt) < joinRetryDelay {
			continue
		}
		// If the listed incarnation is later, either the host's clock was set back or
		// this incarnation has ended. Only the host itself can decide that: it enters
		// itself.
		if listed, ok := list.Host(h.Name); !ok || listed.Incarnation < h.Incarnation {
			h.triedAt = now
			enter = append(enter, h.Host)
		}
	}
	slices.SortFunc(enter, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return enter, r.unresponsiveHosts(now, list, heartbeatTimeout+time.Duration(r.rank)*rankDelay)
}

// unresponsiveHosts returns the listed hosts of the zone that have sent no heartbeat for the
// given time.
func (r *Registry) unresponsiveHosts(now time.Time, list *List, limit time.Duration) []Host {
	if now.Sub(r.activeSince) < limit {
		return nil // not active for long enough
	}
	var out []Host
	listed, heard := 0, 0
	for _, h := range list.Hosts {
		if h.Zone != r.zone {
			continue
		}
		listed++
		sender := r.hosts[h.Name]
		if sender != nil && now.Sub(sender.lastHeard) <= limit {
			heard++
			continue
		}
		out = append(out, h)
	}
	if float64(heard) < minHeardShare*float64(listed) {
		return nil
	}
	return out
}
