package owner

import (
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// StoreRestored tells that the store has come back from an older copy since a term began:
// the term's lease and what it last wrote are gone, or will be another's. Until this
// host leads again by the store, and has waited for leads that nobody remembers, it
// renews what its owners surely hold and does nothing else.
func (c *Core) StoreRestored(now time.Time, term Term) {
	if !c.leading || c.termLost || term != c.term {
		return
	}
	c.termLost, c.pending = true, nil
	if now.Before(c.leaseEnd) {
		c.leaseEnd = now
	}
	c.freeze(now, now.Add(c.restoreWait()))
}

// TermLost reports whether this host leads by a store that has forgotten it.
func (c *Core) TermLost() bool { return c.leading && c.termLost }

// restoreWait is how long after a restore any lead of before may have held ranges:
// the lease that it had, the right to renew after that, an order on its way, and what
// that granted.
func (c *Core) restoreWait() time.Duration {
	return c.cfg.LeaseTTL + c.cfg.RenewGrace + c.cfg.OrderTimeout + c.cfg.maxGrantDuration()
}

// resumeAfterRestore starts a term after one that the store has forgotten, on what this host knows.
func (c *Core) resumeAfterRestore(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time) {
	c.term, c.revision, c.leaseEnd = doc.Term, revision, leaseEnd
	c.termLost, c.docFlagged, c.lastFence = false, true, 0
	c.priorMayRenewUntil = now.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
	c.freeze(now, now.Add(c.restoreWait()))
}

// freeze ends all moves, and lets no range become free before until: a lead that was
// forgotten may have had it released, and given it to another owner. What this host
// has released on its way to another owner may be held by anyone.
func (c *Core) freeze(now, until time.Time) {
	c.frozenUntil, c.changed = later(c.frozenUntil, until), true
	for _, r := range c.rows {
		switch r.state {
		case held:
		case releasePending:
			r.state, r.routable = held, now.Before(r.heldUntil)
		case releasing, free, writing:
			c.markUnknown(now, r)
		}
		r.to, r.released, r.expiresBy = "", false, later(r.expiresBy, c.frozenUntil)
	}
}

// markUnknown notes that nothing is known of who holds a range, until all that leads of
// before may have granted has ended.
func (c *Core) markUnknown(now time.Time, r *row) {
	r.state, r.routable, r.since, r.heldUntil, r.released = held, false, now, now, false
	r.acked, r.unacked, r.fence, r.grantConn = 0, 0, 0, 0
	r.expiresBy = later(r.expiresBy, c.frozenUntil)
	c.changed = true
}
