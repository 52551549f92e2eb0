package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// promise is the promise that this host has made. Until it expires, the host
// neither leads nor renews grants in this cell, nor promises to another host.
type promise struct {
	to    place.Host
	until time.Time
	// heardAt is when the last heartbeat of a leader, not of a deputy, came. stepDown
	// sets a later time to delay the next campaign.
	heardAt time.Time
	// heardLeader is true if a leader's heartbeat has come in this incarnation.
	heardLeader bool
}

// peerState is a leader's or deputy's state of another host of the zone.
type peerState struct {
	host     place.Host
	onRoster bool // others are asked for promises before they join
	// promiseEnd is when the promise to this host expires, counted from when its
	// heartbeat was sent.
	promiseEnd time.Time
	// promisedSince is when the current uninterrupted promise began.
	promisedSince time.Time
	incarnation   place.Incarnation
	readStore     bool
	revision      platform.Revision
	// heartbeatTimes is a ring of the times at which the last heartbeats were sent,
	// the newest at next-1. A promise echoes one of them, but the echoed time has
	// lost its monotonic clock reading.
	heartbeatTimes [heartbeatsKept]time.Time
	next           int
}

// heartbeatsKept is how many heartbeats back a late promise may answer.
const heartbeatsKept = 8

// heartbeatTime returns when the heartbeat was sent whose time a promise echoes, with
// its monotonic clock reading.
func (p *peerState) heartbeatTime(echoed time.Time) (time.Time, bool) {
	for _, at := range p.heartbeatTimes {
		if !at.IsZero() && at.UnixNano() == echoed.UnixNano() {
			return at, true
		}
	}
	return time.Time{}, false
}

// clearPromise drops a promise to an earlier term.
func (p *peerState) clearPromise() {
	p.promiseEnd, p.promisedSince = time.Time{}, time.Time{}
}

// alignPeers rebuilds c.peers from the roster, the hosts that should join it, and
// the removed hosts, which may not know that they are removed.
func (c *Cell) alignPeers() {
	old := c.peers
	c.peers = nil
	for _, h := range c.doc.Roster {
		c.addPeer(old, h, true)
	}
	for _, h := range c.desiredRoster() {
		if !slices.Contains(c.doc.Roster, h) {
			c.addPeer(old, h, false)
		}
	}
	for _, r := range c.doc.Removed {
		if c.peer(r.Host) == nil {
			c.addPeer(old, r.Host, false)
		}
	}
}

func (c *Cell) addPeer(old []peerState, host place.Host, isRosterHost bool) {
	if host == c.cfg.Self {
		return
	}
	p := peerState{host: host}
	if i := slices.IndexFunc(old, func(p peerState) bool { return p.host == host }); i >= 0 {
		p = old[i]
	}
	p.onRoster = isRosterHost
	c.peers = append(c.peers, p)
}

func (c *Cell) peer(host place.Host) *peerState {
	i := slices.IndexFunc(c.peers, func(p peerState) bool { return p.host == host })
	if i < 0 {
		return nil
	}
	return &c.peers[i]
}

// boundByPromise reports whether this host's promise to another has not expired.
func (c *Cell) boundByPromise() bool { return c.now.Before(c.promise.until) }

// promisedBy reports whether the peer's promise to this host has not expired.
func (c *Cell) promisedBy(p *peerState) bool { return c.now.Before(p.promiseEnd) }

// sendHeartbeats asks each peer for its next promise.
func (c *Cell) sendHeartbeats() {
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.cfg.Timing.RenewInterval)
	c.alignPeers()
	for i := range c.peers {
		p := &c.peers[i]
		hb := Heartbeat{
			Term: c.doc.Term, SentAt: c.now, Deputy: c.role == deputy,
			Revision: c.revision,
		}
		if p.incarnation != 0 && p.revision < c.revision {
			doc := c.doc.clone()
			hb.Doc = &doc
		}
		p.heartbeatTimes[p.next%heartbeatsKept] = c.now
		p.next++
		c.emit(SendPeer{To: p.host, Message: hb})
	}
}

