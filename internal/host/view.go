package host

import (
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/evacuation"
	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/traffic"
)

// view is an immutable snapshot of the state that requests are routed by.
type view struct {
	// routes is nil until the first configuration arrives.
	routes   *traffic.Table
	revision uint64 // store revision of the configuration
	// era is the latest store era of any list of hosts.
	era      platform.Era
	configAt time.Time
	// listVersion changes with each new list of hosts or targets, fleetVersion with
	// each new list of targets.
	listVersion, fleetVersion uint64
	targets                   map[place.Target]place.TargetRow
	services                  map[key.Service][]place.TargetRow
	// leaving maps the listed targets that are leaving to the time at which this host read
	// that.
	leaving map[place.Target]time.Time
	// departed holds the recently removed targets.
	departed map[place.Target]departedTarget
	// evacuation holds the evacuated zones, remaining the targets outside them, and
	// nearZones the zone that this host uses in place of its own if that is evacuated.
	evacuation evacuation.State
	remaining  map[key.Service][]place.TargetRow
	nearZones  map[key.Service]place.Zone
	// awaitsEvacuations is set while requests wait for the first list of evacuated zones.
	awaitsEvacuations bool

	members member.List
	tables  map[key.Service]*owner.Table
	tableAt map[key.Service]time.Time
	// regions holds the region of each zone, split the keyless services that have one pool per
	// zone because of routes with regions.
	regions regionMap
	split   map[key.Service]bool
	// replaced is closed when a newer view is in force.
	replaced chan struct{}

	rankCache *rankCache
}

// rankCache caches the ranked homes of each pool and the ranked leader candidates of
// each service. It is valid for one version of the lists.
type rankCache struct {
	mu      sync.Mutex
	pools   map[dispatch.PoolID][]place.Host
	leaders map[key.Service][]place.Host
	// connections holds the hosts that share their connections to a target.
	connections map[place.Target]place.Host
}

func newRankCache() *rankCache {
	return &rankCache{
		pools: make(map[dispatch.PoolID][]place.Host), leaders: make(map[key.Service][]place.Host), connections: make(map[place.Target]place.Host),
	}
}

// maxSinglePool is the largest number of targets of a keyless service that form a
// single pool, so that its home balances over all zones. Larger services have one pool
// per zone.
const maxSinglePool = 48

// pool returns the pool that a host of the zone uses for a keyless service.
func (v *view) pool(service key.Service, zone place.Zone) dispatch.PoolID {
	id := dispatch.PoolID{Service: service}
	rows := v.services[service]
	if !v.hasPoolPerZone(service) {
		return id
	}
	if v.evacuation.Contains(zone) {
		id.Zone = v.nearZones[service]
		return id
	}
	for _, row := range rows {
		if row.Zone == zone && row.State == place.Live {
			id.Zone = zone
			break
		}
	}
	return id
}

// hasZonePools reports whether a pool has all targets of a service of which other hosts
// use one pool per zone.
func (v *view) hasZonePools(pool dispatch.PoolID) bool {
	return pool.Target == "" && pool.Zone == "" && v.hasPoolPerZone(pool.Service)
}

// isLeaving reports whether a target is listed as leaving, is in an evacuated zone, or was
// removed recently. A home that has not seen the change yet may still assign its slots.
func (v *view) isLeaving(name place.Target) bool {
	if row, ok := v.targets[name]; ok {
		return row.State == place.Leaving || v.evacuation.Contains(row.Zone)
	}
	_, gone := v.departed[name]
	return gone
}

// knownTarget returns the row of a target that is listed or was removed recently.
func (v *view) knownTarget(name place.Target) (place.TargetRow, bool) {
	if row, ok := v.targets[name]; ok {
		return row, true
	}
	gone, ok := v.departed[name]
	return gone.TargetRow, ok
}

