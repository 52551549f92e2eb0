package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/key"
)

// cutSolos cuts planned hot keys out of their shards: the parent's epoch
// rises at the same owner, so that requests routed by an older table are
// refused, and the key gets a row there. It moves later, like any shard.
func (c *Cell) cutSolos(d *draft) {
	c.plan = slices.DeleteFunc(c.plan, func(p PlannedMove) bool {
		if !p.Cut {
			return false
		}
		c.cutSolo(d, p)
		return true
	})
}

func (c *Cell) cutSolo(d *draft, p PlannedMove) {
	i := c.doc.rowOf(p.Shard)
	known := slices.ContainsFunc(d.doc.Solos, func(s Solo) bool { return s.Hash == p.Solo })
	if d.doc.NextSolo > lastSolo || i < 0 || known || len(d.doc.Solos) >= maxSolos || p.Solo.Shard(c.cfg.Shards) != p.Shard {
		return
	}
	j := d.doc.rowOf(p.Shard)
	r, s := c.doc.Rows[i], &c.rows[i]
	if j < 0 || r.Owner == NoTarget || !s.served || s.doubt || s.releasing || s.active != nil || d.doc.Rows[j] != r {
		return
	}
	parent := &d.doc.Rows[j]
	parent.Epoch++
	shard, next := soloShard(d.doc.NextSolo, p.Shard, c.cfg.Shards)
	solo := Solo{Hash: p.Solo, Shard: shard, Parent: p.Shard, Cut: parent.Epoch}
	d.doc.NextSolo = next
	d.doc.Solos = append(d.doc.Solos, solo)
	d.insert(Row{Shard: solo.Shard, Epoch: parent.Epoch, Owner: r.Owner, Standby: r.Standby})
	if p.To != "" {
		c.cuts = append(c.cuts, PlannedMove{Shard: solo.Shard, To: p.To})
	}
}

// lastSolo leaves room for one more solo key at the highest shard count.
const lastSolo key.Shard = 1 << 31

// soloShard returns the number of a solo key and the next value of
// Doc.NextSolo. The number ends in its parent's, so that two zones that cut
// keys of one service never use the same one: entries merge their tables.
func soloShard(next, parent key.Shard, shards key.ShardCount) (key.Shard, key.Shard) {
	base := max(next, key.Shard(shards))
	return base + parent, base + key.Shard(shards)
}

// maxSolos bounds the hot keys that are cut out of their shards at one time.
// The oldest go back while fewer than spareSolos could still be cut.
const (
	maxSolos   = 512
	spareSolos = 64
)

// startJoin asks the owner of a solo key to release it. The parent's owner may
// serve the key once the row is gone: a table without the row routes it there.
func (c *Cell) startJoin(shard key.Shard) {
	i := c.doc.rowOf(shard)
	if i < 0 || !isSolo(&c.doc, shard) || c.doc.Rows[i].Owner == NoTarget || !c.free(i) {
		return
	}
	c.release(i, NoTarget)
	c.rows[i].giving, c.rows[i].joining = true, true
}

// joinSolos removes the rows of solo keys whose owners gave them up.
func (c *Cell) joinSolos(d *draft) {
	for i := range c.rows {
		r, s := c.doc.Rows[i], &c.rows[i]
		if !s.joining || s.doubt || s.active != nil {
			continue
		}
		if e := c.giveEvidence(i); e != nil {
			c.give(d, r, 0, e)
		}
	}
}
