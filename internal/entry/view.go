package entry

import (
	"slices"
	"strings"
	"time"

	"citrontray.example/citrontray/internal/docsync"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/route"
	"citrontray.example/citrontray/internal/settings"
	"citrontray.example/citrontray/internal/table"
)

// view is a snapshot of the settings, the routing tables and the entry hosts. It is
// immutable.
type view struct {
	settings *settings.Settings
	routes   *route.Table
	services map[key.Service]*service
	tables   []*table.Table
	hosts    []place.HostRow
	// keyHomes is the home of each bucket of a service's key space, as an index into
	// hosts.
	keyHomes []int
	// replaced is closed when a newer view is in force.
	replaced chan struct{}
}

// service is the merged routing table of one service over all zones.
type service struct {
	shards          key.ShardCount
	singleKeyOwners map[key.Shard]owner // owners of single-key shards
	rangeOwners     []owner             // owners of hash-range shards, by number
	singleKeys      map[key.Hash]key.Shard
	rangeTables     []*table.Table // the table that each of rangeOwners is from
	load            *serviceLoad
}

// owner is the owner of one shard. target is nil if the shard has none.
type owner struct {
	target *targetState
	epoch  grant.Epoch
}

// find returns the shard of a key and its owner.
func (s *service) find(h key.Hash) (key.Shard, owner) {
	if len(s.singleKeys) > 0 {
		if shard, ok := s.singleKeys[h]; ok {
			return shard, s.singleKeyOwners[shard]
		}
	}
	shard := h.Shard(s.shards)
	if int(shard) >= len(s.rangeOwners) {
		return shard, owner{}
	}
	return shard, s.rangeOwners[shard]
}

// refreshView builds a view from the replica's documents and puts it in force.
func (e *Entry) refreshView(now time.Time) {
	e.refreshMu.Lock()
	defer e.refreshMu.Unlock()
	old := e.view.Load()
	v := &view{
		settings: old.settings,
		routes:   old.routes,
		services: make(map[key.Service]*service),
		replaced: make(chan struct{}),
	}
	if !e.readSettings(v) {
		return
	}
	v.tables = e.readTables()
	v.hosts, v.keyHomes = e.entryHosts(), old.keyHomes
	if !slices.Equal(v.hosts, old.hosts) {
		v.keyHomes = rankKeyHomes(v.hosts)
	}
	for _, t := range v.tables {
		e.mergeTable(v, t, now)
	}
	for _, t := range v.tables {
		if s := v.services[t.Service]; s != nil {
			s.addSingleKeys(t)
		}
	}
	e.view.Store(v)
	close(old.replaced)
	e.updateTargets(v)
}

// readSettings sets the newest settings in the view. It returns false if there are none
// yet.
func (e *Entry) readSettings(v *view) bool {
	doc, ok := e.cfg.Replica.Get(docsync.Settings)
	if !ok {
		return v.settings != nil
	}
	if doc.Version == e.settingsVersion {
		return true
	}
	s, err := e.cfg.DecodeSettings(doc.Body)
	if err != nil {
		e.log.Error("Settings not decodable, keeping the last ones.", "error", err)
		return v.settings != nil
	}
	e.settingsVersion = doc.Version
	e.settingsSince = time.Now()
	v.settings = s
	v.routes = route.New(s)
	e.resetLimits(s)
	e.log.Info("Settings in force.", "revision", doc.Version.Major)
	return true
}

// readTables returns the newest table of each cell, sorted by document name.
func (e *Entry) readTables() []*table.Table {
	var out []*table.Table
	for _, doc := range e.cfg.Replica.List(docsync.TablePrefix) {
		cached, ok := e.tableCache[doc.Name]
		if !ok || cached.version != doc.Version {
			t, err := e.cfg.DecodeTable(doc.Body)
			if err != nil {
				e.log.Error("Routing table not decodable, left out.", "table", string(doc.Name), "error", err)
				continue
			}
			cached = cachedTable{version: doc.Version, table: &t}
			e.tableCache[doc.Name] = cached
		}
		out = append(out, cached.table)
	}
	return out
}

// cachedTable is a decoded table document.
type cachedTable struct {
	version docsync.Version
	table   *table.Table
}