func (c *Cell) handleMessage(ev PeerReceived) {
	switch m := ev.Message.(type) {
	case Heartbeat:
		c.handleHeartbeat(ev.From, m)
	case Promise:
		c.handlePromise(ev.From, m)
	case HigherTerm:
		c.observeTerm(m.Term, string(ev.From))
	case Handover:
		c.handleHandover(ev.From, m)
	}
}

func (c *Cell) handleHeartbeat(from place.Host, hb Heartbeat) {
	if hb.Doc != nil {
		c.handleDoc(DocReceived{Exists: true, Doc: *hb.Doc, Revision: hb.Revision})
	}
	if hb.Term < c.knownTerm() {
		c.emit(SendPeer{To: from, Message: HigherTerm{Term: c.knownTerm()}})
		return
	}
	if !c.mayPromise(from, hb) {
		return
	}
	if c.role != follower {
		c.stepDown("heartbeat from another leader")
	}
	if !hb.Deputy {
		c.promise.heardAt, c.promise.heardLeader = c.now, true
	}
	c.promise.to, c.promise.until = from, c.now.Add(c.cfg.Timing.PromiseDuration)
	c.emit(SendPeer{To: from, Message: Promise{
		Term: hb.Term, SentAt: hb.SentAt, Incarnation: c.cfg.Incarnation,
		ReadStore: c.readStore, Revision: c.revision,
	}})
}

// mayPromise reports whether this host may make a promise to from.
func (c *Cell) mayPromise(from place.Host, hb Heartbeat) bool {
	if !c.mutations.skipStartupSilence && c.now.Before(c.startedAt.Add(c.addDrift(c.cfg.Timing.PromiseDuration))) {
		return false
	}
	if c.leading() && c.term >= hb.Term {
		return false
	}
	if c.write.pending {
		return false // if committed, it may make this host the leader
	}
	if c.role == deputy && hb.Deputy {
		return false
	}
	boundToOther := c.promise.to != from && c.boundByPromise()
	return !boundToOther || c.mutations.sharedPromises
}

func (c *Cell) handlePromise(from place.Host, msg Promise) {
	p := c.peer(from)
	active := c.leading() && msg.Term == c.term || c.role == deputy && msg.Term == c.doc.Term
	if p == nil || !active {
		return
	}
	sent, known := p.heartbeatTime(msg.SentAt)
	if !known {
		return
	}
	if !c.promisedBy(p) || p.incarnation != msg.Incarnation {
		p.promisedSince = c.now
	}
	p.promiseEnd = latest(p.promiseEnd, sent.Add(c.subtractDrift(c.cfg.Timing.PromiseDuration)))
	p.incarnation, p.readStore, p.revision = msg.Incarnation, msg.ReadStore, msg.Revision
}

// handleHandover ends the promise to the leader that hands over, and starts a
// campaign.
func (c *Cell) handleHandover(from place.Host, h Handover) {
	if h.Term < c.knownTerm() || c.promise.to != from || c.role != follower {
		return
	}
	c.promise = promise{heardLeader: c.promise.heardLeader}
	if !c.mayLead() {
		return
	}
	c.startCampaign()
}

// mayRenew reports whether this host may renew grants: by a valid lease, by the
// promise of a roster host, or as a leader that is alone on the roster.
func (c *Cell) mayRenew() bool {
	if c.renewLimitPassed() {
		return false
	}
	if c.leaseValid() || c.mutations.renewWithoutRight {
		return true
	}
	rosterPeers := 0
	for i := range c.peers {
		p := &c.peers[i]
		if !p.onRoster {
			continue
		}
		rosterPeers++
		if c.promisedBy(p) {
			return true
		}
	}
	// A pending write may have added a host to a roster of one.
	return c.leading() && rosterPeers == 0 && !c.write.pending
}

