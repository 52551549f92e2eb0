package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// campaign is the state of a candidate.
type campaign struct {
	startedAt time.Time
	// docRead is true if the store was read since the campaign began.
	docRead bool
}

// mayLead reports whether this host may lead the cell: it is on the document's
// roster, or on the desired roster while there is no document or every roster host
// is declared lost.
func (c *Cell) mayLead() bool {
	if !c.hasDoc {
		return c.docAbsent && c.hasCustody && c.hasFleet && slices.Contains(c.desiredRoster(), c.cfg.Self)
	}
	if slices.Contains(c.doc.Roster, c.cfg.Self) {
		return true
	}
	return c.rosterLost() && slices.Contains(c.desiredRoster(), c.cfg.Self)
}

// rosterLost reports whether every roster host is declared lost. That includes an
// empty roster, as of a cell that was evicted before it had a leader.
func (c *Cell) rosterLost() bool {
	for _, h := range c.doc.Roster {
		if !c.hostDeclaredLost(h) {
			return false
		}
	}
	return true
}

// campaignDelay returns this host's delay by its rank on the roster, so that the
// hosts of a cell do not all campaign at once.
func (c *Cell) campaignDelay() time.Duration {
	roster := c.doc.Roster
	if !c.hasDoc {
		roster = c.desiredRoster()
	}
	i := max(slices.Index(roster, c.cfg.Self), 0)
	if leaderIndex := slices.Index(roster, c.doc.Leader); leaderIndex >= 0 && leaderIndex < i {
		i--
	}
	return time.Duration(i) * rankDelay
}

// campaignInterval returns the interval between lease calls of a campaign. It is
// short at first, while the old leader's lease is about to expire.
func (c *Cell) campaignInterval() time.Duration {
	if c.now.Sub(c.campaign.startedAt) < fastCampaignPeriod {
		return fastCampaignInterval
	}
	return c.cfg.Timing.LeaseRenewInterval
}

// follow starts a campaign once the leader sends no more heartbeats. A leader whose
// lease expired because the store is slow still sends them, and so keeps leading.
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
	promiseDuration := c.cfg.Timing.PromiseDuration
	if c.now.Before(c.startedAt.Add(c.addDrift(promiseDuration))) && c.hasDoc {
		return
	}
	if c.now.Before(c.promise.heardAt.Add(promiseDuration + c.campaignDelay())) {
		return
	}
	c.startCampaign()
	c.runCampaign()
}

// rereadDoc reads the document if this host belongs on the roster but gets no leader's
// heartbeats, as its document may be outdated. Otherwise a host that could not reach the
// store as it restarted could get an old document from a leader that it then
// succeeded, and the two hosts would wait for each other.
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

// runCampaign takes the next step of a campaign: read the document, acquire the
// lease, write the next term.
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

// nextTermDoc returns the document of the next term, with this host as the leader.
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

// becomeLeader begins the term that was just written. The holders of shards that a
// prior leader may have granted are unknown until the targets have responded.
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
	c.logf("Leading at term %d.", c.term)
}

// stepDown makes a leader, deputy or candidate a follower.
func (c *Cell) stepDown(reason string) {
	if c.role == leader || c.role == deputy {
		c.logf("Stepping down as %s: %s.", c.role, reason)
	}
	c.role = follower
	c.term = 0
	c.lease.until = time.Time{}
	for i := range c.rows {
		c.rows[i] = rowState{}
	}
	c.promise.heardAt = latest(c.promise.heardAt, c.now.Add(-c.cfg.Timing.PromiseDuration/2))
}

// observeTerm records a term that a host or target has reported. If it is higher
// than the known one, a leader or deputy steps down.
func (c *Cell) observeTerm(term grant.Term, reporter string) {
	if term <= c.knownTerm() {
		return
	}
	c.seenTerm = term
	if c.role == leader || c.role == deputy {
		c.stepDown("higher term reported by " + reporter)
	}
	c.readDoc()
}

// stop stops gracefully: it hands over to a host that has promised, if any.
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
	c.stepDown("graceful stop")
	c.role = stopped
	c.emit(Stopped{})
}

// leadCell runs the decision steps of a leader.
func (c *Cell) leadCell() {
	if c.renewLimitPassed() && !c.mutations.leadPastLimit {
		// Another zone may have the shards by the time the store is available again.
		c.stepDown("renew limit has passed")
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
