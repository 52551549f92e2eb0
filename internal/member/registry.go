package member

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Heartbeat is what a host tells its registrars, again and again.
type Heartbeat struct {
	Host Host
	// Rank is the place of the registrar that is told, from 0 on: the first one
	// acts at once, the others in case it does not.
	Rank int
}

// Registry decides, at a host that others tell their presence, which of them
// are entered in the store and which entries are removed. Entries need no
// session: what the store is asked for grows with the hosts that come and go,
// not with those that are there. It is not safe for concurrent use.
type Registry struct {
	zone  place.Zone
	hosts map[place.Host]*heardHost
	// activeSince is when this host was first told of late, told when last, turn its
	// place then. Watchers have the same place for all hosts of their zone.
	activeSince, lastHeartbeat time.Time
	rank                       int
}

// heardHost is a host that was heard.
type heardHost struct {
	Host

	// firstHeard is when this life was first heard, heard when last, and turn the place
	// that this host had then.
	firstHeard, lastHeard time.Time
	rank                  int
	// triedAt is when it was last to be entered.
	triedAt time.Time
}

const (
	// HeartbeatInterval is the time between two presences of a host.
	HeartbeatInterval = time.Second
	// JoinInterval is that of a host that is not listed yet.
	JoinInterval = 300 * time.Millisecond
	// joinBatchDelay is how long a new host waits for others to be entered with:
	// hosts start within a few hundred milliseconds of each other.
	joinBatchDelay = 150 * time.Millisecond
	// joinRetryDelay is the time after which a host that was to be entered should be
	// in the list: a write, a read of the store, and the way to here.
	joinRetryDelay = 2 * time.Second
	// rankDelay is the head start of each registrar over the next one.
	rankDelay = time.Second
	// maxSilence is how long a host may not be heard before its entry is
	// removed: a restart takes a second or two, a freeze some seconds.
	maxSilence = 6 * time.Second
	// registrarTimeout is how long after the last presence this host still counts as a
	// registrar.
	registrarTimeout = 3 * HeartbeatInterval
	// minHeardShare is the share of its zone's hosts that a registrar must hear to
	// remove any: one that hears fewer is probably cut off itself.
	minHeardShare = 0.5
)

// NewRegistry returns the registry of a host in the zone.
func NewRegistry(zone place.Zone) *Registry {
	return &Registry{zone: zone, hosts: make(map[place.Host]*heardHost)}
}

// HandleHeartbeat takes a presence.
func (r *Registry) HandleHeartbeat(now time.Time, p Heartbeat) {
	if !r.Active(now) {
		r.activeSince = now
		clear(r.hosts)
	}
	r.lastHeartbeat, r.rank = now, p.Rank
	h := r.hosts[p.Host.Name]
	if h == nil || h.Incarnation != p.Host.Incarnation {
		h = &heardHost{firstHeard: now}
		r.hosts[p.Host.Name] = h
	}
	h.Host, h.lastHeard, h.rank = p.Host, now, p.Rank
}

// Active reports whether hosts tell their presence here.
func (r *Registry) Active(now time.Time) bool { return now.Sub(r.lastHeartbeat) <= registrarTimeout }

// Due returns the hosts to enter now, and the entries to remove, by the newest
// list.
func (r *Registry) Due(now time.Time, list *List) (enter, remove []Host) {
	if !r.Active(now) {
		return nil, nil
	}
	for _, h := range r.hosts {
		wait := joinBatchDelay + time.Duration(h.rank)*rankDelay
		if now.Sub(h.lastHeard) > registrarTimeout || now.Sub(h.firstHeard) < wait || now.Sub(h.triedAt) < joinRetryDelay {
			continue
		}
		// A listed life that is later belongs to a host whose clock was set
		// back, or this one has ended: the host itself knows, and enters itself.
		if listed, ok := list.Host(h.Name); !ok || listed.Incarnation < h.Incarnation {
			h.triedAt = now
			enter = append(enter, h.Host)
		}
	}
	slices.SortFunc(enter, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return enter, r.silentHosts(now, list, maxSilence+time.Duration(r.rank)*rankDelay)
}

// silentHosts returns the listed hosts of the zone that were not heard for so long.
func (r *Registry) silentHosts(now time.Time, list *List, most time.Duration) []Host {
	if now.Sub(r.activeSince) < most {
		return nil // it has not listened for long enough
	}
	var out []Host
	listed, heard := 0, 0
	for _, h := range list.Hosts {
		if h.Zone != r.zone {
			continue
		}
		listed++
		p := r.hosts[h.Name]
		if p != nil && now.Sub(p.lastHeard) <= most {
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
