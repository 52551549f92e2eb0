package cell

import (
	"slices"
	"time"
)

// deputyWait is how long a campaign waits for the store before it deputises. A
// store that works answers within milliseconds; each millisecond more is one
// less until the grants of the lost lead end.
const deputyWait = 200 * time.Millisecond

// considerDeputy turns a campaign that gets no lease from a silent or slow
// store into deputising; where another host has the lease, that one leads.
// The host must have read the store and heard the lead in this life. With a
// bounded hold there is no deputy: it does not know the lead's last contact.
func (c *Cell) considerDeputy() {
	if !c.hasDoc || !c.readStore || !c.promise.heardLead || c.cfg.Hold > 0 || c.write.pending {
		return
	}
	if !slices.Contains(c.doc.Roster, c.cfg.Self) || c.refused > c.doc.Term {
		return
	}
	if c.now.Sub(c.campaign.since) < deputyWait+c.rank() || c.lease.taken {
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
	c.logf("Renews as deputy at term %d.", c.doc.Term)
}

// deputise renews what stands, and goes on trying to get the lease.
func (c *Cell) deputise() {
	if !c.campaign.fresh {
		c.read()
	}
	c.askLease(c.cfg.Timing.LeaseRenew)
	if c.lease.taken {
		c.stepDown("another host has the lease")
		return
	}
	if c.campaign.fresh && c.now.Before(c.lease.until) {
		c.logf("Campaigns again: the store answers.")
		c.role = candidate
		c.run()
		return
	}
	c.heartbeat()
	c.orders()
}
