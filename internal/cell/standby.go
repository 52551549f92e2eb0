package cell

import (
	"citrontray.example/citrontray/internal/grant"
)

// activateStandbys makes the standby the owner of shards whose owner's grant has ended
// or that move off a leaving owner, while the store is unavailable. It needs the
// promises of all roster hosts, whose incarnations must have read the store. Then no
// host knows a later term or renews the old owner's grants.
//
// A later leader or deputy need not know of the activation. The leader gets the
// inventories of both owner and standby. The deputy only extends grants, and the old
// owner has none.
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

// endEvidence returns evidence that the owner's grant has ended, or nil. It needs no
// lease, as all hosts that could renew the grant have promised to this one.
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

// activateStandby makes the standby the owner, at an epoch above all at which it may
// have held the shard.
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

// storeUnavailable reports whether this host has no valid lease and the store has not
// responded for LeaseTTL.
func (c *Cell) storeUnavailable() bool {
	if c.leaseValid() {
		return false
	}
	return c.now.Sub(c.lease.contactAt) > c.cfg.Timing.LeaseTTL
}

// recordActivations makes activated standbys the owners in the document.
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
