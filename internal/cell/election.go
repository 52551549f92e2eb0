package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
)

// campaign is the state of a host that tries to take the lead.
type campaign struct {
	since time.Time
	// fresh tells that the store was read since the campaign began.
	fresh bool
}

// mayLead reports whether the document, or the fleet where there is no
// document yet, names this host as one that may lead the cell.
func (c *Cell) mayLead() bool {
	if !c.hasDoc {
		return c.absent && c.custodySeen && c.fleetSeen && slices.Contains(c.wantedRoster(), c.cfg.Self)
	}
	if slices.Contains(c.doc.Roster, c.cfg.Self) {
		return true
	}
	return c.rosterLost() && slices.Contains(c.wantedRoster(), c.cfg.Self)
}

// rosterLost reports whether operators declared every roster host lost. The
// document of a cell that was evicted before it had a lead names no host.
func (c *Cell) rosterLost() bool {
	for _, h := range c.doc.Roster {
		if !c.hostLost(h) {
			return false
		}
	}
	return true
}

// rank spreads the candidates of one cell over time.
func (c *Cell) rank() time.Duration {
	roster := c.doc.Roster
	if !c.hasDoc {
		roster = c.wantedRoster()
	}
	i := max(slices.Index(roster, c.cfg.Self), 0)
	if lead := slices.Index(roster, c.doc.Lead); lead >= 0 && lead < i {
		i--
	}
	return time.Duration(i) * rankDelay
}

// campaignInterval is short while the old lead's lease is about to lapse.
func (c *Cell) campaignInterval() time.Duration {
	if c.now.Sub(c.campaign.since) < campaignEager {
		return campaignEvery
	}
	return c.cfg.Timing.LeaseRenew
}

// follow starts a campaign once the lead is silent on the peer link. A lead
// that merely lost its lease to a slow store keeps its roster's ear, and with
// it the lead.
func (c *Cell) follow() {
	if !c.hasDoc && !c.absent {
		c.read()
		return
	}
	if c.stopping || c.promised() {
		return
	}
	if !c.mayLead() {
		c.reread()
		return
	}
	silence := c.cfg.Timing.Promise
	if c.now.Before(c.born.Add(c.longer(silence))) && c.hasDoc {
		return
	}
	if c.now.Before(c.promise.heard.Add(silence + c.rank())) {
		return
	}
	c.startCampaign()
	c.run()
}

// reread looks for a newer document where this host belongs on the roster but
// hears no lead. The one that it has may be old: a host that was cut from the
// store when it restarted got a document from a lead that it then succeeded,
// and each of the two waited for the other.
func (c *Cell) reread() {
	if !c.hasDoc || c.now.Before(c.promise.heard.Add(memberSilence)) || c.now.Before(c.readAsked.Add(memberSilence)) {
		return
	}
	if c.fleetSeen && slices.Contains(c.wantedRoster(), c.cfg.Self) {
		c.read()
	}
}

func (c *Cell) startCampaign() {
	c.role = candidate
	c.campaign = campaign{since: c.now}
	c.lease.taken = false
}

// run carries a campaign on: read, take the lease, write the next term.
func (c *Cell) run() {
	if c.write.pending {
		return
	}
	if !c.mayLead() {
		c.role = follower
		return
	}
	if !c.campaign.fresh {
		c.read()
		c.considerDeputy()
		return
	}
	if !c.now.Before(c.lease.until) {
		c.askLease(c.campaignInterval())
		c.considerDeputy()
		return
	}
	c.propose(c.nextTerm())
}

// nextTerm returns the document with this host as lead.
func (c *Cell) nextTerm() Doc {
	d := c.doc.clone()
	d.Term = c.knownTerm() + 1
	d.Lead, d.LeadAddr, d.LeadIncarnation = c.cfg.Self, c.cfg.SelfAddr, c.cfg.Incarnation
	if !c.hasDoc {
		c.firstLayout(&d)
		return d
	}
	if len(c.doc.Roster) == 0 {
		d.Roster = c.wantedRoster()
	} else if c.rosterLost() {
		d.Roster = []place.Host{c.cfg.Self}
		d.Removed = slices.DeleteFunc(d.Removed, func(r RemovedHost) bool { return r.Host == c.cfg.Self })
	}
	return d
}

// becomeLead takes up a won term. Rows that an earlier lead may have granted
// are in doubt until their targets were asked.
func (c *Cell) becomeLead() {
	c.role = leader
	c.term = c.doc.Term
	c.leadSince = c.now
	c.heartbeatDue, c.maintainDue = c.now, c.now
	c.plan, c.planStarts, c.cuts = nil, nil, nil
	for i := range c.mates {
		c.mates[i].forget()
	}
	for i := range c.targets {
		c.targets[i].taken()
	}
	first := c.doc.Term == 1
	for i := range c.rows {
		c.rows[i] = rowState{doubt: !first && !c.knobs.noInventory, served: !first}
	}
	c.dirty = true
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
	c.promise.heard = latest(c.promise.heard, c.now.Add(-c.cfg.Timing.Promise/2))
}

// superseded records a higher term and stops a lead of a lower one.
func (c *Cell) superseded(term grant.Term, by string) {
	if term <= c.knownTerm() {
		return
	}
	c.refused = term
	if c.role == leader || c.role == deputy {
		c.stepDown("a higher term is known to " + by)
	}
	c.read()
}

// stop is the planned stop: hand over to a host that promised, then end.
func (c *Cell) stop() {
	if c.write.pending && c.now.Sub(c.write.sent) < callTimeout {
		return
	}
	if c.leading() {
		for i := range c.mates {
			if c.good(&c.mates[i]) {
				c.emit(SendPeer{To: c.mates[i].host, Message: Handover{Term: c.term}})
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
	if c.overHold() && !c.knobs.holdOver {
		// Another zone may have the shards by the time the store is back.
		c.stepDown("the service's hold has passed")
		return
	}
	c.askLease(c.cfg.Timing.LeaseRenew)
	c.heartbeat()
	c.verifyLease()
	c.settle()
	c.standbys()
	c.maintain()
	c.orders()
}
