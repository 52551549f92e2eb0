package host

import (
	"log/slog"
	"maps"
	"sync"
	"time"

	"citrontray.example/citrontray/internal/dispatch"
	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/fleet"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/member"
	"citrontray.example/citrontray/internal/owner"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
	"citrontray.example/citrontray/internal/traffic"
)

// view is all that requests are judged by at one moment. It is immutable.
type view struct {
	// routes is nil before the first configuration.
	routes   *traffic.Table
	revision uint64 // of the configuration, in the store
	// era is the latest of the store in any list.
	era      platform.Era
	configAt time.Time
	// listVersion numbers the lists of hosts and targets, fleet that of targets; they
	// rise with each change.
	listVersion, fleetVersion uint64
	targets                   map[place.Target]place.TargetRow
	services                  map[key.Service][]place.TargetRow
	// departed are the targets that went lately, with the time of it.
	departed map[place.Target]time.Time
	members  member.List
	tables   map[key.Service]*owner.Table
	tableAt  map[key.Service]time.Time
	// replaced is closed once a newer view is in force.
	replaced chan struct{}

	rankCache *rankCache
}

// rankCache caches the order of homes of each pool, and of candidates for the lead of
// each service, by one list of hosts and targets.
type rankCache struct {
	mu      sync.Mutex
	pools   map[dispatch.PoolID][]place.Host
	leaders map[key.Service][]place.Host
}

func newRankCache() *rankCache {
	return &rankCache{pools: make(map[dispatch.PoolID][]place.Host), leaders: make(map[key.Service][]place.Host)}
}

// maxSinglePool is the number of targets up to which a keyless service is one pool:
// its home then balances over all zones. Larger ones have a pool a zone.
const maxSinglePool = 48

