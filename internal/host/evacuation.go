package host

import (
	"bytes"
	"log/slog"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/evacuation"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/outcome"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/site"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/traffic"
)

// docEvacuations is the document with the evacuated zones.
const docEvacuations docsync.Name = "evacuations"

const (
	// provisionalVersion is the version of a document from a watcher that knows none before
	// it. It may lack what a restore of the store has lost, so that any other one replaces it.
	provisionalVersion = 1
	// maxEvacuationsWait is how long after its first configuration a host waits for the
	// document. Peers of an older build have none.
	maxEvacuationsWait = time.Second
	// evacuatedRetryAfter is the Retry-After hint while all targets of a service are in
	// evacuated zones. An operator ends that, so no estimate is better.
	evacuatedRetryAfter = time.Second
)

// evacuationLimits returns the limits of evacuations under the bounds.
func evacuationLimits(b *site.Bounds) evacuation.Limits {
	return evacuation.Limits{Bound: b.Evacuate, ReadLag: listLag, Margin: drainSafetyMargin, MaxGap: maxPublishInterval}
}

// publishEvacuations publishes the evacuations that were read at a revision of the store.
func (w *watcher) publishEvacuations(revision platform.Revision, entries []platform.Entry) {
	if w.evacuates == nil || !w.evacuates() {
		return
	}
	last, exists := w.replica.Get(docEvacuations)
	if exists && uint64(revision) < last.Version.Major {
		return
	}
	var known evacuation.Document
	if exists {
		var err error
		if known, err = evacuation.Decode(last.Body); err != nil {
			w.log.Error("Evacuations not decodable, reading them anew.", slog.Any("error", err))
		}
	}
	valid, invalid := evacuation.ParseEntries(entries)
	for _, e := range invalid {
		if w.rejected[e.Path] != e.Revision {
			w.rejected[e.Path] = e.Revision
			w.log.Warn("Evacuation with an invalid zone, ignored.", slog.Int("bytes", len(e.Path)), slog.Uint64("revision", uint64(e.Revision)))
		}
	}
	next := known.Next(revision.Era(), valid)
	body, err := next.Encode()
	if err != nil {
		w.log.Error("Evacuations not encoded, keeping the last ones.", slog.Any("error", err))
		return
	}
	version := docsync.Version{Major: uint64(revision)}
	switch {
	case !exists:
		version.Major = provisionalVersion
	case last.Version.Major != provisionalVersion && bytes.Equal(last.Body, body):
		return
	}
	w.replica.PublishFromStore(docsync.Document{Name: docEvacuations, Version: version, Body: body})
}

// lacksEvacuations reports whether a watcher of an older build sent the digest: it has not
// read the evacuations.
func (w *watcher) lacksEvacuations(d *digest) bool {
	_, ok := d.versions[docEvacuations]
	return !ok && w.evacuates != nil && w.evacuates()
}

// limits returns the limits of evacuations, zero if there are none.
func (v *viewBuilder) limits() evacuation.Limits {
	if v.evacuationLimits == nil {
		return evacuation.Limits{}
	}
	return v.evacuationLimits()
}

// observeContact records whether the present refresh has found a newer document.
func (v *viewBuilder) observeContact(now time.Time) {
	if v.heard {
		v.contact.Heard(now, v.limits())
	}
	v.heard = false
}

// readEvacuations puts newer evacuations in force. It reports whether anything changed.
func (v *viewBuilder) readEvacuations(now time.Time, next *view) bool {
	limits := v.limits()
	changed := v.awaitEvacuations(now, limits, next)
	doc, newer := v.newer(docEvacuations)
	if limits.Bound <= 0 && next.evacuation.Known() {
		next.evacuation = evacuation.State{}
		return true
	}
	if limits.Bound <= 0 || doc.Body == nil || !newer && next.evacuation.Limits() == limits {
		return changed
	}
	d, err := evacuation.Decode(doc.Body)
	if err != nil {
		v.log.Error("Evacuations not decodable, keeping the last ones.", slog.Any("error", err))
		return changed
	}
	old := next.evacuation
	next.evacuation = old.Apply(now, v.contact.From(now, limits), limits, &d)
	v.logEvacuations(now, old, next, doc.Version.Major)
	return v.awaitEvacuations(now, limits, next) || changed || !old.Known() || old.Limits() != limits || !slices.Equal(old.Zones(), next.evacuation.Zones())
}

// awaitEvacuations updates whether requests wait for the first document, and reports
// whether that changed.
func (v *viewBuilder) awaitEvacuations(now time.Time, limits evacuation.Limits, next *view) bool {
	if next.routes != nil && v.configuredAt.IsZero() {
		v.configuredAt = now
	}
	awaits := limits.Bound > 0 && !next.evacuation.Known() && next.routes != nil && now.Sub(v.configuredAt) < maxEvacuationsWait
	changed := awaits != next.awaitsEvacuations
	next.awaitsEvacuations = awaits
	return changed
}

