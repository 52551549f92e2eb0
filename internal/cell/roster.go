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
	// heard is when a lead's heartbeat last came; deputies don't count.
	heard     time.Time
	heardLead bool
}

// mate is what a lead or deputy knows of another host of the zone.
type mate struct {
	host   place.Host
	member bool // on the roster; others are asked before they join
	// until is the promise's end, counted from when the heartbeat was sent.
	until time.Time
	// since is when the promise became unbroken.
	since       time.Time
	incarnation place.Incarnation
	readStore   bool
	revision    platform.Revision
	// sent holds when the last heartbeats were sent, the newest at position
	// next-1. A promise names one of them; its own text of the time has lost
	// the monotonic reading.
	sent [heartbeatsKept]time.Time
	next int
}

// heartbeatsKept bounds the heartbeats that a late promise may answer.
const heartbeatsKept = 8

// sentAt returns when the heartbeat was sent that the promise answers.
func (m *mate) sentAt(named time.Time) (time.Time, bool) {
	for _, at := range m.sent {
		if !at.IsZero() && at.UnixNano() == named.UnixNano() {
			return at, true
		}
	}
	return time.Time{}, false
}

// forget drops what was promised to an earlier term.
func (m *mate) forget() {
	m.until, m.since = time.Time{}, time.Time{}
}

// alignMates lists the roster, the hosts that should join it, and those that
// left it and have not heard so.
func (c *Cell) alignMates() {
	old := c.mates
	c.mates = nil
	for _, h := range c.doc.Roster {
		c.addMate(old, h, true)
	}
	for _, h := range c.wantedRoster() {
		if !slices.Contains(c.doc.Roster, h) {
			c.addMate(old, h, false)
		}
	}
	for _, r := range c.doc.Removed {
		if c.mate(r.Host) == nil {
			c.addMate(old, r.Host, false)
		}
	}
}

func (c *Cell) addMate(old []mate, host place.Host, member bool) {
	if host == c.cfg.Self {
		return
	}
	m := mate{host: host}
	if i := slices.IndexFunc(old, func(m mate) bool { return m.host == host }); i >= 0 {
		m = old[i]
	}
	m.member = member
	c.mates = append(c.mates, m)
}

func (c *Cell) mate(host place.Host) *mate {
	i := slices.IndexFunc(c.mates, func(m mate) bool { return m.host == host })
	if i < 0 {
		return nil
	}
	return &c.mates[i]
}

// promised reports whether a promise of this host runs.
func (c *Cell) promised() bool { return c.now.Before(c.promise.until) }

// good reports whether the mate's promise to this host runs.
func (c *Cell) good(m *mate) bool { return c.now.Before(m.until) }

// heartbeat asks each mate for its next promise.
func (c *Cell) heartbeat() {
	if c.now.Before(c.heartbeatDue) {
		return
	}
	c.heartbeatDue = c.now.Add(c.cfg.Timing.Renew)
	c.alignMates()
	for i := range c.mates {
		m := &c.mates[i]
		hb := Heartbeat{
			Term: c.doc.Term, SentAt: c.now, Deputy: c.role == deputy,
			Revision: c.revision,
		}
		if m.incarnation != 0 && m.revision < c.revision {
			doc := c.doc.clone()
			hb.Doc = &doc
		}
		m.sent[m.next%heartbeatsKept] = c.now
		m.next++
		c.emit(SendPeer{To: m.host, Message: hb})
	}
}

func (c *Cell) takeMessage(ev PeerReceived) {
	switch m := ev.Message.(type) {
	case Heartbeat:
		c.takeHeartbeat(ev.From, m)
	case Promise:
		c.takePromise(ev.From, m)
	case Refuse:
		c.superseded(m.Term, string(ev.From))
	case Handover:
		c.takeHandover(ev.From, m)
	}
}

func (c *Cell) takeHeartbeat(from place.Host, hb Heartbeat) {
	if hb.Doc != nil {
		c.takeDoc(DocSeen{Exists: true, Doc: *hb.Doc, Revision: hb.Revision})
	}
	if hb.Term < c.knownTerm() {
		c.emit(SendPeer{To: from, Message: Refuse{Term: c.knownTerm()}})
		return
	}
	if !c.mayPromise(from, hb) {
		return
	}
	if c.role != follower {
		c.stepDown("another lead was heard")
	}
	if !hb.Deputy {
		c.promise.heard, c.promise.heardLead = c.now, true
	}
	c.promise.to, c.promise.until = from, c.now.Add(c.cfg.Timing.Promise)
	c.emit(SendPeer{To: from, Message: Promise{
		Term: hb.Term, SentAt: hb.SentAt, Incarnation: c.cfg.Incarnation,
		ReadStore: c.readStore, Revision: c.revision,
	}})
}