// renewLimitPassed reports whether the last lease renewal is longer ago than the
// renew limit. Contact with the store without the lease does not count: a zone that
// evicts this cell holds the lease and measures the limit from when it acquired it.
func (c *Cell) renewLimitPassed() bool {
	from := c.lease.renewedAt
	if c.mutations.limitFromContact {
		from = c.lease.contactAt
	}
	return c.cfg.RenewLimit > 0 && c.now.After(from.Add(c.subtractDrift(c.cfg.RenewLimit)))
}

// allPromised reports whether every roster host has promised to this one, in an
// incarnation that has read the store, and no removed host is left. Then no other
// host knows a later term.
func (c *Cell) allPromised() bool {
	for i := range c.peers {
		p := &c.peers[i]
		if !p.onRoster {
			continue
		}
		if !c.promisedBy(p) || !p.readStore && !c.mutations.skipStoreRead {
			return false
		}
	}
	return len(c.doc.Removed) == 0
}

// possibleRenewers counts the other hosts that may still renew the target's grants.
func (c *Cell) possibleRenewers(t *targetState) int {
	n := 0
	for i := range c.peers {
		p := &c.peers[i]
		if p.onRoster && !c.promisedBy(p) && !c.hostDeclaredLost(p.host) {
			n++
		}
	}
	if c.mutations.ignoreRemoved {
		return n
	}
	for _, r := range c.doc.Removed {
		if !c.hostDeclaredLost(r.Host) && !c.fenced(t, r.Term) {
			n++
		}
	}
	return n
}

// fenced reports whether the target rejects all terms below term.
func (c *Cell) fenced(t *targetState, term grant.Term) bool {
	return c.cfg.ChecksTerms && t.acceptedTerm >= term
}

// grantsEndAt returns when the last grant of the target by any host has expired, if
// no host renews from now on.
func (c *Cell) grantsEndAt(t *targetState) time.Time {
	from := t.anchoredAt
	if !c.mutations.expireFromAnchor {
		from = latest(from, c.leaderSince)
		for i := range c.peers {
			if p := &c.peers[i]; p.onRoster && c.promisedBy(p) {
				from = latest(from, p.promisedSince)
			}
		}
		// A host that is declared lost may have made a promise to another host, which
		// may renew grants until the promise expires.
		for _, since := range c.hostLostSince {
			if c.mutations.ignoreLostPromises {
				break
			}
			from = latest(from, since.Add(c.addDrift(c.cfg.Timing.PromiseDuration)))
		}
	}
	return from.Add(c.addDrift(c.cfg.Timing.GrantDuration))
}

// grantsExpired reports whether all grants of the target have certainly expired. One
// possible renewer is allowed: this host has the lease, and every other host that could
// make a promise has made it to this one, so that the possible renewer has neither lease
// nor promise and renews nothing.
func (c *Cell) grantsExpired(t *targetState) bool {
	if !c.leaseValid() || !c.now.After(c.grantsEndAt(t)) {
		return false
	}
	return c.possibleRenewers(t) <= 1 || c.mutations.ignoreRenewers
}

func (c *Cell) hostDeclaredLost(h place.Host) bool {
	return slices.ContainsFunc(c.losses, func(l LossDeclaration) bool { return l.Host != "" && l.Host == h })
}

// desiredRoster returns the hosts that should be able to lead the cell: the live
// hosts of the zone by rendezvous hashing, those on the roster first.
func (c *Cell) desiredRoster() []place.Host {
	var hosts []place.Host
	for _, h := range c.fleet.Hosts {
		if h.Zone == c.cfg.ID.Zone && h.State == place.Live && !c.hostDeclaredLost(h.Host) {
			hosts = append(hosts, h.Host)
		}
	}
	rank := func(h place.Host) uint64 {
		w := rendezvousWeight(string(c.cfg.ID.Service), string(h)) >> 1
		if slices.Contains(c.doc.Roster, h) {
			w |= 1 << 63
		}
		return w
	}
	slices.SortFunc(hosts, func(a, b place.Host) int { return compareDescending(rank(a), rank(b)) })
	return hosts[:min(len(hosts), maxRoster)]
}
