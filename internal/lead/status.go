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

// maxResponseAge is how old a target's newest answer may be for it to count
// as answering.
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

// statuses returns the state of all cells, by service.
func (d *Daemon) statuses() []cell.Status {
	runners := d.allControllers()
	out := make([]cell.Status, 0, len(runners))
	for _, r := range runners {
		out = append(out, r.status.load())
	}
	slices.SortFunc(out, func(a, b cell.Status) int { return cmp.Compare(a.ID.Service, b.ID.Service) })
	return out
}

// cellReport maps the state of one cell.
func (d *Daemon) cellReport(now time.Time, s cell.Status) status.Cell {
	out := status.Cell{
		Service: string(s.ID.Service), Zone: string(s.ID.Zone),
		Term: uint64(s.Term), Lead: string(s.Leader), Leading: s.MayRenew,
		Shards: s.Rows, Owned: d.ownedShards(s.ID), Moving: len(s.Releasing), SingleKeys: s.SingleKeys,
		Moves: toStatusMoves(s.Moves),
	}
	for _, doubt := range s.Blocked {
		out.Blocked = append(out.Blocked, status.BlockedShard{
			Shard: uint32(doubt.Shard), Target: string(doubt.Owner), Reason: doubt.Reason,
		})
	}
	for _, t := range s.Targets {
		if t.Target == "" {
			continue // a row that waits for reuse
		}
		out.Members = append(out.Members, status.Member{
			Target: string(t.Target), Shards: t.Rows, Leaving: t.Leaving,
			Responded: now.Sub(t.RespondedAt) < maxResponseAge,
		})
	}
	return out
}

// toStatusMoves maps moves of a cell.
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

// ownedShards counts the shards of a cell that its routing table sends somewhere.
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

// table returns the newest routing table of a cell on the board.
func (d *Daemon) table(id cell.ID) (table.Table, bool) {
	doc, ok := d.replica.Get(tableName(id))
	if !ok {
		return table.Table{}, false
	}
	t, err := table.Decode(doc.Body)
	return t, err == nil
}

// explain tells where a key is, from the tables of all zones on the board.
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

// explainIn looks the key up in the table of one cell.
func (d *Daemon) explainIn(id cell.ID, q status.Query) *status.Key {
	t, ok := d.table(id)
	if !ok {
		return nil
	}
	hash := key.HashOf(q.Key)
	shard, solo := shardOf(t, hash)
	row, found := rowOf(t, shard)
	if !found {
		return nil
	}
	out := &status.Key{
		Service: string(q.Service), Key: q.Key, Zone: string(id.Zone),
		Shard: uint32(shard), SingleKey: solo, Epoch: uint64(row.Epoch), Term: uint64(t.Version.Term),
	}
	if row.Owner == table.NoOwner {
		out.Reason = "its owner's grant has not ended, or no target is there"
	} else {
		out.Owner = string(t.Targets[row.Owner].Name)
	}
	out.Moves = d.shardMoves(id, shard)
	return out
}

// shardOf returns the shard of a key: its own, if it is a solo key.
func shardOf(t table.Table, hash key.Hash) (key.Shard, bool) {
	for _, s := range t.SingleKeys {
		if s.Hash == hash {
			return s.Shard, true
		}
	}
	return hash.Shard(t.Shards), false
}

// rowOf returns the row of a shard.
func rowOf(t table.Table, shard key.Shard) (table.Row, bool) {
	i, found := slices.BinarySearchFunc(t.Rows, shard, func(r table.Row, s key.Shard) int {
		return cmp.Compare(r.Shard, s)
	})
	if !found {
		return table.Row{}, false
	}
	return t.Rows[i], true
}

// shardMoves returns the newest moves of one shard of a cell of this zone.
func (d *Daemon) shardMoves(id cell.ID, shard key.Shard) []status.Move {
	r := d.controller(id)
	if r == nil {
		return nil
	}
	moves := toStatusMoves(r.status.load().Moves)
	return slices.DeleteFunc(moves, func(m status.Move) bool { return m.Shard != uint32(shard) })
}

// settingsInForce tells which settings this process acts on.
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
