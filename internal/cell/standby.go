package cell

import (
	"citrontray.example/citrontray/internal/grant"
)

// activateStandbys activates the standby of shards whose owner is gone, or leaves,
// while the store is out. Every roster host must promise, and must have read the store
// in this life: nobody then knows a later term, or renews the old owner.
//
// A successor need not have heard of it: it asks owner and standby. Nor need
// a deputy: it only extends, and the old owner holds nothing to extend.
func (c *Cell) activateStandbys() {
	if !c.storeUnavailable() || !c.cfg.ChecksTerms || !c.allPromised() || !c.mayRenew() || c.write.pending {
		return
	}
	for i := range c.rows {
		s := &c.rows[i]
		r := c.doc.Rows[i]
		if s.holderUnknown || s.ceding || s.activation != nil || r.Owner == NoTarget || r.Standby == NoTarget || r.Standby == r.Owner {
			continue
		}
		if c.isLeaving(r.Owner) && c.eligible(r.Standby) && !s.releasing {
			c.startRelease(i, NoTarget)
		}
		if e := c.endEvidence(i); e != nil && c.eligible(r.Standby) {
			c.activateStandby(i, e)
		}
	}
}

// endEvidence returns proof that the owner's grant has ended, without the
// lease: every host that could renew promises to this one.
func (c *Cell) endEvidence(i int) grant.Evidence {
	t := &c.targets[c.doc.Rows[i].Owner]
	if !c.responsive(t) && c.now.After(c.grantsEndAt(t)) {
		return grant.Expired{Since: c.grantsEndAt(t)}
	}
	if c.rows[i].releasing {
		return c.releaseEvidence(i)
	}
	return nil
}

// activateStandby makes the standby the owner, above every epoch it may have held
// the shard at before.
func (c *Cell) activateStandby(i int, e grant.Evidence) {
	s := &c.rows[i]
	r := c.doc.Rows[i]
	epoch := max(r.Epoch, c.targets[r.Standby].floor(r.Shard)) + 1
	s.activation = &Activation{Evidence: e, Shard: r.Shard, To: r.Standby, Epoch: epoch}
	s.routable, s.releasing = false, false
	c.orderNow(r.Standby)
	c.tableChanged = true
	c.logf("Activates the standby of shard %d.", r.Shard)
}

// storeUnavailable reports whether the lease has ended and the store is silent.
func (c *Cell) storeUnavailable() bool {
	if c.leaseValid() {
		return false
	}
	return c.now.Sub(c.lease.contactAt) > c.cfg.Timing.LeaseTTL
}

// recordActivations records activated standbys as owners.
func (c *Cell) recordActivations(d *draft) {
	for i := range c.rows {
		a := c.rows[i].activation
		if a == nil {
			continue
		}
		old := c.doc.Rows[i].Owner
		d.reassign(c, i, a.To, a.Epoch, a.Evidence)
		d.doc.Rows[i].Standby = old
	}
}
