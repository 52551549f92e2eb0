package cell

import (
	"slices"
	"time"
)

// deputyDelay is how long a campaign waits for the store before it deputises. A
// store that works answers within milliseconds; each millisecond more is one
// less until the grants of the lost lead end.
const deputyDelay = 200 * time.Millisecond

// considerDeputy turns a campaign that gets no lease from a silent or slow
// store into deputising; where another host has the lease, that one leads.
// The host must have read the store and heard the lead in this life. With a
// bounded hold there is no deputy: it does not know the lead's last contact.
func (c *Cell) considerDeputy() {
	if !c.hasDoc || !c.readStore || !c.promise.heardLeader || c.cfg.RenewLimit > 0 || c.write.pending {
		return
	}
	if !slices.Contains(c.doc.Roster, c.cfg.Self) || c.seenTerm > c.doc.Term {
		return
	}
	if c.now.Sub(c.campaign.startedAt) < deputyDelay+c.campaignDelay() || c.lease.heldByOther {
		return
	}
	c.role = deputy
	for i := range c.peers {
		c.peers[i].clearPromise()
	}
	for i := range c.targets {
		c.targets[i].resetTerm()
	}
	c.heartbeatDue = c.now
	c.logf("Renews as deputy at term %d.", c.doc.Term)
}

// actAsDeputy renews what stands, and goes on trying to get the lease.
func (c *Cell) actAsDeputy() {
	if !c.campaign.docRead {
		c.readDoc()
	}
	c.requestLease(c.cfg.Timing.LeaseRenewInterval)
	if c.lease.heldByOther {
		c.stepDown("another host has the lease")
		return
	}
	if c.campaign.docRead && c.now.Before(c.lease.until) {
		c.logf("Campaigns again: the store answers.")
		c.role = candidate
		c.runCampaign()
		return
	}
	c.sendHeartbeats()
	c.sendOrders()
}
