package owner

import (
	"time"

	"citrontray.example/citrontray/internal/platform"
)

// Restored tells that the store has come back from an older copy since a term began:
// the term's lease and what it last wrote are gone, or will be another's. Until this
// host leads again by the store, and has waited for leads that nobody remembers, it
// renews what its owners surely hold and does nothing else.
func (c *Core) Restored(now time.Time, term Term) {
	if !c.leading || c.restored || term != c.term {
		return
	}
	c.restored, c.pending = true, nil
	if now.Before(c.leaseEnd) {
		c.leaseEnd = now
	}
	c.freeze(now, now.Add(c.forgottenFor()))
}

// Forgotten reports whether this host leads by a store that has forgotten it.
func (c *Core) Forgotten() bool { return c.leading && c.restored }

// forgottenFor is how long after a restore any lead of before may have held ranges:
// the lease that it had, the right to renew after that, an order on its way, and what
// that granted.
func (c *Core) forgottenFor() time.Duration {
	return c.cfg.Lease + c.cfg.Right + c.cfg.Order + c.cfg.longest()
}

// goOn starts a term after one that the store has forgotten, on what this host knows.
func (c *Core) goOn(now time.Time, doc Doc, revision platform.Revision, leaseEnd time.Time) {
	c.term, c.revision, c.leaseEnd = doc.Term, revision, leaseEnd
	c.restored, c.marked, c.fences = false, true, 0
	c.stragglers = now.Add(c.cfg.Lease + c.cfg.Right)
	c.freeze(now, now.Add(c.forgottenFor()))
}

// freeze ends all moves, and lets no range become free before until: a lead that was
// forgotten may have had it released, and given it to another owner. What this host
// has released on its way to another owner may be held by anyone.
func (c *Core) freeze(now, until time.Time) {
	c.cautious, c.changed = later(c.cautious, until), true
	for _, r := range c.rows {
		switch r.state {
		case held:
		case leaving:
			r.state, r.served = held, now.Before(r.sure)
		case releasing, free, writing:
			c.doubtful(now, r)
		}
		r.to, r.released, r.end = "", false, later(r.end, c.cautious)
	}
}

// doubtful notes that nothing is known of who holds a range, until all that leads of
// before may have granted has ended.
func (c *Core) doubtful(now time.Time, r *row) {
	r.state, r.served, r.since, r.sure, r.released = held, false, now, now, false
	r.acked, r.lost, r.fence, r.conn = 0, 0, 0, 0
	r.end = later(r.end, c.cautious)
	c.changed = true
}
