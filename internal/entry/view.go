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

// view is all that requests are judged by at one moment. It is immutable.
type view struct {
	settings *settings.Settings
	routes   *route.Table
	services map[key.Service]*service
	tables   []*table.Table
	hosts    []place.HostRow
	// keyHomes gives the home of each part of a key space, as an index into
	// hosts.
	keyHomes []int
	// replaced is closed once a newer view is in force.
	replaced chan struct{}
}

// service is the merged routing table of one service over all zones.
type service struct {
	shards          key.ShardCount
	singleKeyOwners map[key.Shard]owner // solo shards included
	rangeOwners     []owner             // hash-range shards, by index
	singleKeys      map[key.Hash]key.Shard
	rangeTables     []*table.Table // whose row stands in dense, by index
	load            *serviceLoad
}

// owner is the target of one shard; lane is nil where none owns it now.
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

// refreshView builds a view from the board and puts it in force.
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

// readSettings takes the newest settings; it reports false while there are
// none yet.
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
		e.log.Error("Settings are unreadable.", "error", err)
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

// readTables decodes the newest table of each cell, sorted by document name.
func (e *Entry) readTables() []*table.Table {
	var out []*table.Table
	for _, doc := range e.cfg.Replica.List(docsync.TablePrefix) {
		known, ok := e.tableCache[doc.Name]
		if !ok || known.version != doc.Version {
			t, err := e.cfg.DecodeTable(doc.Body)
			if err != nil {
				e.log.Error("Table is unreadable.", "table", string(doc.Name), "error", err)
				continue
			}
			known = cachedTable{version: doc.Version, table: &t}
			e.tableCache[doc.Name] = known
		}
		out = append(out, known.table)
	}
	return out
}

// cachedTable is a decoded table document.
type cachedTable struct {
	version docsync.Version
	table   *table.Table
}

// mergeTable adds the rows of one cell: for each shard the row with the
// highest epoch over all zones wins, since a zone that was cut off may still
// publish what it no longer has custody of.
func (e *Entry) mergeTable(v *view, t *table.Table, now time.Time) {
	at := slices.IndexFunc(v.settings.Services, func(s settings.Service) bool { return s.Name == t.Service })
	if at < 0 {
		return
	}
	cfg := &v.settings.Services[at]
	s := v.services[t.Service]
	if s == nil {
		s = e.newService(t)
		v.services[t.Service] = s
	}
	lanes := make([]*targetState, len(t.Targets))
	for i := range t.Targets {
		lanes[i] = e.targetStateOf(t, &t.Targets[i], cfg, now)
		homes := rankHomes(v.hosts, t.Zone, t.Targets[i].Name)
		lanes[i].homes.Store(&homes)
	}
	for _, row := range t.Rows {
		s.add(row, lanes, t)
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

// add takes one row of a table, unless a row of a higher epoch is known.
func (s *service) add(row table.Row, lanes []*targetState, t *table.Table) {
	o := owner{epoch: row.Epoch}
	if int(row.Owner) < len(lanes) {
		o.target = lanes[row.Owner]
	}
	if int(row.Shard) < len(s.rangeOwners) {
		if row.Epoch >= s.rangeOwners[row.Shard].epoch {
			s.rangeOwners[row.Shard] = o
			s.rangeTables[row.Shard] = t
		}
		return
	}
	if known, ok := s.singleKeyOwners[row.Shard]; !ok || row.Epoch >= known.epoch {
		s.singleKeyOwners[row.Shard] = o
	}
}

// addSingleKeys takes the solo keys of a table whose parent shards the table has.
// A zone that was cut off while its shards were taken away still publishes its
// solo keys; the keys went with their shards.
func (s *service) addSingleKeys(t *table.Table) {
	for _, solo := range t.SingleKeys {
		parent := solo.Hash.Shard(s.shards)
		if int(parent) < len(s.rangeTables) && s.rangeTables[parent] == t {
			s.singleKeys[solo.Hash] = solo.Shard
		}
	}
}

// targetStateID tells the lanes of one target's lives at different addresses apart.
type targetStateID struct {
	service key.Service
	target  place.Target
	addr    string
}

// targetStateOf returns the lane of a target, made on first sight.
func (e *Entry) targetStateOf(t *table.Table, row *table.Target, cfg *settings.Service, now time.Time) *targetState {
	id := targetStateID{t.Service, row.Name, row.Addr.String()}
	l := e.targetStates[id]
	if l == nil {
		l = newTargetState(e, t.Zone, row, cfg)
		e.targetStates[id] = l
		go l.warmUpPool(e.ctx, now)
	}
	l.configure(row, cfg)
	return l
}

// updateTargets wakes waiting work whose owner changed and closes the lanes of
// targets that no table names any more.
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
	for id, l := range e.targetStates {
		l.wakeMoved(v)
		if used[l] || l.listedIn(v) {
			continue
		}
		l.close()
		delete(e.targetStates, id)
		e.log.Info("Target left.", "target", string(id.target))
	}
}

// listedIn reports whether a table of the view still lists the lane's target.
func (l *targetState) listedIn(v *view) bool {
	for _, t := range v.tables {
		if t.Service != l.service {
			continue
		}
		for i := range t.Targets {
			if t.Targets[i].Name == l.target && strings.EqualFold(t.Targets[i].Addr.String(), l.addr) {
				return true
			}
		}
	}
	return false
}
