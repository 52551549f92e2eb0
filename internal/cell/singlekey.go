package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/key"
)

// splitKeys splits the planned hot keys off their shards. The epoch of the parent shard
// rises, so that the owner rejects requests routed by an older table. The key gets a
// row with the same owner, and may move later like any shard.
func (c *Cell) splitKeys(d *draft) {
	c.plan = slices.DeleteFunc(c.plan, func(p PlannedMove) bool {
		if !p.Split {
			return false
		}
		c.splitKey(d, p)
		return true
	})
}

func (c *Cell) splitKey(d *draft, p PlannedMove) {
	i := c.doc.rowIndex(p.Shard)
	known := slices.ContainsFunc(d.doc.SingleKeys, func(s SingleKey) bool { return s.Hash == p.HotKey })
	if d.doc.NextSingleKey > maxSingleKeyShard || i < 0 || known || len(d.doc.SingleKeys) >= maxSingleKeys || p.HotKey.Shard(c.cfg.Shards) != p.Shard {
		return
	}
	j := d.doc.rowIndex(p.Shard)
	r, s := c.doc.Rows[i], &c.rows[i]
	if j < 0 || r.Owner == NoTarget || !s.routable || s.holderUnknown || s.releasing || s.activation != nil || d.doc.Rows[j] != r {
		return
	}
	parent := &d.doc.Rows[j]
	parent.Epoch++
	shard, next := singleKeyShard(d.doc.NextSingleKey, p.Shard, c.cfg.Shards)
	single := SingleKey{Hash: p.HotKey, Shard: shard, Parent: p.Shard, SplitEpoch: parent.Epoch}
	d.doc.NextSingleKey = next
	d.doc.SingleKeys = append(d.doc.SingleKeys, single)
	d.insertRow(Row{Shard: single.Shard, Epoch: parent.Epoch, Owner: r.Owner, Standby: r.Standby})
	if p.To != "" {
		c.splitMoves = append(c.splitMoves, PlannedMove{Shard: single.Shard, To: p.To})
	}
}

// maxSingleKeyShard bounds NextSingleKey so that the number of one more single-key
// shard fits into key.Shard at the highest shard count.
const maxSingleKeyShard key.Shard = 1 << 31

// singleKeyShard returns the number of a single-key shard and the next value of
// Doc.NextSingleKey. The number modulo the shard count is that of the parent shard, so
// that two zones never use the same number: entries merge the tables of a service.
func singleKeyShard(next, parent key.Shard, shards key.ShardCount) (key.Shard, key.Shard) {
	base := max(next, key.Shard(shards))
	return base + parent, base + key.Shard(shards)
}

// maxSingleKeys bounds the single keys of a cell. The oldest is merged back while
// fewer than spareSingleKeys more could be split off.
const (
	maxSingleKeys   = 512
	spareSingleKeys = 64
)

// startMerge starts to release a single-key shard. Once its row is removed, the table
// routes the key to the owner of the parent shard.
func (c *Cell) startMerge(shard key.Shard) {
	i := c.doc.rowIndex(shard)
	if i < 0 || !isSingleKey(&c.doc, shard) || c.doc.Rows[i].Owner == NoTarget || !c.idleRow(i) {
		return
	}
	c.startRelease(i, NoTarget)
	c.rows[i].ceding, c.rows[i].merging = true, true
}

// mergeKeys removes the rows of single-key shards to be merged whose owners' grants
// have ended.
func (c *Cell) mergeKeys(d *draft) {
	for i := range c.rows {
		r, s := c.doc.Rows[i], &c.rows[i]
		if !s.merging || s.holderUnknown || s.activation != nil {
			continue
		}
		if e := c.cedeEvidence(i); e != nil {
			c.cede(d, r, 0, e)
		}
	}
}
