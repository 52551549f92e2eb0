package cell

import (
	"citrontray.example/citrontray/internal/grant"
)

// standbys activates the standby of shards whose owner is gone, or leaves,
// while the store is out. Every roster host must promise, and must have read the store
// in this life: nobody then knows a later term, or renews the old owner.
//
// A successor need not have heard of it: it asks owner and standby. Nor need
// a deputy: it only extends, and the old owner holds nothing to extend.
func (c *Cell) standbys() {
	if !c.storeOut() || !c.cfg.ChecksTerms || !c.allPromised() || !c.mayRenew() || c.write.pending {
		return
	}
	for i := range c.rows {
		s := &c.rows[i]
		r := c.doc.Rows[i]
		if s.doubt || s.giving || s.active != nil || r.Owner == NoTarget || r.Standby == NoTarget || r.Standby == r.Owner {
			continue
		}
		if c.leavingNow(r.Owner) && c.eligible(r.Standby) && !s.releasing {
			c.release(i, NoTarget)
		}
		if e := c.endEvidence(i); e != nil && c.eligible(r.Standby) {
			c.activate(i, e)
		}
	}
}

// endEvidence returns proof that the owner's grant has ended, without the
// lease: every host that could renew promises to this one.
func (c *Cell) endEvidence(i int) grant.Evidence {
	t := &c.targets[c.doc.Rows[i].Owner]
	if !c.answering(t) && c.now.After(c.quietAt(t)) {
		return grant.Expired{Since: c.quietAt(t)}
	}
	if c.rows[i].releasing {
		return c.releaseEvidence(i)
	}
	return nil
}

// activate makes the standby the owner, above every epoch it may have held
// the shard at before.
func (c *Cell) activate(i int, e grant.Evidence) {
	s := &c.rows[i]
	r := c.doc.Rows[i]
	epoch := max(r.Epoch, c.targets[r.Standby].floor(r.Shard)) + 1
	s.active = &Activation{Evidence: e, Shard: r.Shard, To: r.Standby, Epoch: epoch}
	s.served, s.releasing = false, false
	c.hasten(r.Standby)
	c.dirty = true
	c.logf("Activates the standby of shard %d.", r.Shard)
}

// storeOut reports whether the lease has ended and the store is silent.
func (c *Cell) storeOut() bool {
	if c.leaseValid() {
		return false
	}
	return c.now.Sub(c.lease.contact) > c.cfg.Timing.Lease
}

// saveActivations records activated standbys as owners.
func (c *Cell) saveActivations(d *draft) {
	for i := range c.rows {
		a := c.rows[i].active
		if a == nil {
			continue
		}
		old := c.doc.Rows[i].Owner
		d.reassign(c, i, a.To, a.Epoch, a.Evidence)
		d.doc.Rows[i].Standby = old
	}
}
