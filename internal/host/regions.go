package host

import (
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/internal/traffic"
)

// regionMap holds the region of each zone.
type regionMap map[place.Zone]place.Region

func regionMapOf(s *site.Site) regionMap {
	out := maps.Clone(regionMap(s.Zones))
	if out == nil {
		out = make(regionMap)
	}
	if out[s.Zone] == "" {
		out[s.Zone] = s.Region
	}
	return out
}

// allows reports whether a zone may see a request of a route. A zone of an unknown region may
// not if the route has regions.
func (m regionMap) allows(r *traffic.Route, zone place.Zone) bool {
	if len(r.Regions) == 0 {
		return true
	}
	region := m[zone]
	return region != "" && slices.Contains(r.Regions, region)
}

// splitServices returns the keyless services that have one pool per zone since a route allows
// only some of their targets: a home can't be told which ones, as a request for a slot names
// only a few that it must not get.
func (v *view) splitServices() map[key.Service]bool {
	if v.routes == nil {
		return nil
	}
	out := make(map[key.Service]bool)
	for _, r := range v.routes.Config().Routes {
		if len(r.Regions) == 0 {
			continue
		}
		for _, d := range r.Destinations {
			if slices.ContainsFunc(v.services[d.Service], func(row place.TargetRow) bool { return !v.regions.allows(&r, row.Zone) }) {
				out[d.Service] = true
			}
		}
	}
	return out
}

// hasPoolPerZone reports whether the targets of a keyless service form one pool per zone.
func (v *view) hasPoolPerZone(service key.Service) bool {
	return len(v.services[service]) > maxSinglePool || v.split[service]
}

// allowedRows returns the targets of a service outside evacuated zones that may see a request
// of a route.
func (v *view) allowedRows(r *traffic.Route, service key.Service) []place.TargetRow {
	rows := v.remaining[service]
	if len(r.Regions) == 0 {
		return rows
	}
	return slices.DeleteFunc(slices.Clone(rows), func(row place.TargetRow) bool { return !v.regions.allows(r, row.Zone) })
}

// regionalPool returns the pool that a host of the zone uses for a request of a route to a
// keyless service: that of its own zone, or else that of the zone of a random target. It
// returns false if no live target may see the request.
func (v *view) regionalPool(r *traffic.Route, service key.Service, zone place.Zone) (dispatch.PoolID, bool) {
	if len(r.Regions) == 0 {
		return v.pool(service, zone), true
	}
	rows := slices.DeleteFunc(slices.Clone(v.allowedRows(r, service)), func(row place.TargetRow) bool { return row.State != place.Live })
	switch {
	case len(rows) == 0:
		return dispatch.PoolID{}, false
	case !v.split[service]:
		return v.pool(service, zone), true
	case !slices.ContainsFunc(rows, func(row place.TargetRow) bool { return row.Zone == zone }):
		zone = rows[rand.IntN(len(rows))].Zone
	}
	return dispatch.PoolID{Service: service, Zone: zone}, true
}

// mayReach reports whether a target may see the request. One that is not known may not if the
// route has regions.
func (j *job) mayReach(v *view, name place.Target) bool {
	if len(j.route.Regions) == 0 {
		return true
	}
	row, ok := v.knownTarget(name)
	return ok && v.regions.allows(j.route, row.Zone)
}

// mayPass reports whether a host may see the body of the request: the route allows its region,
// or it is in the region of this host, which is that of the client.
func (j *job) mayPass(m member.Host) bool {
	v := j.host.views.view()
	own := v.regions[j.host.site.Zone]
	return v.regions.allows(j.route, m.Zone) || m.Zone == j.host.site.Zone || own != "" && v.regions[m.Zone] == own
}

// outsideRegions refuses a request that no target in the regions of its route can serve now.
func (j *job) outsideRegions(name place.Target) step {
	j.host.metrics.countRegionRefusal(j.service.Name)
	j.host.log.Info("No target in the regions of the route, request not sent.", slog.String("request", j.request.ID),
		slog.String("route", string(j.route.Name)), slog.String("service", string(j.service.Name)), slog.String("target", string(name)))
	return finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: defaultRetryAfter}}
}

// resolveKeyless returns the pool of a request to a keyless service.
func (j *job) resolveKeyless(v *view) (dispatch.PoolID, place.Target, step) {
	pool, ok := v.regionalPool(j.route, j.service.Name, j.host.site.Zone)
	if !ok {
		return dispatch.PoolID{}, "", j.outsideRegions("")
	}
	return pool, "", nil
}
