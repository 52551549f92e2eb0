package cell

import "slices"

// considerDeputy turns a campaign that can't reach the store into deputising.
// The host must have read the store and heard the lead in this life. With a
// bounded hold there is no deputy: it does not know the lead's last contact.
func (c *Cell) considerDeputy() {
	if !c.hasDoc || !c.readStore || !c.promise.heardLead || c.cfg.Hold > 0 || c.write.pending {
		return
	}
	if !slices.Contains(c.doc.Roster, c.cfg.Self) || c.refused > c.doc.Term {
		return
	}
	if c.now.Sub(c.campaign.since) < c.cfg.Timing.LeaseRenew+c.rank() || c.lease.contact.After(c.campaign.since) {
		return
	}
	c.role = deputy
	for i := range c.mates {
		c.mates[i].forget()
	}
	for i := range c.targets {
		c.targets[i].taken()
	}
	c.heartbeatDue = c.now
	c.logf("renews as deputy at term %d", c.doc.Term)
}

// deputise renews what stands, and goes on trying to reach the store.
func (c *Cell) deputise() {
	c.read()
	if c.campaign.fresh {
		c.stepDown("the store answers")
		return
	}
	c.heartbeat()
	c.orders()
}
