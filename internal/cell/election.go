package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// campaign is the state of a host that tries to take the lead.
type campaign struct {
	startedAt time.Time
	// docRead tells that the store was read since the campaign began.
	docRead bool
}

// mayLead reports whether the document, or the fleet where there is no
// document yet, names this host as one that may lead the cell.
func (c *Cell) mayLead() bool {
	if !c.hasDoc {
		return c.docAbsent && c.hasCustody && c.hasFleet && slices.Contains(c.desiredRoster(), c.cfg.Self)
	}
	if slices.Contains(c.doc.Roster, c.cfg.Self) {
		return true
	}
	return c.rosterLost() && slices.Contains(c.desiredRoster(), c.cfg.Self)
}

// rosterLost reports whether operators declared every roster host lost. The
// document of a cell that was evicted before it had a lead names no host.
func (c *Cell) rosterLost() bool {
	for _, h := range c.doc.Roster {
		if !c.hostDeclaredLost(h) {
			return false
		}
	}
	return true
}

// campaignDelay spreads the candidates of one cell over time.
func (c *Cell) campaignDelay() time.Duration {
	roster := c.doc.Roster
	if !c.hasDoc {
		roster = c.desiredRoster()
	}
	i := max(slices.Index(roster, c.cfg.Self), 0)
	if lead := slices.Index(roster, c.doc.Leader); lead >= 0 && lead < i {
		i--
	}
	return time.Duration(i) * rankDelay
}

// campaignInterval is short while the old lead's lease is about to lapse.
func (c *Cell) campaignInterval() time.Duration {
	if c.now.Sub(c.campaign.startedAt) < fastCampaignPeriod {
		return fastCampaignInterval
	}
	return c.cfg.Timing.LeaseRenewInterval
}

// follow starts a campaign once the lead is silent on the peer link. A lead
// that merely lost its lease to a slow store keeps its roster's ear, and with
// it the lead.
func (c *Cell) follow() {
	if !c.hasDoc && !c.docAbsent {
		c.readDoc()
		return
	}
	if c.stopping || c.boundByPromise() {
		return
	}
	if !c.mayLead() {
		c.rereadDoc()
		return
	}
	silence := c.cfg.Timing.PromiseDuration
	if c.now.Before(c.startedAt.Add(c.addDrift(silence))) && c.hasDoc {
		return
	}
	if c.now.Before(c.promise.heardAt.Add(silence + c.campaignDelay())) {
		return
	}
	c.startCampaign()
	c.runCampaign()
}

// rereadDoc looks for a newer document where this host belongs on the roster but
// hears no lead. The one that it has may be old: a host that was cut from the
// store when it restarted got a document from a lead that it then succeeded,
// and each of the two waited for the other.
func (c *Cell) rereadDoc() {
	if !c.hasDoc || c.now.Before(c.promise.heardAt.Add(maxSilence)) || c.now.Before(c.readAskedAt.Add(maxSilence)) {
		return
	}
	if c.hasFleet && slices.Contains(c.desiredRoster(), c.cfg.Self) {
		c.readDoc()
	}
}

func (c *Cell) startCampaign() {
	c.role = candidate
	c.campaign = campaign{startedAt: c.now}
	c.lease.heldByOther = false
}

// runCampaign carries a campaign on: read, take the lease, write the next term.
func (c *Cell) runCampaign() {
	if c.write.pending {
		return
	}
	if !c.mayLead() {
		c.role = follower
		return
	}
	if !c.campaign.docRead {
		c.readDoc()
		c.considerDeputy()
		return
	}
	if !c.now.Before(c.lease.until) {
		c.requestLease(c.campaignInterval())
		c.considerDeputy()
		return
	}
	c.propose(c.nextTermDoc())
}

// nextTermDoc returns the document with this host as lead.
func (c *Cell) nextTermDoc() Doc {
	d := c.doc.clone()
	d.Term = c.knownTerm() + 1
	d.Leader, d.LeaderAddr, d.LeaderIncarnation = c.cfg.Self, c.cfg.SelfAddr, c.cfg.Incarnation
	if !c.hasDoc {
		c.fillFirstDoc(&d)
		return d
	}
	if len(c.doc.Roster) == 0 {
		d.Roster = c.desiredRoster()
	} else if c.rosterLost() {
		d.Roster = []place.Host{c.cfg.Self}
		d.Removed = slices.DeleteFunc(d.Removed, func(r RemovedHost) bool { return r.Host == c.cfg.Self })
	}
	return d
}

// becomeLeader takes up a won term. Rows that an earlier lead may have granted
// are in doubt until their targets were asked.
func (c *Cell) becomeLeader() {
	c.role = leader
	c.term = c.doc.Term
	c.leaderSince = c.now
	c.heartbeatDue, c.reconcileDue = c.now, c.now
	c.plan, c.moveStarts, c.splitMoves = nil, nil, nil
	for i := range c.peers {
		c.peers[i].clearPromise()
	}
	for i := range c.targets {
		c.targets[i].resetTerm()
	}
	first := c.doc.Term == 1
	for i := range c.rows {
		c.rows[i] = rowState{holderUnknown: !first && !c.mutations.skipInventory, routable: !first}
	}
	c.tableChanged = true
	c.logf("Leads at term %d.", c.term)
}

// stepDown ends leading, deputising or campaigning.
func (c *Cell) stepDown(why string) {
	if c.role == leader || c.role == deputy {
		c.logf("Stops being %s: %s.", c.role, why)
	}
	c.role = follower
	c.term = 0
	c.lease.until = time.Time{}
	for i := range c.rows {
		c.rows[i] = rowState{}
	}
	c.promise.heardAt = latest(c.promise.heardAt, c.now.Add(-c.cfg.Timing.PromiseDuration/2))
}

// observeTerm records a higher term and stops a lead of a lower one.
func (c *Cell) observeTerm(term grant.Term, by string) {
	if term <= c.knownTerm() {
		return
	}
	c.seenTerm = term
	if c.role == leader || c.role == deputy {
		c.stepDown("a higher term is known to " + by)
	}
	c.readDoc()
}

// stop is the planned stop: hand over to a host that promised, then end.
func (c *Cell) stop() {
	if c.write.pending && c.now.Sub(c.write.sentAt) < callTimeout {
		return
	}
	if c.leading() {
		for i := range c.peers {
			if c.promisedBy(&c.peers[i]) {
				c.emit(SendPeer{To: c.peers[i].host, Message: Handover{Term: c.term}})
				break
			}
		}
		c.emit(ReleaseLease{})
	}
	c.stepDown("planned stop")
	c.role = stopped
	c.emit(Stopped{})
}

// leadCell runs the lead's systems.
func (c *Cell) leadCell() {
	if c.renewLimitPassed() && !c.mutations.leadPastLimit {
		// Another zone may have the shards by the time the store is back.
		c.stepDown("the service's hold has passed")
		return
	}
	c.requestLease(c.cfg.Timing.LeaseRenewInterval)
	c.sendHeartbeats()
	c.verifyLease()
	c.clearResolved()
	c.activateStandbys()
	c.reconcile()
	c.sendOrders()
}
