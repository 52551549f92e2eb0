package owner

import (
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// StoreRestored records that the store was restored from an older snapshot since a term
// began: the lease of the term and its last writes are lost, or belong to another host.
// Until this host is elected again, and leaders that were lost in the restore can no
// longer send orders, it only renews ranges that their owners certainly hold.
func (c *Core) StoreRestored(now time.Time, term Term) {
	if !c.leading || c.termLost || term != c.term && (c.pending == nil || term != c.pending.Term) {
		return
	}
	c.termLost, c.pending = true, nil
	if now.Before(c.leaseEnd) {
		c.leaseEnd = now
	}
	c.freeze(now, now.Add(c.restoreWait()))
}

// TermLost reports whether this core leads a term that was lost in a restore of the
// store.
func (c *Core) TermLost() bool { return c.leading && c.termLost }

// restoreWait returns how long after a restore a leader from before it may cause a
// range to be held: its lease, its renewal grace, an order in flight, and the grant in
// that order.
func (c *Core) restoreWait() time.Duration {
	return c.cfg.LeaseTTL + c.cfg.RenewGrace + c.cfg.OrderTimeout + c.cfg.maxGrantDuration()
}

// resumeAfterRestore starts a term after one that was lost in a restore, with this
// host's own state.
func (c *Core) resumeAfterRestore(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time) {
	c.term, c.revision, c.leaseEnd = doc.Term, revision, leaseEnd
	c.termLost, c.docFlagged, c.lastFence, c.outranked = false, true, 0, false
	c.priorMayRenewUntil = now.Add(c.cfg.LeaseTTL + c.cfg.RenewGrace)
	c.freeze(now, now.Add(c.restoreWait()))
}

// freeze cancels all moves, and keeps ranges from becoming free before until: a leader
// that was lost in the restore may have released a range and given it to another owner.
// A range that this host was moving to another owner may be held by any target.
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

// markUnknown records that it is unknown which target holds a range, until all grants
// that leaders from before a restore may have sent have expired.
func (c *Core) markUnknown(now time.Time, r *row) {
	r.state, r.routable, r.since, r.heldUntil, r.released = held, false, now, now, false
	r.acked, r.unacked, r.fence, r.grantConn = 0, 0, 0, 0
	r.expiresBy = later(r.expiresBy, c.frozenUntil)
	c.changed = true
}