// mayPromise reports whether this host is free to promise to from.
func (c *Cell) mayPromise(from place.Host, hb Heartbeat) bool {
	if !c.knobs.noSilence && c.now.Before(c.born.Add(c.longer(c.cfg.Timing.Promise))) {
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
	other := c.promise.to != from && c.promised()
	return !other || c.knobs.sharedPromises
}

func (c *Cell) takePromise(from place.Host, p Promise) {
	m := c.mate(from)
	active := c.leading() && p.Term == c.term || c.role == deputy && p.Term == c.doc.Term
	if m == nil || !active {
		return
	}
	sent, known := m.sentAt(p.SentAt)
	if !known {
		return
	}
	if !c.good(m) || m.incarnation != p.Incarnation {
		m.since = c.now
	}
	m.until = latest(m.until, sent.Add(c.shorter(c.cfg.Timing.Promise)))
	m.incarnation, m.readStore, m.revision = p.Incarnation, p.ReadStore, p.Revision
}

// takeHandover frees this host to take the lead at once.
func (c *Cell) takeHandover(from place.Host, h Handover) {
	if h.Term < c.knownTerm() || c.promise.to != from || c.role != follower {
		return
	}
	c.promise = promise{heardLead: c.promise.heardLead}
	if !c.mayLead() {
		return
	}
	c.startCampaign()
}

// mayRenew reports whether this host has the right to renew grants: by a
// valid lease, by the promise of a roster host, or alone on the roster.
func (c *Cell) mayRenew() bool {
	if c.overHold() {
		return false
	}
	if c.leaseValid() || c.knobs.lonely {
		return true
	}
	members := 0
	for i := range c.mates {
		m := &c.mates[i]
		if !m.member {
			continue
		}
		members++
		if c.good(m) {
			return true
		}
	}
	// A pending write may have given this roster of one another member.
	return c.leading() && members == 0 && !c.write.pending
}

// overHold reports whether this host has been without the lease for longer
// than the service allows. Contact alone does not count: another zone that
// waits for the hold to pass has taken the lease, and counts from there.
func (c *Cell) overHold() bool {
	from := c.lease.held
	if c.knobs.holdContact {
		from = c.lease.contact
	}
	return c.cfg.Hold > 0 && c.now.After(from.Add(c.shorter(c.cfg.Hold)))
}

// allPromised reports whether every roster host promises to this one and has
// read the store in this life: nobody else can know better.
func (c *Cell) allPromised() bool {
	for i := range c.mates {
		m := &c.mates[i]
		if !m.member {
			continue
		}
		if !c.good(m) || !m.readStore && !c.knobs.standbyUnread {
			return false
		}
	}
	return len(c.doc.Removed) == 0
}

// unaccounted counts the hosts that may still renew grants of the target.
func (c *Cell) unaccounted(t *targetState) int {
	n := 0
	for i := range c.mates {
		m := &c.mates[i]
		if m.member && !c.good(m) && !c.hostLost(m.host) {
			n++
		}
	}
	if c.knobs.forgetRemoved {
		return n
	}
	for _, r := range c.doc.Removed {
		if !c.hostLost(r.Host) && !c.fenced(t, r.Term) {
			n++
		}
	}
	return n
}

// fenced reports whether the target refuses all terms below term.
func (c *Cell) fenced(t *targetState, term grant.Term) bool {
	return c.cfg.ChecksTerms && t.accepted >= term
}

// quietAt returns when the last grant that anybody could have made to the
// target has ended, if nobody renews from now on.
func (c *Cell) quietAt(t *targetState) time.Time {
	from := t.anchored
	if !c.knobs.lapseFromAnchor {
		from = latest(from, c.leadSince)
		for i := range c.mates {
			if m := &c.mates[i]; m.member && c.good(m) {
				from = latest(from, m.since)
			}
		}
		// A promise that the lost host made backs another one to its end.
		for _, since := range c.lostSince {
			if c.knobs.lostAtOnce {
				break
			}
			from = latest(from, since.Add(c.longer(c.cfg.Timing.Promise)))
		}
	}
	return from.Add(c.longer(c.cfg.Timing.Grant))
}

// lapsed reports whether all grants of the target have ended for certain:
// with the lease here, one host without a promise has neither lease nor
// backer, and has stopped.
func (c *Cell) lapsed(t *targetState) bool {
	if !c.leaseValid() || !c.now.After(c.quietAt(t)) {
		return false
	}
	return c.unaccounted(t) <= 1 || c.knobs.manyUnaccounted
}

func (c *Cell) hostLost(h place.Host) bool {
	return slices.ContainsFunc(c.lost, func(l Lost) bool { return l.Host != "" && l.Host == h })
}

// wantedRoster returns the hosts that should be able to lead, by rendezvous
// over the live hosts of the zone; hosts that lead or can lead now stay.
func (c *Cell) wantedRoster() []place.Host {
	var hosts []place.Host
	for _, h := range c.fleet.Hosts {
		if h.Zone == c.cfg.ID.Zone && h.State == place.Live && !c.hostLost(h.Host) {
			hosts = append(hosts, h.Host)
		}
	}
	rank := func(h place.Host) uint64 {
		w := weigh(string(c.cfg.ID.Service), string(h)) >> 1
		if slices.Contains(c.doc.Roster, h) {
			w |= 1 << 63
		}
		return w
	}
	slices.SortFunc(hosts, func(a, b place.Host) int { return compareDown(rank(a), rank(b)) })
	return hosts[:min(len(hosts), maxRoster)]
}