// Members implements dispatch.Catalog.
func (v *view) Members(pool dispatch.PoolID) []place.TargetRow {
	if pool.Target != "" {
		row, ok := v.targets[pool.Target]
		if !ok {
			return nil
		}
		// A range stays with its owner until the routing table changes, even while the
		// owner is leaving.
		row.State = place.Live
		return []place.TargetRow{row}
	}
	var out []place.TargetRow
	for _, row := range v.services[pool.Service] {
		if pool.Zone == "" || row.Zone == pool.Zone {
			if v.evacuation.Contains(row.Zone) {
				row.State = place.Leaving
			}
			out = append(out, row)
		}
	}
	return out
}

// ranked returns the hosts that can be the home of a pool, best first, and self as the
// last resort.
func (v *view) ranked(pool dispatch.PoolID, self place.Host) []place.Host {
	v.rankCache.mu.Lock()
	defer v.rankCache.mu.Unlock()
	if out, ok := v.rankCache.pools[pool]; ok {
		return out
	}
	zone := pool.Zone
	if pool.Target != "" {
		zone = v.targets[pool.Target].Zone
	}
	hosts := v.members.Hosts
	if zone != "" {
		hosts = nil
		for _, h := range v.members.Hosts {
			if h.Zone == zone {
				hosts = append(hosts, h)
			}
		}
	}
	const candidates = 4
	rankKey := string(pool.Service) + "/" + string(pool.Zone) + "/" + string(pool.Target)
	out := member.Rank(rankKey, hosts)
	out = append(out[:min(len(out), candidates):min(len(out), candidates)], self)
	v.rankCache.pools[pool] = out
	return out
}

// candidates returns the hosts that can lead a service, best first.
func (v *view) candidates(service key.Service) []place.Host {
	v.rankCache.mu.Lock()
	defer v.rankCache.mu.Unlock()
	out, ok := v.rankCache.leaders[service]
	if !ok {
		out = member.RankLeaders(string(rangesPath(service)), v.members.Hosts)
		v.rankCache.leaders[service] = out
	}
	return out
}

// viewBuilder builds views from the documents of the replica.
type viewBuilder struct {
	replica      *docsync.MemoryReplica
	log          *slog.Logger
	decodeConfig func([]byte) (*traffic.Config, error)

	// self is this host. evacuationLimits returns the limits of evacuations; nil if there
	// are none.
	self             place.Host
	evacuationLimits func() evacuation.Limits

	mu      sync.Mutex
	current *view
	// contact tells when this host was in touch with others; heard is set if the present
	// refresh has found a newer document.
	contact evacuation.Contact
	heard   bool
	// configuredAt is when the first configuration was in force.
	configuredAt time.Time
	// emptyZones are the evacuated zones without targets.
	emptyZones map[place.Zone]bool
	tracker    *fleet.Tracker
	// listed is the last list of targets and its era, services the configuration by whose
	// services the tracker got it.
	listed    fleet.List
	listedEra platform.Era
	services  *traffic.Table
	// unconfigured holds the services of the entries that the tracker did not get.
	unconfigured map[place.Target]string
	readVersions map[docsync.Name]docsync.Version
	// published are the routing tables received from leaders.
	published map[key.Service]publishedTable
	// stored are the ownership documents read from the store.
	stored map[key.Service]*storedOwners
}

// storedOwners is the ownership document of a service as read from the store. It
// changes with each move, so it is decoded only when no table was received from a
// leader for a while.
type storedOwners struct {
	docsync.Document

	// table is the routing table derived from the document. If decoding fails, it is
	// the table of the previous document.
	table   *owner.Table
	decoded bool
}

// revision returns the store revision of the document.
func (s *storedOwners) revision() platform.Revision { return platform.Revision(s.Version.Major) }

// publishedTable is a leader's routing table and the time of its arrival.
type publishedTable struct {
	*owner.Table

	receivedAt time.Time
}

// maxTableAge is the age after which a leader's table is replaced by a newer document
// of the store. Leaders publish at least once a second.
const maxTableAge = 2500 * time.Millisecond

