package cell

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// updateRoster drops roster hosts that are silent or gone and lets others
// join. Each change raises the term and asks for all promises anew, which
// delays lapse; so it waits until no target that owns shards is silent.
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

// stable reports whether all rows are settled and their owners answer.
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

// nextRoster returns the roster after the next change and who leaves it.
func (c *Cell) nextRoster() (roster, removed []place.Host) {
	for _, h := range c.doc.Roster {
		if c.staysOnRoster(h) {
			roster = append(roster, h)
		} else {
			removed = append(removed, h)
		}
	}
	for i := range c.peers {
		m := &c.peers[i]
		if !m.onRoster && len(roster) < maxRoster && c.promisedBy(m) && m.revision == c.revision && c.belongsOnRoster(m.host) {
			roster = append(roster, m.host)
		}
	}
	return roster, removed
}

// belongsOnRoster reports whether the host belongs on the roster.
func (c *Cell) belongsOnRoster(h place.Host) bool { return slices.Contains(c.desiredRoster(), h) }

func (c *Cell) staysOnRoster(h place.Host) bool {
	if h == c.cfg.Self {
		return true
	}
	m := c.peer(h)
	if m == nil || c.hostDeclaredLost(h) {
		return false
	}
	if c.now.Sub(latest(m.promiseEnd, c.leaderSince)) > maxSilence {
		return false
	}
	i := slices.IndexFunc(c.fleet.Hosts, func(r place.HostRow) bool { return r.Host == h })
	return i < 0 || c.fleet.Hosts[i].State != place.Leaving
}

// handleLosses records the operators' declarations. What a lost host granted until
// then, or let others grant by its promise, still has to lapse.
func (c *Cell) handleLosses(lost []LossDeclaration) {
	since := make(map[place.Host]time.Time)
	for _, l := range lost {
		if l.Host == "" {
			continue
		}
		since[l.Host] = c.now
		if at, known := c.hostLostSince[l.Host]; known {
			since[l.Host] = at
		}
	}
	c.losses, c.hostLostSince, c.listsChanged = slices.Clone(lost), since, true
}

// adoptRoster takes up a roster that this lead wrote: promises to the term
// before count no more.
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
