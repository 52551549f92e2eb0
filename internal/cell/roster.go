package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/platform"
)

// promise is what this host promised, and to whom: until its end it neither
// leads nor renews here, nor promises to anyone else.
type promise struct {
	to    place.Host
	until time.Time
	// heardAt is when a lead's heartbeat last came; deputies don't count.
	heardAt     time.Time
	heardLeader bool
}

// peerState is what a lead or deputy knows of another host of the zone.
type peerState struct {
	host     place.Host
	onRoster bool // on the roster; others are asked before they join
	// promiseEnd is the promise's end, counted from when the heartbeat was sent.
	promiseEnd time.Time
	// promisedSince is when the promise became unbroken.
	promisedSince time.Time
	incarnation   place.Incarnation
	readStore     bool
	revision      platform.Revision
	// heartbeatTimes holds when the last heartbeats were sent, the newest at position
	// next-1. A promise names one of them; its own text of the time has lost
	// the monotonic reading.
	heartbeatTimes [heartbeatsKept]time.Time
	next           int
}

// heartbeatsKept bounds the heartbeats that a late promise may answer.
const heartbeatsKept = 8

// heartbeatTime returns when the heartbeat was sent that the promise answers.
func (m *peerState) heartbeatTime(named time.Time) (time.Time, bool) {
	for _, at := range m.heartbeatTimes {
		if !at.IsZero() && at.UnixNano() == named.UnixNano() {
			return at, true
		}
	}
	return time.Time{}, false
}

// clearPromise drops what was promised to an earlier term.
func (m *peerState) clearPromise() {
	m.promiseEnd, m.promisedSince = time.Time{}, time.Time{}
}

// alignPeers lists the roster, the hosts that should join it, and those that
// left it and have not heard so.
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

func (c *Cell) addPeer(old []peerState, host place.Host, member bool) {
	if host == c.cfg.Self {
		return
	}
	m := peerState{host: host}
	if i := slices.IndexFunc(old, func(m peerState) bool { return m.host == host }); i >= 0 {
		m = old[i]
	}
	m.onRoster = member
	c.peers = append(c.peers, m)
}

func (c *Cell) peer(host place.Host) *peerState {
	i := slices.IndexFunc(c.peers, func(m peerState) bool { return m.host == host })
	if i < 0 {
		return nil
	}
	return &c.peers[i]
}

// boundByPromise reports whether a promise of this host runs.
func (c *Cell) boundByPromise() bool { return c.now.Before(c.promise.until) }

// promisedBy reports whether the mate's promise to this host runs.
func (c *Cell) promisedBy(m *peerState) bool { return c.now.Before(m.promiseEnd) }