func newViewBuilder(documents *docsync.MemoryReplica, log *slog.Logger, decode func([]byte) (*traffic.Config, error)) *viewBuilder {
	return &viewBuilder{
		replica: documents, log: log, decodeConfig: decode,
		tracker:      fleet.NewTracker(),
		readVersions: make(map[docsync.Name]docsync.Version),
		published:    make(map[key.Service]publishedTable),
		stored:       make(map[key.Service]*storedOwners),
		current: &view{
			targets: map[place.Target]place.TargetRow{}, services: map[key.Service][]place.TargetRow{},
			tables: map[key.Service]*owner.Table{}, tableAt: map[key.Service]time.Time{},
			replaced: make(chan struct{}), rankCache: newRankCache(),
		},
	}
}

// view returns the view in force.
func (v *viewBuilder) view() *view {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.current
}

// refresh reads new documents from the replica and removes expired targets. It reports
// whether it put a new view in force.
func (v *viewBuilder) refresh(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current
	changed := v.readConfig(now, &next)
	listed := v.readMembers(&next)
	listed = v.readTargets(now, &next) || listed
	listed = v.readEvacuations(now, &next) || listed
	changed = v.readTables(now, &next) || changed
	v.observeContact(now)
	if !changed && !listed {
		return false
	}
	next.split = next.splitServices()
	next.replaced = make(chan struct{})
	if listed {
		v.applyEvacuations(&next)
		next.rankCache = newRankCache()
		next.listVersion++
	}
	old := v.current
	v.current = &next
	close(old.replaced)
	return true
}

// untilExpiry returns the time until something in the view may expire. No host may use
// a target later than two seconds after its removal, so the check can't wait for the
// next regular one.
func (v *viewBuilder) untilExpiry(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.tracker.NextChange()
	if v.current.awaitsEvacuations {
		at = v.configuredAt.Add(maxEvacuationsWait)
	}
	if at.IsZero() {
		return maxExpiryCheckInterval
	}
	return min(max(at.Sub(now), 0), maxExpiryCheckInterval)
}

// newer returns the document and whether it is newer than the version read last.
func (v *viewBuilder) newer(name docsync.Name) (docsync.Document, bool) {
	doc, ok := v.replica.Get(name)
	if !ok || !v.readVersions[name].Less(doc.Version) {
		return doc, false
	}
	v.readVersions[name], v.heard = doc.Version, true
	return doc, true
}

func (v *viewBuilder) readConfig(now time.Time, next *view) bool {
	doc, ok := v.newer(docTraffic)
	if !ok {
		return false
	}
	config, err := v.decodeConfig(doc.Body)
	if err != nil {
		v.log.Error("Configuration not decodable, keeping the last one.",
			slog.Uint64("revision", doc.Version.Minor), slog.Any("error", err))
		return false
	}
	if next.routes != nil && config.Version < next.routes.Config().Version {
		v.log.Warn("Older configuration ignored.", slog.Uint64("revision", doc.Version.Minor),
			slog.Uint64("version", uint64(config.Version)), slog.Uint64("inforce", uint64(next.routes.Config().Version)))
		return false
	}
	next.routes, next.revision, next.configAt = traffic.NewTable(config), doc.Version.Minor, now
	v.log.Info("Configuration in force.", slog.Uint64("version", uint64(config.Version)),
		slog.Uint64("revision", doc.Version.Minor), slog.Int("routes", len(config.Routes)), slog.Int("services", len(config.Services)))
	return true
}

func (v *viewBuilder) readMembers(next *view) bool {
	doc, ok := v.newer(docMembers)
	if !ok {
		return false
	}
	list, err := member.DecodeList(doc.Body)
	if err != nil {
		v.log.Error("List of hosts not decodable, keeping the last one.", slog.Any("error", err))
		return false
	}
	next.era = max(next.era, platform.Revision(doc.Version.Major).Era())
	v.logMembers(next.members, list, doc.Version.Major)
	next.members = list
	return true
}