// mergeTable adds the rows of one cell's table. For each shard the row with the highest
// epoch of all zones wins, since a partitioned zone may still publish shards of which it
// no longer has custody.
func (e *Entry) mergeTable(v *view, t *table.Table, now time.Time) {
	index := slices.IndexFunc(v.settings.Services, func(s settings.Service) bool { return s.Name == t.Service })
	if index < 0 {
		return
	}
	cfg := &v.settings.Services[index]
	s := v.services[t.Service]
	if s == nil {
		s = e.newService(t)
		v.services[t.Service] = s
	}
	targets := make([]*targetState, len(t.Targets))
	for i := range t.Targets {
		targets[i] = e.targetStateOf(t, &t.Targets[i], cfg, now)
		homes := rankHomes(v.hosts, t.Zone, t.Targets[i].Name)
		targets[i].homes.Store(&homes)
	}
	for _, row := range t.Rows {
		s.add(row, targets, t)
	}
}

func (e *Entry) newService(t *table.Table) *service {
	return &service{
		shards:          t.Shards,
		singleKeyOwners: make(map[key.Shard]owner),
		rangeOwners:     make([]owner, t.Shards),
		singleKeys:      make(map[key.Hash]key.Shard),
		rangeTables:     make([]*table.Table, t.Shards),
		load:            e.loadCounters.service(t.Service, t.Shards),
	}
}

// add adds one row of a table, unless there is a row with a higher epoch.
func (s *service) add(row table.Row, targets []*targetState, t *table.Table) {
	o := owner{epoch: row.Epoch}
	if int(row.Owner) < len(targets) {
		o.target = targets[row.Owner]
	}
	if int(row.Shard) < len(s.rangeOwners) {
		if row.Epoch >= s.rangeOwners[row.Shard].epoch {
			s.rangeOwners[row.Shard] = o
			s.rangeTables[row.Shard] = t
		}
		return
	}
	if existing, ok := s.singleKeyOwners[row.Shard]; !ok || row.Epoch >= existing.epoch {
		s.singleKeyOwners[row.Shard] = o
	}
}

// addSingleKeys adds the single keys of a table that also has the row in force of their
// parent shard. A partitioned zone still publishes single keys after its shards were
// taken away, but these keys moved with their shards.
func (s *service) addSingleKeys(t *table.Table) {
	for _, single := range t.SingleKeys {
		parent := single.Hash.Shard(s.shards)
		if int(parent) < len(s.rangeTables) && s.rangeTables[parent] == t {
			s.singleKeys[single.Hash] = single.Shard
		}
	}
}

// targetStateID identifies a target state. The address distinguishes the incarnations of
// a target that were started at different addresses.
type targetStateID struct {
	service key.Service
	target  place.Target
	addr    string
}

// targetStateOf returns the state of a target, and creates it if necessary.
func (e *Entry) targetStateOf(t *table.Table, row *table.Target, cfg *settings.Service, now time.Time) *targetState {
	id := targetStateID{t.Service, row.Name, row.Addr.String()}
	ts := e.targetStates[id]
	if ts == nil {
		ts = newTargetState(e, t.Zone, row, cfg)
		e.targetStates[id] = ts
		go ts.warmUpPool(e.ctx, now)
	}
	ts.configure(row, cfg)
	return ts
}

// updateTargets wakes requests whose owner changed, and closes the states of targets that
// are in no routing table any more.
func (e *Entry) updateTargets(v *view) {
	used := make(map[*targetState]bool, len(e.targetStates))
	for _, s := range v.services {
		for i := range s.rangeOwners {
			used[s.rangeOwners[i].target] = true
		}
		for _, o := range s.singleKeyOwners {
			used[o.target] = true
		}
	}
	for id, ts := range e.targetStates {
		ts.wakeMoved(v)
		if used[ts] || ts.listedIn(v) {
			continue
		}
		ts.close()
		delete(e.targetStates, id)
		e.log.Info("Target removed.", "target", string(id.target))
	}
}

// listedIn reports whether a table of the view lists the target at its address.
func (ts *targetState) listedIn(v *view) bool {
	for _, t := range v.tables {
		if t.Service != ts.service {
			continue
		}
		for i := range t.Targets {
			if t.Targets[i].Name == ts.target && strings.EqualFold(t.Targets[i].Addr.String(), ts.addr) {
				return true
			}
		}
	}
	return false
}
