package cell

import (
	"cmp"
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// inCustody returns the custody row of a shard of this cell.
func (c *Cell) inCustody(shard key.Shard) (CustodyRow, bool) {
	i, found := slices.BinarySearchFunc(c.custody.Shards, shard, func(r CustodyRow, s key.Shard) int {
		return cmp.Compare(r.Shard, s)
	})
	if !found {
		return CustodyRow{}, false
	}
	return c.custody.Shards[i], true
}

// keeps reports whether custody still has the shard here; a solo key stays
// with its parent.
func (c *Cell) keeps(shard key.Shard) bool {
	if !c.custodySeen || c.custody.Revision < c.doc.Custody {
		return true
	}
	if shard >= key.Shard(c.cfg.Shards) {
		if i := slices.IndexFunc(c.doc.Solos, func(s Solo) bool { return s.Shard == shard }); i >= 0 {
			shard = c.doc.Solos[i].Parent
		}
	}
	_, found := c.inCustody(shard)
	return found
}

// takeIn adds rows for the shards that came into custody.
func (c *Cell) takeIn(d *draft) {
	if !c.custodySeen || c.custody.Revision <= c.doc.Custody {
		return
	}
	for _, s := range c.custody.Shards {
		if d.doc.rowOf(s.Shard) >= 0 {
			continue
		}
		epoch := max(s.Floor, 1)
		d.doc.Given = slices.DeleteFunc(d.doc.Given, func(g Given) bool {
			if g.Shard == s.Shard {
				epoch = max(epoch, g.Floor)
			}
			return g.Shard == s.Shard
		})
		may := func(t TargetIndex) bool { return int(t) < len(c.targets) && c.eligible(t) }
		owner := d.pick(s.Shard, may)
		d.insert(Row{Shard: s.Shard, Epoch: epoch, Owner: owner, Standby: d.standbyFor(s.Shard, owner, may)})
	}
	d.doc.Custody = c.custody.Revision
	d.changed = true
}

// giveUp removes the rows that custody took away, once nobody here holds
// them. A parent goes after its solo keys, with a floor above all of theirs.
func (c *Cell) giveUp(d *draft) {
	for i := range c.rows {
		r, s := c.doc.Rows[i], &c.rows[i]
		if !s.away || s.doubt || s.active != nil {
			continue
		}
		if e := c.giveEvidence(i); e != nil && !hasSolos(&d.doc, r.Shard) {
			c.give(d, r, c.nextEpoch(i, NoTarget), e)
		}
	}
}

func (c *Cell) giveEvidence(i int) grant.Evidence {
	r, s := c.doc.Rows[i], &c.rows[i]
	if r.Owner == NoTarget {
		return grant.Released{Epoch: r.Epoch}
	}
	t := &c.targets[r.Owner]
	if c.ended(t) && !c.answering(t) {
		return c.lapseEvidence(r.Owner)
	}
	if s.releasing {
		return c.releaseEvidence(i)
	}
	return nil
}

func hasSolos(d *Doc, parent key.Shard) bool {
	return slices.ContainsFunc(d.Solos, func(s Solo) bool { return s.Parent == parent })
}

// give deletes the row from the draft and lists it as given up.
func (c *Cell) give(d *draft, r Row, floor grant.Epoch, e grant.Evidence) {
	d.changed = true
	if i := d.doc.rowOf(r.Shard); i >= 0 {
		d.moveCount(d.doc.Rows[i].Owner, NoTarget)
		d.doc.Rows = slices.Delete(d.doc.Rows, i, i+1)
	}
	if i := slices.IndexFunc(d.doc.Solos, func(s Solo) bool { return s.Shard == r.Shard }); i >= 0 {
		d.doc.Solos = slices.Delete(d.doc.Solos, i, i+1)
		return
	}
	d.doc.Given = append(d.doc.Given, Given{Shard: r.Shard, Floor: floor, Evidence: e})
}