// sendHeartbeats asks each mate for its next promise.
func (c *Cell) sendHeartbeats() {
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.cfg.Timing.RenewInterval)
	c.alignPeers()
	for i := range c.peers {
		m := &c.peers[i]
		hb := Heartbeat{
			Term: c.doc.Term, SentAt: c.now, Deputy: c.role == deputy,
			Revision: c.revision,
		}
		if m.incarnation != 0 && m.revision < c.revision {
			doc := c.doc.clone()
			hb.Doc = &doc
		}
		m.heartbeatTimes[m.next%heartbeatsKept] = c.now
		m.next++
		c.emit(SendPeer{To: m.host, Message: hb})
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
		c.stepDown("another lead was heard")
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

// mayPromise reports whether this host is free to promise to from.
func (c *Cell) mayPromise(from place.Host, hb Heartbeat) bool {
	if !c.mutations.skipStartupSilence && c.now.Before(c.startedAt.Add(c.addDrift(c.cfg.Timing.PromiseDuration))) {
		return false
	}
	if c.leading() && c.term >= hb.Term {
		return false
	}
	if c.write.pending {
		return false // its outcome may make this host the lead
	}
	if c.role == deputy && hb.Deputy {
		return false
	}
	other := c.promise.to != from && c.boundByPromise()
	return !other || c.mutations.sharedPromises
}

func (c *Cell) handlePromise(from place.Host, p Promise) {
	m := c.peer(from)
	active := c.leading() && p.Term == c.term || c.role == deputy && p.Term == c.doc.Term
	if m == nil || !active {
		return
	}
	sent, known := m.heartbeatTime(p.SentAt)
	if !known {
		return
	}
	if !c.promisedBy(m) || m.incarnation != p.Incarnation {
		m.promisedSince = c.now
	}
	m.promiseEnd = latest(m.promiseEnd, sent.Add(c.subtractDrift(c.cfg.Timing.PromiseDuration)))
	m.incarnation, m.readStore, m.revision = p.Incarnation, p.ReadStore, p.Revision
}

// handleHandover frees this host to take the lead at once.
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

// mayRenew reports whether this host has the right to renew grants: by a
// valid lease, by the promise of a roster host, or alone on the roster.
func (c *Cell) mayRenew() bool {
	if c.renewLimitPassed() {
		return false
	}
	if c.leaseValid() || c.mutations.renewUnbacked {
		return true
	}
	members := 0
	for i := range c.peers {
		m := &c.peers[i]
		if !m.onRoster {
			continue
		}
		members++
		if c.promisedBy(m) {
			return true
		}
	}
	// A pending write may have given this roster of one another member.
	return c.leading() && members == 0 && !c.write.pending
}

// renewLimitPassed reports whether this host has been without the lease for longer
// than the service allows. Contact alone does not count: another zone that
// waits for the hold to pass has taken the lease, and counts from there.
func (c *Cell) renewLimitPassed() bool {
	from := c.lease.renewedAt
	if c.mutations.limitFromContact {
		from = c.lease.contactAt
	}
	return c.cfg.RenewLimit > 0 && c.now.After(from.Add(c.subtractDrift(c.cfg.RenewLimit)))
}

// allPromised reports whether every roster host promises to this one and has
// read the store in this life: nobody else can know better.
func (c *Cell) allPromised() bool {
	for i := range c.peers {
		m := &c.peers[i]
		if !m.onRoster {
			continue
		}
		if !c.promisedBy(m) || !m.readStore && !c.mutations.skipStoreRead {
			return false
		}
	}
	return len(c.doc.Removed) == 0
}

// possibleRenewers counts the hosts that may still renew grants of the target.
func (c *Cell) possibleRenewers(t *targetState) int {
	n := 0
	for i := range c.peers {
		m := &c.peers[i]
		if m.onRoster && !c.promisedBy(m) && !c.hostDeclaredLost(m.host) {
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

// fenced reports whether the target refuses all terms below term.
func (c *Cell) fenced(t *targetState, term grant.Term) bool {
	return c.cfg.ChecksTerms && t.acceptedTerm >= term
}

// grantsEndAt returns when the last grant that anybody could have made to the
// target has ended, if nobody renews from now on.
func (c *Cell) grantsEndAt(t *targetState) time.Time {
	from := t.anchoredAt
	if !c.mutations.expireFromAnchor {
		from = latest(from, c.leaderSince)
		for i := range c.peers {
			if m := &c.peers[i]; m.onRoster && c.promisedBy(m) {
				from = latest(from, m.promisedSince)
			}
		}
		// A promise that the lost host made backs another one to its end.
		for _, since := range c.hostLostSince {
			if c.mutations.ignoreLostPromises {
				break
			}
			from = latest(from, since.Add(c.addDrift(c.cfg.Timing.PromiseDuration)))
		}
	}
	return from.Add(c.addDrift(c.cfg.Timing.GrantDuration))
}

// grantsExpired reports whether all grants of the target have ended for certain:
// with the lease here, one host without a promise has neither lease nor
// backer, and has stopped.
func (c *Cell) grantsExpired(t *targetState) bool {
	if !c.leaseValid() || !c.now.After(c.grantsEndAt(t)) {
		return false
	}
	return c.possibleRenewers(t) <= 1 || c.mutations.ignoreRenewers
}

func (c *Cell) hostDeclaredLost(h place.Host) bool {
	return slices.ContainsFunc(c.losses, func(l LossDeclaration) bool { return l.Host != "" && l.Host == h })
}

// desiredRoster returns the hosts that should be able to lead, by rendezvous
// over the live hosts of the zone; hosts that lead or can lead now stay.
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