func (v *viewBuilder) logEvacuations(now time.Time, old evacuation.State, next *view, revision uint64) {
	for _, zone := range next.evacuation.Zones() {
		if old.Contains(zone) {
			continue
		}
		until, _ := next.evacuation.SendUntil(zone)
		v.log.Warn("Zone is evacuated.", slog.String("zone", string(zone)), slog.Uint64("revision", revision), millisAttr("left", until.Sub(now)))
	}
	for _, zone := range old.Zones() {
		if !next.evacuation.Contains(zone) {
			v.log.Warn("Evacuation of zone ended.", slog.String("zone", string(zone)), slog.Uint64("revision", revision))
		}
	}
}

// applyEvacuations derives from the targets and the evacuations which targets remain, and
// logs each evacuated zone without targets once.
func (v *viewBuilder) applyEvacuations(next *view) {
	next.remaining, next.nearZones = next.services, nil
	if !next.evacuation.Any() {
		v.emptyZones = nil
		return
	}
	next.remaining = make(map[key.Service][]place.TargetRow, len(next.services))
	next.nearZones = make(map[key.Service]place.Zone, len(next.services))
	populated := make(map[place.Zone]bool)
	for service, rows := range next.services {
		next.remaining[service] = next.evacuation.Filter(rows)
		next.nearZones[service] = next.evacuation.NearZone(v.self, rows)
		for _, row := range rows {
			populated[row.Zone] = true
		}
	}
	empty := make(map[place.Zone]bool)
	for _, zone := range next.evacuation.Zones() {
		if populated[zone] || len(next.targets) == 0 {
			continue
		}
		if empty[zone] = true; !v.emptyZones[zone] {
			v.log.Warn("Evacuated zone has no targets.", slog.String("zone", string(zone)))
		}
	}
	v.emptyZones = empty
}

// allEvacuated reports whether a service has targets, all in evacuated zones.
func (v *view) allEvacuated(service key.Service) bool {
	return v.evacuation.Any() && len(v.services[service]) > 0 && len(v.remaining[service]) == 0
}

// refuseEvacuated refuses a request for which there is no target outside evacuated zones, or
// whose owner is in one and gets no more requests.
func (j *job) refuseEvacuated(v *view, owner place.Target) step {
	j.host.metrics.countEvacuatedRefusal(j.service.Name)
	j.host.log.Info("Zone is evacuated, request not sent.", slog.String("request", j.request.ID),
		slog.String("service", string(j.service.Name)), slog.String("target", string(owner)), millisAttr("table", j.tableAge))
	if v.allEvacuated(j.service.Name) {
		return finishStep{outcome.NotRunFailure{Reason: outcome.Unreachable, RetryAfter: evacuatedRetryAfter}}
	}
	return finishStep{outcome.NotRunFailure{Reason: outcome.NoOwner, RetryAfter: j.successionWait()}}
}

// poolEvacuated reports whether the request was last sent to the pool of a zone that is
// evacuated now.
func (j *job) poolEvacuated(v *view) bool {
	return j.service.KeySpace == traffic.Keyless && v.evacuation.Contains(j.pool.Zone)
}

// notAfter returns the time after which the request is no longer sent to a target, zero for
// none.
func (j *job) notAfter(now time.Time, v *view, name place.Target) time.Time {
	var until time.Time
	if j.service.KeySpace == traffic.Ranged {
		until = j.sendUntil(now, v, name)
	} else if at, evacuated := v.evacuation.SendUntil(v.targets[name].Zone); evacuated {
		until = at
	}
	limits := evacuationLimits(j.host.bounds.Load())
	until = limits.NotAfter(now, until)
	if at := j.host.stops.until(now, j); !at.IsZero() && (until.IsZero() || at.Before(until)) {
		until = at
	}
	return until
}

// observeEvacuations logs once for each evacuated zone that none of its targets owns a range
// any more.
func (c *controller) observeEvacuations(v *view) {
	if !v.evacuation.Any() {
		c.evacuatedZones = nil
		return
	}
	done := make(map[place.Zone]bool)
	for _, zone := range v.evacuation.Zones() {
		if !c.evacuatedZones[zone] && c.core.OwnedIn(zone) > 0 {
			continue
		}
		if done[zone] = true; !c.evacuatedZones[zone] {
			c.log.Info("Evacuation of zone complete, no range is owned there.", slog.String("zone", string(zone)))
		}
	}
	c.evacuatedZones = done
}

// evacuations returns the evacuated zones for a report.
func (v *view) evacuations() []status.Evacuation {
	zones := v.evacuation.Zones()
	out := make([]status.Evacuation, 0, len(zones))
	for _, zone := range zones {
		row := status.Evacuation{Zone: string(zone)}
		row.Since, _ = v.evacuation.Since(zone)
		for _, t := range v.targets {
			if t.Zone == zone {
				row.Targets++
			}
		}
		for _, table := range v.tables {
			for _, span := range table.Spans {
				if span.Target != "" && v.targets[span.Target].Zone == zone {
					row.Ranges++
				}
			}
		}
		out = append(out, row)
	}
	return out
}
