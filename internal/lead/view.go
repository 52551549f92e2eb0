package lead

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/custody"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/settings"
)

// view holds the latest settings, fleet list and custody documents of the replica,
// decoded. Its methods are pure: lead processes with the same documents derive the same
// events for a cell.
type view struct {
	settings *settings.Settings
	// settingsSince is the time since which these settings are in force here.
	settingsSince time.Time
	fleet         platform.Fleet
	custody       map[key.Service]custodyDoc
}

// custodyDoc is a custody document with its store revision.
type custodyDoc struct {
	custody.Doc
	revision platform.Revision
}

// services returns the services that have a cell in the zone: those whose settings list
// the zone or list none, and those for which the zone has, or is about to get, custody of
// a shard.
func (v *view) services(zone place.Zone) []settings.Service {
	return slices.DeleteFunc(v.allServices(), func(s settings.Service) bool {
		included := len(s.Zones) == 0 || slices.Contains(s.Zones, zone)
		return !included && v.custody[s.Name].CountByZone()[zone] == 0 && len(v.custody[s.Name].Outgoing(zone)) == 0
	})
}

// allServices returns all services of the settings, or nil before the first settings.
func (v *view) allServices() []settings.Service {
	if v.settings == nil {
		return nil
	}
	return slices.Clone(v.settings.Services)
}

// shards returns the number of hash-range shards of a service. Once there is a custody
// document, its number counts: a service that was deleted and created again with another
// number of shards keeps the old number, as the epochs depend on it.
func (v *view) shards(s settings.Service) key.ShardCount {
	if n := len(v.custody[s.Name].Rows); n > 0 {
		return key.ShardCount(n)
	}
	if s.Shards == 0 {
		return key.DefaultShardCount
	}
	return s.Shards
}

// hosts returns the entry hosts of a zone.
func (v *view) hosts(zone place.Zone) []place.HostRow {
	var out []place.HostRow
	for _, h := range v.fleet.Hosts {
		if h.Zone == zone {
			out = append(out, h)
		}
	}
	return out
}

// targets returns the targets of a service in a zone, sorted by name: those in the fleet
// list, and those that only the settings list.
func (v *view) targets(s settings.Service, zone place.Zone) []place.TargetRow {
	var out []place.TargetRow
	for _, t := range v.fleet.Targets {
		if t.Service == string(s.Name) && t.Zone == zone {
			out = append(out, t)
		}
	}
	for _, t := range s.Targets {
		if t.Zone != zone || containsTarget(out, t.Target) {
			continue
		}
		out = append(out, place.TargetRow{Target: t.Target, Service: string(s.Name), Zone: zone, Addr: t.Addr})
	}
	slices.SortFunc(out, func(a, b place.TargetRow) int { return cmp.Compare(a.Target, b.Target) })
	return out
}

// containsTarget reports whether the rows include the target.
func containsTarget(rows []place.TargetRow, name place.Target) bool {
	return slices.ContainsFunc(rows, func(r place.TargetRow) bool { return r.Target == name })
}

// drainedTargets returns the targets among the given ones that an operator drains.
func (v *view) drainedTargets(targets []place.TargetRow) []place.Target {
	var out []place.Target
	for _, t := range targets {
		if v.targetDrained(t.Target) {
			out = append(out, t.Target)
		}
	}
	return out
}

// targetDrained reports whether an operator drains the target by name. The drain of a whole
// zone does not count: its shards are transferred to other zones through custody.
func (v *view) targetDrained(target place.Target) bool {
	return slices.ContainsFunc(v.settings.Drains, func(d settings.Drain) bool {
		return d.Target != "" && d.Target == target
	})
}

// zoneDrained reports whether an operator drains a whole zone.
func (v *view) zoneDrained(zone place.Zone) bool {
	return slices.ContainsFunc(v.settings.Drains, func(d settings.Drain) bool {
		return d.Target == "" && d.Zone == zone
	})
}

// zoneLoss returns the loss declaration for a whole zone, and whether there is one.
func (v *view) zoneLoss(zone place.Zone) (settings.Loss, bool) {
	i := slices.IndexFunc(v.settings.Losses, func(l settings.Loss) bool {
		return l.Zone == zone && l.Target == "" && l.Host == ""
	})
	if i < 0 {
		return settings.Loss{}, false
	}
	return v.settings.Losses[i], true
}

// zoneExcluded reports whether a zone gets no custody because it is drained or declared
// lost.
func (v *view) zoneExcluded(zone place.Zone) bool {
	_, lost := v.zoneLoss(zone)
	return lost || v.zoneDrained(zone)
}

// losses returns the loss declarations for single targets and hosts.
func (v *view) losses() []cell.LossDeclaration {
	var out []cell.LossDeclaration
	for _, l := range v.settings.Losses {
		if l.Target == "" && l.Host == "" {
			continue
		}
		out = append(out, cell.LossDeclaration{Target: l.Target, Host: l.Host, By: l.By, Reason: l.Reason})
	}
	return out
}

// weights returns the weight of each zone of a service in the assignment of shards: the
// number of its usable targets, or zero for a zone that is drained or declared lost.
func (v *view) weights(s settings.Service) []custody.ZoneTargets {
	zones := v.zones(s)
	out := make([]custody.ZoneTargets, 0, len(zones))
	for _, zone := range zones {
		w := custody.ZoneTargets{Zone: zone}
		if !v.zoneExcluded(zone) {
			w.Targets = v.usableTargets(s, zone)
		}
		out = append(out, w)
	}
	return out
}

// weightsWithout returns the weights of all zones of a service but one.
func (v *view) weightsWithout(s settings.Service, zone place.Zone) []custody.ZoneTargets {
	return slices.DeleteFunc(v.weights(s), func(w custody.ZoneTargets) bool { return w.Zone == zone })
}

// usableTargets counts the targets of a service in a zone that may own shards: live and
// not drained.
func (v *view) usableTargets(s settings.Service, zone place.Zone) int {
	n := 0
	for _, t := range v.targets(s, zone) {
		if t.State == place.Live && !v.targetDrained(t.Target) {
			n++
		}
	}
	return n
}

// zones returns the zones of a service, sorted by name: those in its settings, or else all
// in which the fleet list has targets of it.
func (v *view) zones(s settings.Service) []place.Zone {
	zones := slices.Clone(s.Zones)
	if len(zones) == 0 {
		for _, t := range v.fleet.Targets {
			if t.Service == string(s.Name) {
				zones = append(zones, t.Zone)
			}
		}
	}
	slices.Sort(zones)
	return slices.Compact(zones)
}

// events returns the events that bring the cell of cfg up to date with the view, in the
// order in which the cell must receive them.
func (v *view) events(cfg cell.Config, s settings.Service) []cell.Event {
	targets := v.targets(s, cfg.ID.Zone)
	events := []cell.Event{
		cell.ConfigChanged{Config: cfg},
		cell.FleetReceived{Hosts: v.hosts(cfg.ID.Zone), Targets: targets},
		cell.DrainsReceived{Targets: v.drainedTargets(targets)},
		cell.LossesDeclared{Losses: v.losses()},
	}
	if doc, ok := v.custody[s.Name]; ok {
		events = append(events, cell.CustodyReceived{Revision: doc.revision, Shards: doc.OwnableBy(cfg.ID.Zone)})
	}
	return events
}