// logMembers logs each host that joined or left. The first list gets a single line, as
// it may have thousands of hosts.
func (v *viewBuilder) logMembers(old, list member.List, revision uint64) {
	if len(old.Hosts) == 0 && len(list.Hosts) > 0 {
		v.log.Info("First list of hosts received.", slog.Int("hosts", len(list.Hosts)), slog.Uint64("revision", revision))
		return
	}
	for _, h := range list.Hosts {
		if was, ok := old.Host(h.Name); !ok || was.Incarnation != h.Incarnation {
			v.log.Info("Host joined or restarted.", slog.String("host", string(h.Name)), slog.Uint64("life", uint64(h.Incarnation)),
				slog.Uint64("revision", revision))
		}
	}
	for _, h := range old.Hosts {
		if _, ok := list.Host(h.Name); !ok {
			v.log.Info("Host removed.", slog.String("host", string(h.Name)), slog.Uint64("revision", revision))
		}
	}
}

func (v *viewBuilder) readTargets(now time.Time, next *view) bool {
	doc, ok := v.newer(docTargets)
	if ok {
		list, err := fleet.Decode(doc.Body)
		if err != nil {
			v.log.Error("List of targets not decodable, keeping the last one.", slog.Any("error", err))
			return false
		}
		v.listed, v.listedEra = list, platform.Revision(doc.Version.Major).Era()
	}
	if ok || !sameServices(v.services, next.routes) {
		v.services = next.routes
		v.tracker.Update(now, v.configuredTargets(doc.Version.Major), v.listedEra)
	} else if at := v.tracker.NextChange(); at.IsZero() || now.Before(at) {
		return false
	}
	rows := v.tracker.Rows(now)
	targets := make(map[place.Target]place.TargetRow, len(rows))
	services := make(map[key.Service][]place.TargetRow)
	for _, row := range rows {
		targets[row.Target] = row
		service := key.Service(row.Service)
		services[service] = append(services[service], row)
	}
	v.logTargets(next.targets, targets, doc.Version.Major)
	next.fleetVersion++
	next.leaving, next.departed = v.tracker.Leaving(), departures(now, next, targets)
	next.targets, next.services = targets, services
	return true
}

// configuredTargets returns the last list without the targets of services that are not
// configured: other writers leave entries among those of the targets. Before the first
// configuration it returns the whole list.
func (v *viewBuilder) configuredTargets(revision uint64) fleet.List {
	if v.services == nil {
		return v.listed
	}
	out, unconfigured := v.listed, make(map[place.Target]string)
	out.Targets = nil
	for _, row := range v.listed.Targets {
		if v.services.Service(key.Service(row.Service)) != nil {
			out.Targets = append(out.Targets, row)
			continue
		}
		unconfigured[row.Target] = row.Service
		if v.unconfigured[row.Target] != row.Service {
			v.log.Warn("Target entry of a service that is not configured, left out.", slog.String("target", string(row.Target)),
				slog.String("service", row.Service), slog.Uint64("revision", revision))
		}
	}
	v.unconfigured = unconfigured
	return out
}

// sameServices reports whether two configurations, each nil for none, have the same services.
func sameServices(a, b *traffic.Table) bool {
	if a == b || a == nil || b == nil {
		return a == b
	}
	services := a.Config().Services
	return len(services) == len(b.Config().Services) &&
		!slices.ContainsFunc(services, func(s traffic.Service) bool { return b.Service(s.Name) == nil })
}

// departedTTL is how long removed targets are remembered. It is far longer than the
// lists of two hosts differ.
const departedTTL = 20 * time.Second

// departedTarget is a target that was removed.
type departedTarget struct {
	place.TargetRow

	removedAt time.Time
}

// departures returns the recently removed targets, given the targets that are listed
// now.
func departures(now time.Time, v *view, targets map[place.Target]place.TargetRow) map[place.Target]departedTarget {
	out := make(map[place.Target]departedTarget)
	for name, gone := range v.departed {
		if _, listed := targets[name]; !listed && now.Sub(gone.removedAt) < departedTTL {
			out[name] = gone
		}
	}
	for name, row := range v.targets {
		if _, listed := targets[name]; !listed {
			out[name] = departedTarget{row, now}
		}
	}
	return out
}

