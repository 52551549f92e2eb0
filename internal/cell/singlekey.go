package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/key"
)

// splitKeys cuts planned hot keys out of their shards: the parent's epoch
// rises at the same owner, so that requests routed by an older table are
// refused, and the key gets a row there. It moves later, like any shard.
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
	solo := SingleKey{Hash: p.HotKey, Shard: shard, Parent: p.Shard, SplitEpoch: parent.Epoch}
	d.doc.NextSingleKey = next
	d.doc.SingleKeys = append(d.doc.SingleKeys, solo)
	d.insertRow(Row{Shard: solo.Shard, Epoch: parent.Epoch, Owner: r.Owner, Standby: r.Standby})
	if p.To != "" {
		c.splitMoves = append(c.splitMoves, PlannedMove{Shard: solo.Shard, To: p.To})
	}
}

// maxSingleKeyShard leaves room for one more solo key at the highest shard count.
const maxSingleKeyShard key.Shard = 1 << 31

// singleKeyShard returns the number of a solo key and the next value of
// Doc.NextSolo. The number ends in its parent's, so that two zones that cut
// keys of one service never use the same one: entries merge their tables.
func singleKeyShard(next, parent key.Shard, shards key.ShardCount) (key.Shard, key.Shard) {
	base := max(next, key.Shard(shards))
	return base + parent, base + key.Shard(shards)
}

// maxSolos bounds the hot keys that are cut out of their shards at one time.
// The oldest go back while fewer than spareSolos could still be cut.
const (
	maxSingleKeys   = 512
	spareSingleKeys = 64
)

// startMerge asks the owner of a solo key to release it. The parent's owner may
// serve the key once the row is gone: a table without the row routes it there.
func (c *Cell) startMerge(shard key.Shard) {
	i := c.doc.rowIndex(shard)
	if i < 0 || !isSingleKey(&c.doc, shard) || c.doc.Rows[i].Owner == NoTarget || !c.idleRow(i) {
		return
	}
	c.startRelease(i, NoTarget)
	c.rows[i].ceding, c.rows[i].merging = true, true
}

// mergeKeys removes the rows of solo keys whose owners gave them up.
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
