package member

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// Presence is what a host tells its registrars, again and again.
type Presence struct {
	Host Host
	// Turn is the place of the registrar that is told, from 0 on: the first one
	// acts at once, the others in case it does not.
	Turn int
}

// Registry decides, at a host that others tell their presence, which of them
// are entered in the store and which entries are removed. Entries need no
// session: what the store is asked for grows with the hosts that come and go,
// not with those that are there. It is not safe for concurrent use.
type Registry struct {
	zone  place.Zone
	hosts map[place.Host]*present
	// since is when this host was first told of late, told when last, turn its
	// place then. Watchers have the same place for all hosts of their zone.
	since, told time.Time
	turn        int
}

// present is a host that was heard.
type present struct {
	Host

	// since is when this life was first heard, heard when last, and turn the place
	// that this host had then.
	since, heard time.Time
	turn         int
	// triedAt is when it was last to be entered.
	triedAt time.Time
}

const (
	// PresenceInterval is the time between two presences of a host.
	PresenceInterval = time.Second
	// EnterInterval is that of a host that is not listed yet.
	EnterInterval = 300 * time.Millisecond
	// enterGather is how long a new host waits for others to be entered with:
	// hosts start within a few hundred milliseconds of each other.
	enterGather = 150 * time.Millisecond
	// enterAgain is the time after which a host that was to be entered should be
	// in the list: a write, a read of the store, and the way to here.
	enterAgain = 2 * time.Second
	// turnStep is the head start of each registrar over the next one.
	turnStep = time.Second
	// silenceMost is how long a host may not be heard before its entry is
	// removed: a restart takes a second or two, a freeze some seconds.
	silenceMost = 6 * time.Second
	// idleMost is how long after the last presence this host still counts as a
	// registrar.
	idleMost = 3 * PresenceInterval
	// heardLeast is the share of its zone's hosts that a registrar must hear to
	// remove any: one that hears fewer is probably cut off itself.
	heardLeast = 0.5
)

// NewRegistry returns the registry of a host in the zone.
func NewRegistry(zone place.Zone) *Registry {
	return &Registry{zone: zone, hosts: make(map[place.Host]*present)}
}

// Hear takes a presence.
func (r *Registry) Hear(now time.Time, p Presence) {
	if !r.Told(now) {
		r.since = now
		clear(r.hosts)
	}
	r.told, r.turn = now, p.Turn
	h := r.hosts[p.Host.Name]
	if h == nil || h.Life != p.Host.Life {
		h = &present{since: now}
		r.hosts[p.Host.Name] = h
	}
	h.Host, h.heard, h.turn = p.Host, now, p.Turn
}

// Told reports whether hosts tell their presence here.
func (r *Registry) Told(now time.Time) bool { return now.Sub(r.told) <= idleMost }

// Due returns the hosts to enter now, and the entries to remove, by the newest
// list.
func (r *Registry) Due(now time.Time, list *List) (enter, remove []Host) {
	if !r.Told(now) {
		return nil, nil
	}
	for _, h := range r.hosts {
		wait := enterGather + time.Duration(h.turn)*turnStep
		if now.Sub(h.heard) > idleMost || now.Sub(h.since) < wait || now.Sub(h.triedAt) < enterAgain {
			continue
		}
		// A listed life that is later belongs to a host whose clock was set
		// back, or this one has ended: the host itself knows, and enters itself.
		if listed, ok := list.Host(h.Name); !ok || listed.Life < h.Life {
			h.triedAt = now
			enter = append(enter, h.Host)
		}
	}
	slices.SortFunc(enter, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	return enter, r.silent(now, list, silenceMost+time.Duration(r.turn)*turnStep)
}

// silent returns the listed hosts of the zone that were not heard for so long.
func (r *Registry) silent(now time.Time, list *List, most time.Duration) []Host {
	if now.Sub(r.since) < most {
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
		if p != nil && now.Sub(p.heard) <= most {
			heard++
			continue
		}
		out = append(out, h)
	}
	if float64(heard) < heardLeast*float64(listed) {
		return nil
	}
	return out
}