// pool returns the pool of a request to a keyless service from a host of the
// zone.
func (v *view) pool(service key.Service, zone place.Zone) dispatch.PoolID {
	id := dispatch.PoolID{Service: service}
	rows := v.services[service]
	if len(rows) <= maxSinglePool {
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

// isLeaving reports whether a target was seen to leave or go. A home that has not
// heard of it yet may still give slots of it.
func (v *view) isLeaving(name place.Target) bool {
	if row, ok := v.targets[name]; ok {
		return row.State == place.Leaving
	}
	_, gone := v.departed[name]
	return gone
}

// Members implements dispatch.Catalog.
func (v *view) Members(pool dispatch.PoolID) []place.TargetRow {
	if pool.Target != "" {
		row, ok := v.targets[pool.Target]
		if !ok {
			return nil
		}
		// Its owner serves a range until the table says otherwise, also while
		// it leaves.
		row.State = place.Live
		return []place.TargetRow{row}
	}
	var out []place.TargetRow
	for _, row := range v.services[pool.Service] {
		if pool.Zone == "" || row.Zone == pool.Zone {
			out = append(out, row)
		}
	}
	return out
}

// ranked returns the hosts that may be the home of a pool, best first.
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
	work := string(pool.Service) + "/" + string(pool.Zone) + "/" + string(pool.Target)
	out := member.Rank(work, hosts)
	out = append(out[:min(len(out), candidates):min(len(out), candidates)], self)
	v.rankCache.pools[pool] = out
	return out
}

// candidates returns the hosts that may lead a service, best first.
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

// viewBuilder makes views of the board's documents.
type viewBuilder struct {
	replica      *docsync.MemoryReplica
	log          *slog.Logger
	decodeConfig func([]byte) (*traffic.Config, error)

	mu           sync.Mutex
	current      *view
	tracker      *fleet.Tracker
	readVersions map[docsync.Name]docsync.Version
	// published are the tables of leads, with the time of each.
	published map[key.Service]publishedTable
	// stored are the store's documents of owners.
	stored map[key.Service]*storedOwners
}

// storedOwners is a document of a service's owners, as the store holds it. It
// changes with each move, and is read where no lead has been heard for a while.
type storedOwners struct {
	docsync.Document

	// table is what follows from it, once it was read; where it is not readable,
	// from the one before.
	table   *owner.Table
	decoded bool
}

// revision returns the store's revision of the document.
func (s *storedOwners) revision() platform.Revision { return platform.Revision(s.Version.Major) }

// publishedTable is a lead's table and when it came.
type publishedTable struct {
	*owner.Table

	receivedAt time.Time
}

// maxTableAge is how old a lead's table may be while the store's document is as
// new: leads publish one every second.
const maxTableAge = 2500 * time.Millisecond

func newViewBuilder(board *docsync.MemoryReplica, log *slog.Logger, decode func([]byte) (*traffic.Config, error)) *viewBuilder {
	return &viewBuilder{
		replica: board, log: log, decodeConfig: decode,
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

// refresh takes over what is new on the board, or has expired; it reports
// whether a new view is in force.
func (v *viewBuilder) refresh(now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	next := *v.current
	changed := v.readConfig(now, &next)
	listed := v.readMembers(&next)
	listed = v.readTargets(now, &next) || listed
	changed = v.readTables(now, &next) || changed
	if !changed && !listed {
		return false
	}
	next.replaced = make(chan struct{})
	if listed {
		next.rankCache = newRankCache()
		next.listVersion++
	}
	old := v.current
	v.current = &next
	close(old.replaced)
	return true
}

// untilExpiry returns the time until something in the view may have expired: targets have
// two seconds to be used no more by any host.
func (v *viewBuilder) untilExpiry(now time.Time) time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := v.tracker.NextChange()
	if at.IsZero() {
		return maxExpiryCheckInterval
	}
	return min(max(at.Sub(now), 0), maxExpiryCheckInterval)
}

// newer returns a document if it is newer than what was read of it last.
func (v *viewBuilder) newer(name docsync.Name) (docsync.Document, bool) {
	doc, ok := v.replica.Get(name)
	if !ok || !v.readVersions[name].Less(doc.Version) {
		return doc, false
	}
	v.readVersions[name] = doc.Version
	return doc, true
}

func (v *viewBuilder) readConfig(now time.Time, next *view) bool {
	doc, ok := v.newer(docTraffic)
	if !ok {
		return false
	}
	config, err := v.decodeConfig(doc.Body)
	if err != nil {
		v.log.Error("Configuration not readable, the last one stays in force.",
			slog.Uint64("revision", doc.Version.Minor), slog.Any("error", err))
		return false
	}
	if next.routes != nil && config.Version < next.routes.Config().Version {
		v.log.Warn("Older configuration not taken.", slog.Uint64("revision", doc.Version.Minor),
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
		v.log.Error("List of members not readable, the last one stays.", slog.Any("error", err))
		return false
	}
	next.era = max(next.era, platform.Revision(doc.Version.Major).Era())
	v.logMembers(next.members, list, doc.Version.Major)
	next.members = list
	return true
}

// logMembers writes a line for each host that came or went, and one for the first
// list, which may have thousands.
func (v *viewBuilder) logMembers(old, list member.List, revision uint64) {
	if len(old.Hosts) == 0 && len(list.Hosts) > 0 {
		v.log.Info("First list of hosts.", slog.Int("hosts", len(list.Hosts)), slog.Uint64("revision", revision))
		return
	}
	for _, h := range list.Hosts {
		if was, ok := old.Host(h.Name); !ok || was.Incarnation != h.Incarnation {
			v.log.Info("Host is there.", slog.String("host", string(h.Name)), slog.Uint64("life", uint64(h.Incarnation)),
				slog.Uint64("revision", revision))
		}
	}
	for _, h := range old.Hosts {
		if _, ok := list.Host(h.Name); !ok {
			v.log.Info("Host is gone.", slog.String("host", string(h.Name)), slog.Uint64("revision", revision))
		}
	}
}

func (v *viewBuilder) readTargets(now time.Time, next *view) bool {
	doc, ok := v.newer(docTargets)
	if ok {
		list, err := fleet.Decode(doc.Body)
		if err != nil {
			v.log.Error("List of targets not readable, the last one stays.", slog.Any("error", err))
			return false
		}
		v.tracker.Update(now, list, platform.Revision(doc.Version.Major).Era())
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
	next.departed = departures(now, next, targets)
	next.targets, next.services = targets, services
	return true
}

// departedTTL is how long targets that are gone are known: far longer than the
// lists of two hosts differ.
const departedTTL = 20 * time.Second

// departures returns the targets that went lately, where targets are those
// there now.
func departures(now time.Time, v *view, targets map[place.Target]place.TargetRow) map[place.Target]time.Time {
	out := make(map[place.Target]time.Time)
	for name, at := range v.departed {
		if _, there := targets[name]; !there && now.Sub(at) < departedTTL {
			out[name] = at
		}
	}
	for name := range v.targets {
		if _, there := targets[name]; !there {
			out[name] = now
		}
	}
	return out
}

// logTargets writes a line for each target whose state changed, and one for the
// first list.
func (v *viewBuilder) logTargets(old, now map[place.Target]place.TargetRow, revision uint64) {
	if len(old) == 0 && len(now) > 0 {
		v.log.Info("First list of targets.", slog.Int("targets", len(now)), slog.Uint64("revision", revision))
		return
	}
	for name, row := range now {
		if was, ok := old[name]; !ok || was.State != row.State || was.Incarnation != row.Incarnation {
			v.log.Info("Target seen.", slog.String("target", string(name)), slog.String("service", row.Service),
				slog.String("state", row.State.String()), slog.String("zone", string(row.Zone)), slog.Uint64("revision", revision))
		}
	}
	for name, row := range old {
		if _, ok := now[name]; !ok {
			v.log.Info("Target is gone.", slog.String("target", string(name)), slog.String("service", row.Service),
				slog.Uint64("revision", revision))
		}
	}
}

// readTables takes over newer tables of leads, and the store's documents where
// a lead has not been heard for a while.
func (v *viewBuilder) readTables(now time.Time, next *view) bool {
	for _, doc := range v.replica.List(docRanges) {
		doc, ok := v.newer(doc.Name)
		if !ok {
			continue
		}
		table, err := owner.DecodeTable(doc.Body)
		if err != nil {
			v.log.Error("Table not readable, the last one stays.", slog.String("document", string(doc.Name)), slog.Any("error", err))
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

// tableServices returns the services of which a table is known.
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

// chooseTable returns the table to use for a service now, and when it was made.
func (v *viewBuilder) chooseTable(now time.Time, service key.Service) (*owner.Table, time.Time) {
	heard, stored := v.published[service], v.stored[service]
	// Without a lead's table, or where the owners have changed since one was
	// last heard, the store's document tells them.
	if stored != nil && (heard.Table == nil || now.Sub(heard.receivedAt) >= maxTableAge && stored.revision() > heard.DocRevision) {
		if table := v.decodeOwners(stored); table != nil {
			return table, now
		}
	}
	return heard.Table, heard.receivedAt
}

// decodeOwners returns the table that follows from a document of owners, nil where
// it can't be read.
func (v *viewBuilder) decodeOwners(s *storedOwners) *owner.Table {
	if s.decoded {
		return s.table
	}
	s.decoded = true
	d, err := owner.DecodeDoc(s.Body)
	if err != nil {
		v.log.Error("Document not readable, the last one stays.", slog.String("document", string(s.Name)), slog.Any("error", err))
		return s.table
	}
	s.table = owner.TableFromDoc(&d, s.revision())
	return s.table
}