// logTargets logs each target whose state changed. The first list gets a single line.
func (v *viewBuilder) logTargets(old, now map[place.Target]place.TargetRow, revision uint64) {
	if len(old) == 0 && len(now) > 0 {
		v.log.Info("First list of targets received.", slog.Int("targets", len(now)), slog.Uint64("revision", revision))
		return
	}
	for name, row := range now {
		if was, ok := old[name]; !ok || was.State != row.State || was.Incarnation != row.Incarnation {
			v.log.Info("Target added or changed.", slog.String("target", string(name)), slog.String("service", row.Service),
				slog.String("state", row.State.String()), slog.String("zone", string(row.Zone)), slog.Uint64("revision", revision))
		}
	}
	for name, row := range old {
		if _, ok := now[name]; !ok {
			v.log.Info("Target removed.", slog.String("target", string(name)), slog.String("service", row.Service),
				slog.Uint64("revision", revision))
		}
	}
}

// readTables reads newer routing tables of leaders and newer ownership documents of the
// store, and chooses the table of each service.
func (v *viewBuilder) readTables(now time.Time, next *view) bool {
	for _, doc := range v.replica.List(docRanges) {
		doc, ok := v.newer(doc.Name)
		if !ok {
			continue
		}
		table, err := owner.DecodeTable(doc.Body)
		if err != nil {
			v.log.Error("Routing table not decodable, keeping the last one.", slog.String("document", string(doc.Name)), slog.Any("error", err))
			continue
		}
		v.published[table.Service] = publishedTable{table, now}
	}
	for _, doc := range v.replica.List(docOwners) {
		doc, ok := v.newer(doc.Name)
		if !ok {
			continue
		}
		service := key.Service(doc.Name[len(docOwners):])
		next := &storedOwners{Document: doc}
		if last := v.stored[service]; last != nil {
			next.table = last.table
		}
		v.stored[service] = next
	}
	changed := false
	for service := range v.tableServices() {
		table, at := v.chooseTable(now, service)
		if table == next.tables[service] {
			continue
		}
		if !changed {
			next.tables, next.tableAt = maps.Clone(next.tables), maps.Clone(next.tableAt)
			changed = true
		}
		next.tables[service], next.tableAt[service] = table, at
	}
	return changed
}

// tableServices returns the services that have a published or stored table.
func (v *viewBuilder) tableServices() map[key.Service]bool {
	out := make(map[key.Service]bool, len(v.published))
	for service := range v.published {
		out[service] = true
	}
	for service := range v.stored {
		out[service] = true
	}
	return out
}

// chooseTable returns the table to use for a service now, and the time from which its
// age counts.
func (v *viewBuilder) chooseTable(now time.Time, service key.Service) (*owner.Table, time.Time) {
	received, stored := v.published[service], v.stored[service]
	// Use the store's document where there is no leader's table, or where the leader's
	// is old and the owners have changed since.
	if stored != nil && (received.Table == nil || now.Sub(received.receivedAt) >= maxTableAge && stored.revision() > received.DocRevision) {
		if table := v.decodeOwners(stored); table != nil {
			return table, now
		}
	}
	return received.Table, received.receivedAt
}

// decodeOwners returns the routing table derived from an ownership document. If
// decoding fails, it returns the previous table, which may be nil.
func (v *viewBuilder) decodeOwners(s *storedOwners) *owner.Table {
	if s.decoded {
		return s.table
	}
	s.decoded = true
	d, err := owner.DecodeDoc(s.Body)
	if err != nil {
		v.log.Error("Ownership document not decodable, keeping the last one.", slog.String("document", string(s.Name)), slog.Any("error", err))
		return s.table
	}
	s.table = owner.TableFromDoc(&d, s.revision())
	return s.table
}
