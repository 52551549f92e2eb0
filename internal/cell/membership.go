package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// updateRoster removes roster hosts that are unresponsive or leaving and adds
// others. Each change raises the term and needs new promises of all hosts, which
// delays the expiry of grants. It therefore waits until all owners are responsive.
func (c *Cell) updateRoster() {
	if !c.stable() {
		return
	}
	roster, removed := c.nextRoster()
	if slices.Equal(roster, c.doc.Roster) {
		return
	}
	d := c.doc.clone()
	d.Term = c.knownTerm() + 1
	d.Roster = roster
	d.Removed = slices.DeleteFunc(d.Removed, func(r RemovedHost) bool { return slices.Contains(roster, r.Host) })
	for _, h := range removed {
		d.Removed = append(d.Removed, RemovedHost{Host: h, Term: d.Term})
	}
	if len(d.Removed) <= maxRemoved {
		c.propose(d)
	}
}

// stable reports whether all holders are known, no shard is released or activated,
// and all owners are responsive.
func (c *Cell) stable() bool {
	for i := range c.rows {
		s := &c.rows[i]
		if s.holderUnknown || s.releasing || s.activation != nil {
			return false
		}
		if o := c.doc.Rows[i].Owner; o != NoTarget && !c.responsive(&c.targets[o]) {
			return false
		}
	}
	return true
}

// nextRoster returns the next roster and the hosts to be removed.
func (c *Cell) nextRoster() (roster, removed []place.Host) {
	for _, h := range c.doc.Roster {
		if c.staysOnRoster(h) {
			roster = append(roster, h)
		} else {
			removed = append(removed, h)
		}
	}
	for i := range c.peers {
		p := &c.peers[i]
		if !p.onRoster && len(roster) < maxRoster && c.promisedBy(p) && p.revision == c.revision && c.belongsOnRoster(p.host) {
			roster = append(roster, p.host)
		}
	}
	return roster, removed
}

// belongsOnRoster reports whether the host is on the desired roster.
func (c *Cell) belongsOnRoster(h place.Host) bool { return slices.Contains(c.desiredRoster(), h) }

func (c *Cell) staysOnRoster(h place.Host) bool {
	if h == c.cfg.Self {
		return true
	}
	p := c.peer(h)
	if p == nil || c.hostDeclaredLost(h) {
		return false
	}
	if c.now.Sub(latest(p.promiseEnd, c.leaderSince)) > maxSilence {
		return false
	}
	i := slices.IndexFunc(c.fleet.Hosts, func(r place.HostRow) bool { return r.Host == h })
	return i < 0 || c.fleet.Hosts[i].State != place.Leaving
}

// handleLosses records the loss declarations, and since when each host is declared
// lost. The grants that it made, or allowed by its promise, still have to expire.
func (c *Cell) handleLosses(declarations []LossDeclaration) {
	since := make(map[place.Host]time.Time)
	for _, l := range declarations {
		if l.Host == "" {
			continue
		}
		since[l.Host] = c.now
		if at, known := c.hostLostSince[l.Host]; known {
			since[l.Host] = at
		}
	}
	c.losses, c.hostLostSince, c.listsChanged = slices.Clone(declarations), since, true
}

// adoptRoster begins the term of a roster that this leader wrote. The promises to
// the term before no longer count.
func (c *Cell) adoptRoster() {
	c.term = c.doc.Term
	c.leaderSince = c.now
	for i := range c.peers {
		c.peers[i].clearPromise()
	}
	c.heartbeatDue = c.now
	for i := range c.targets {
		c.targets[i].due = c.now
	}
}
