package cell

import (
	"cmp"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// custodyRow returns the custody row of a shard, if it is in this cell's custody.
func (c *Cell) custodyRow(shard key.Shard) (CustodyRow, bool) {
	i, found := slices.BinarySearchFunc(c.custody.Shards, shard, func(r CustodyRow, s key.Shard) int {
		return cmp.Compare(r.Shard, s)
	})
	if !found {
		return CustodyRow{}, false
	}
	return c.custody.Shards[i], true
}

// keepsCustody reports whether the shard is still in this cell's custody. It assumes so
// while the custody is unknown or older than that of the rows. A single-key shard is in
// custody with its parent shard.
func (c *Cell) keepsCustody(shard key.Shard) bool {
	if !c.hasCustody || c.custody.Revision < c.doc.Custody {
		return true
	}
	if shard >= key.Shard(c.cfg.Shards) {
		if i := slices.IndexFunc(c.doc.SingleKeys, func(s SingleKey) bool { return s.Shard == shard }); i >= 0 {
			shard = c.doc.SingleKeys[i].Parent
		}
	}
	_, found := c.custodyRow(shard)
	return found
}

// addCustodyRows adds rows for shards that came into this cell's custody.
func (c *Cell) addCustodyRows(d *draft) {
	if !c.hasCustody || c.custody.Revision <= c.doc.Custody {
		return
	}
	for _, s := range c.custody.Shards {
		if d.doc.rowIndex(s.Shard) >= 0 {
			continue
		}
		epoch := max(s.Floor, 1)
		d.doc.Ceded = slices.DeleteFunc(d.doc.Ceded, func(ceded CededShard) bool {
			if ceded.Shard == s.Shard {
				epoch = max(epoch, ceded.Floor)
			}
			return ceded.Shard == s.Shard
		})
		may := func(t TargetIndex) bool { return int(t) < len(c.targets) && c.eligible(t) }
		owner := d.pickOwner(s.Shard, may)
		d.insertRow(Row{Shard: s.Shard, Epoch: epoch, Owner: owner, Standby: d.pickStandby(s.Shard, owner, may)})
	}
	d.doc.Custody = c.custody.Revision
	d.changed = true
}

// cedeShards cedes the shards that are not in this cell's custody any more, once no
// target holds them. A parent shard is ceded after its single keys.
func (c *Cell) cedeShards(d *draft) {
	for i := range c.rows {
		r, s := c.doc.Rows[i], &c.rows[i]
		if !s.custodyLost || s.holderUnknown || s.activation != nil {
			continue
		}
		if e := c.cedeEvidence(i); e != nil && !hasSingleKeys(&d.doc, r.Shard) {
			c.cede(d, r, c.nextEpoch(i, NoTarget), e)
		}
	}
}

func (c *Cell) cedeEvidence(i int) grant.Evidence {
	r, s := c.doc.Rows[i], &c.rows[i]
	if r.Owner == NoTarget {
		return grant.Released{Epoch: r.Epoch}
	}
	t := &c.targets[r.Owner]
	if c.grantsEnded(t) && !c.responsive(t) {
		return c.expiryEvidence(r.Owner)
	}
	if s.releasing {
		return c.releaseEvidence(i)
	}
	return nil
}

func hasSingleKeys(d *Doc, parent key.Shard) bool {
	return slices.ContainsFunc(d.SingleKeys, func(s SingleKey) bool { return s.Parent == parent })
}

// cede removes the row. It lists the shard as ceded, unless it is a single-key shard.
func (c *Cell) cede(d *draft, r Row, floor grant.Epoch, e grant.Evidence) {
	d.changed = true
	if i := d.doc.rowIndex(r.Shard); i >= 0 {
		d.adjustCounts(d.doc.Rows[i].Owner, NoTarget)
		d.doc.Rows = slices.Delete(d.doc.Rows, i, i+1)
	}
	if i := slices.IndexFunc(d.doc.SingleKeys, func(s SingleKey) bool { return s.Shard == r.Shard }); i >= 0 {
		d.doc.SingleKeys = slices.Delete(d.doc.SingleKeys, i, i+1)
		return
	}
	d.doc.Ceded = append(d.doc.Ceded, CededShard{Shard: r.Shard, Floor: floor, Evidence: e})
}
