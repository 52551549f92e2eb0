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

// view is what a lead process knows of the world beyond its cells: the newest
// settings, fleet list and custody documents on its board. Its methods are
// pure; every lead that has the same documents derives the same events.
type view struct {
	settings *settings.Settings
	// settingsSince is when these settings came into force here.
	settingsSince time.Time
	fleet         platform.Fleet
	custody       map[key.Service]custodyDoc
}

// custodyDoc is a custody document with its revision in the store.
type custodyDoc struct {
	custody.Doc
	revision platform.Revision
}

// services returns the services that the zone has a cell of: those that name
// it, and those that named it while it still has custody of some shard.
func (v *view) services(zone place.Zone) []settings.Service {
	return slices.DeleteFunc(v.allServices(), func(s settings.Service) bool {
		named := len(s.Zones) == 0 || slices.Contains(s.Zones, zone)
		return !named && v.custody[s.Name].CountByZone()[zone] == 0 && len(v.custody[s.Name].Outgoing(zone)) == 0
	})
}

// allServices returns all services.
func (v *view) allServices() []settings.Service {
	if v.settings == nil {
		return nil
	}
	return slices.Clone(v.settings.Services)
}

// shards returns the number of hash-range shards of a service. Once there is a
// custody document it is that document's: a service that was deleted and made
// anew with another number keeps the old one, as its epochs count on it.
func (v *view) shards(s settings.Service) key.ShardCount {
	if n := len(v.custody[s.Name].Rows); n > 0 {
		return key.ShardCount(n)
	}
	if s.Shards == 0 {
		return key.DefaultShardCount
	}
	return s.Shards
}

// hosts returns the entry hosts of the zone.
func (v *view) hosts(zone place.Zone) []place.HostRow {
	var out []place.HostRow
	for _, h := range v.fleet.Hosts {
		if h.Zone == zone {
			out = append(out, h)
		}
	}
	return out
}

// targets returns the targets of a service in a zone, by name: those of the
// fleet list and those that the settings name.
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

// containsTarget reports whether the rows name the target.
func containsTarget(rows []place.TargetRow, name place.Target) bool {
	return slices.ContainsFunc(rows, func(r place.TargetRow) bool { return r.Target == name })
}

// drainedTargets returns those of the targets that operators drain.
func (v *view) drainedTargets(targets []place.TargetRow) []place.Target {
	var out []place.Target
	for _, t := range targets {
		if v.targetDrained(t.Target) {
			out = append(out, t.Target)
		}
	}
	return out
}

// targetDrained reports whether an operator drains the target by its name. Of a
// drained zone the shards go to other zones through custody.
func (v *view) targetDrained(target place.Target) bool {
	return slices.ContainsFunc(v.settings.Drains, func(d settings.Drain) bool {
		return d.Target != "" && d.Target == target
	})
}

// zoneDrained reports whether an operator drains the whole zone.
func (v *view) zoneDrained(zone place.Zone) bool {
	return slices.ContainsFunc(v.settings.Drains, func(d settings.Drain) bool {
		return d.Target == "" && d.Zone == zone
	})
}

// zoneLoss returns the operators' declaration that a whole zone is lost.
func (v *view) zoneLoss(zone place.Zone) (settings.Loss, bool) {
	i := slices.IndexFunc(v.settings.Losses, func(l settings.Loss) bool {
		return l.Zone == zone && l.Target == "" && l.Host == ""
	})
	if i < 0 {
		return settings.Loss{}, false
	}
	return v.settings.Losses[i], true
}

// zoneExcluded reports whether a zone takes no custody: drained or lost.
func (v *view) zoneExcluded(zone place.Zone) bool {
	_, lost := v.zoneLoss(zone)
	return lost || v.zoneDrained(zone)
}

// losses returns the declared losses of single targets and hosts.
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

// weights returns the share of each zone of a service: its live targets, none
// where the zone is drained or lost.
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

// weightsWithout returns the shares as they are without one zone.
func (v *view) weightsWithout(s settings.Service, zone place.Zone) []custody.ZoneTargets {
	return slices.DeleteFunc(v.weights(s), func(w custody.ZoneTargets) bool { return w.Zone == zone })
}

// usableTargets counts the targets of a zone that may own shards.
func (v *view) usableTargets(s settings.Service, zone place.Zone) int {
	n := 0
	for _, t := range v.targets(s, zone) {
		if t.State == place.Live && !v.targetDrained(t.Target) {
			n++
		}
	}
	return n
}

// zones returns the zones of a service, by name.
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

// events returns what the cell of a service in a zone has to know, in the
// order in which it is handed over.
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
