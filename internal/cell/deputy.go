package cell

import (
	"slices"
	"time"
)

// deputyDelay is how long a candidate waits for the store before it becomes a deputy.
// An available store responds within milliseconds. A longer delay leaves less time to
// renew the old leader's grants before they expire.
const deputyDelay = 200 * time.Millisecond

// considerDeputy makes a candidate a deputy if the store is unavailable or slow and it
// gets no lease, unless another host holds the lease and will lead. This incarnation
// must have read the store and received a heartbeat of a leader. With a renew limit
// there is no deputy, as it does not know when the leader last renewed the lease.
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
	c.logf("Renewing grants as deputy at term %d.", c.doc.Term)
}

// actAsDeputy renews grants and keeps trying to acquire the lease.
func (c *Cell) actAsDeputy() {
	if !c.campaign.docRead {
		c.readDoc()
	}
	c.requestLease(c.cfg.Timing.LeaseRenewInterval)
	if c.lease.heldByOther {
		c.stepDown("another host holds the lease")
		return
	}
	if c.campaign.docRead && c.now.Before(c.lease.until) {
		c.logf("Store is available again, campaigning.")
		c.role = candidate
		c.runCampaign()
		return
	}
	c.sendHeartbeats()
	c.sendOrders()
}
