package lead

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/cell"
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/peer"
	"citrontray.example/citrontray/internal/status"
	"citrontray.example/citrontray/internal/table"
	"citrontray.example/citrontray/internal/version"
)

// maxResponseAge is the largest age of the last response at which a target counts as
// responding.
const maxResponseAge = 2 * time.Second

// Report implements status.Source.
func (d *Daemon) Report(now time.Time, q status.Query) status.Report {
	report := status.Report{
		Host: string(d.cfg.Host), Zone: string(d.cfg.Zone), Role: string(peer.RoleLead),
		Version: version.String(), Started: d.startedAt, Ready: true,
		Settings: d.settingsInForce(),
	}
	for _, s := range d.statuses() {
		if reached := now.Add(-s.SinceStoreContact); s.SinceStoreContact > 0 && reached.After(report.LastStoreResponse) {
			report.LastStoreResponse = reached
		}
		report.Cells = append(report.Cells, d.cellReport(now, s))
	}
	if q.HasKey() {
		report.Key = d.explain(q)
	}
	return report
}

// statuses returns the status of all cells, sorted by service.
func (d *Daemon) statuses() []cell.Status {
	controllers := d.allControllers()
	out := make([]cell.Status, 0, len(controllers))
	for _, c := range controllers {
		out = append(out, c.status.load())
	}
	slices.SortFunc(out, func(a, b cell.Status) int { return cmp.Compare(a.ID.Service, b.ID.Service) })
	return out
}

// cellReport converts the status of one cell.
func (d *Daemon) cellReport(now time.Time, s cell.Status) status.Cell {
	out := status.Cell{
		Service: string(s.ID.Service), Zone: string(s.ID.Zone),
		Term: uint64(s.Term), Leader: string(s.Leader), Leading: s.MayRenew,
		Shards: s.Rows, Owned: d.ownedShards(s.ID), Moving: len(s.Releasing), SingleKeys: s.SingleKeys,
		Moves: toStatusMoves(s.Moves),
	}
	for _, blocked := range s.Blocked {
		out.Blocked = append(out.Blocked, status.BlockedShard{
			Shard: uint32(blocked.Shard), Target: string(blocked.Owner), Reason: blocked.Reason,
		})
	}
	for _, t := range s.Targets {
		if t.Target == "" {
			continue // a free row, to be reused for another target
		}
		out.Members = append(out.Members, status.Member{
			Target: string(t.Target), Shards: t.Rows, Leaving: t.Leaving,
			Responded: now.Sub(t.RespondedAt) < maxResponseAge,
		})
	}
	return out
}

// toStatusMoves converts the moves of a cell.
func toStatusMoves(moves []cell.Move) []status.Move {
	out := make([]status.Move, 0, len(moves))
	for _, m := range moves {
		out = append(out, status.Move{
			At: m.At, Shard: uint32(m.Shard), Epoch: uint64(m.Epoch),
			From: string(m.From), To: string(m.To), Evidence: grant.EvidenceName(m.Evidence),
		})
	}
	return out
}

// ownedShards counts the shards of a cell that have an owner in its routing table.
func (d *Daemon) ownedShards(id cell.ID) int {
	t, ok := d.table(id)
	if !ok {
		return 0
	}
	n := 0
	for _, row := range t.Rows {
		if row.Owner != table.NoOwner {
			n++
		}
	}
	return n
}

// table returns the newest routing table of a cell in the replica. It reports false if
// there is none or it cannot be decoded.
func (d *Daemon) table(id cell.ID) (table.Table, bool) {
	doc, ok := d.replica.Get(tableName(id))
	if !ok {
		return table.Table{}, false
	}
	t, err := table.Decode(doc.Body)
	return t, err == nil
}

// explain returns which zone and target own a key, or nil if no routing table in the
// replica covers it.
func (d *Daemon) explain(q status.Query) *status.Key {
	v, _ := d.viewBuilder.latest()
	for _, s := range v.allServices() {
		if s.Name != q.Service {
			continue
		}
		for _, zone := range v.zones(s) {
			if found := d.explainIn(cell.ID{Service: s.Name, Zone: zone}, q); found != nil {
				return found
			}
		}
	}
	return nil
}

// explainIn looks up the key in the routing table of one cell. It returns nil if there is
// no table, or no row for the key.
func (d *Daemon) explainIn(id cell.ID, q status.Query) *status.Key {
	t, ok := d.table(id)
	if !ok {
		return nil
	}
	hash := key.HashOf(q.Key)
	shard, single := shardOf(t, hash)
	row, found := rowOf(t, shard)
	if !found {
		return nil
	}
	out := &status.Key{
		Service: string(q.Service), Key: q.Key, Zone: string(id.Zone),
		Shard: uint32(shard), SingleKey: single, Epoch: uint64(row.Epoch), Term: uint64(t.Version.Term),
	}
	if row.Owner == table.NoOwner {
		out.Reason = "its owner's grant has not ended, or no target is there"
	} else {
		out.Owner = string(t.Targets[row.Owner].Name)
	}
	out.Moves = d.shardMoves(id, shard)
	return out
}

// shardOf returns the shard of a key, and whether it is a single-key shard.
func shardOf(t table.Table, hash key.Hash) (key.Shard, bool) {
	for _, s := range t.SingleKeys {
		if s.Hash == hash {
			return s.Shard, true
		}
	}
	return hash.Shard(t.Shards), false
}

// rowOf returns the row of a shard, and whether the table has one.
func rowOf(t table.Table, shard key.Shard) (table.Row, bool) {
	i, found := slices.BinarySearchFunc(t.Rows, shard, func(r table.Row, s key.Shard) int {
		return cmp.Compare(r.Shard, s)
	})
	if !found {
		return table.Row{}, false
	}
	return t.Rows[i], true
}

// shardMoves returns the recent moves of one shard of a cell, or nil if the cell is not in
// this zone.
func (d *Daemon) shardMoves(id cell.ID, shard key.Shard) []status.Move {
	c := d.controller(id)
	if c == nil {
		return nil
	}
	moves := toStatusMoves(c.status.load().Moves)
	return slices.DeleteFunc(moves, func(m status.Move) bool { return m.Shard != uint32(shard) })
}

// settingsInForce returns which settings are in force in this process.
func (d *Daemon) settingsInForce() status.Settings {
	v, _ := d.viewBuilder.latest()
	if v.settings == nil {
		return status.Settings{}
	}
	return status.Settings{
		Number:   v.settings.Number,
		Revision: uint64(v.settings.Revision),
		Since:    v.settingsSince,
	}
}
