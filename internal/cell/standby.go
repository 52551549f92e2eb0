package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/grant"
)

// standbys activates the standby of shards whose owner is gone while the
// store is out. Every roster host must promise, must have read the store in
// this life, and must have acknowledged the intent first: a successor or a
// deputy then knows that the standby may hold the shard.
func (c *Cell) standbys() {
	if !c.storeOut() || !c.cfg.ChecksTerms || !c.allPromised() || !c.mayRenew() || c.write.pending {
		c.dropIntents()
		return
	}
	for i := range c.rows {
		s := &c.rows[i]
		r := c.doc.Rows[i]
		if s.doubt || s.giving || s.active != nil || r.Owner == NoTarget || r.Standby == NoTarget || r.Standby == r.Owner {
			continue
		}
		released := s.releasing && c.releaseEvidence(i) != nil
		if !released && !c.gone(r.Owner) || !c.eligible(r.Standby) {
			s.intent = nil
			continue
		}
		c.considerStandby(i)
	}
}

// gone reports whether all grants of the target have ended, without the
// lease: every host that could renew promises to this one.
func (c *Cell) gone(i TargetIndex) bool {
	t := &c.targets[i]
	return !c.answering(t) && c.now.After(c.quietAt(t))
}

func (c *Cell) considerStandby(i int) {
	s := &c.rows[i]
	r := c.doc.Rows[i]
	if s.intent == nil {
		// The standby may have held the shard before, at a later epoch.
		epoch := max(r.Epoch, c.targets[r.Standby].floor(r.Shard)) + 1
		s.intent = &Intent{Shard: r.Shard, To: r.Standby, Epoch: epoch}
		c.heartbeatDue = c.now
	}
	if !c.knobs.noIntents && !c.acknowledged(*s.intent) {
		return
	}
	s.active = s.intent
	s.served = false
	c.hasten(s.active.To)
	c.dirty = true
	c.logf("activates the standby of shard %d", r.Shard)
}

// acknowledged reports whether every roster host has heard of the intent.
func (c *Cell) acknowledged(i Intent) bool {
	for j := range c.mates {
		if m := &c.mates[j]; m.member && !slices.Contains(m.intents, i) {
			return false
		}
	}
	return true
}

// dropIntents forgets intents that were not acted on.
func (c *Cell) dropIntents() {
	for i := range c.rows {
		if s := &c.rows[i]; s.active == nil {
			s.intent = nil
		}
	}
}

// storeOut reports whether the lease has ended and the store is silent.
func (c *Cell) storeOut() bool {
	if c.leaseValid() {
		return false
	}
	return c.now.Sub(c.lease.contact) > c.cfg.Timing.Lease
}

// pendingIntents lists the intents and activations that the store lacks.
func (c *Cell) pendingIntents() []Intent {
	if !c.leading() {
		return nil
	}
	var out []Intent
	for i := range c.rows {
		if s := &c.rows[i]; s.intent != nil && len(out) < maxIntents {
			out = append(out, *s.intent)
		}
	}
	return out
}

// saveActivations records activated standbys as owners.
func (c *Cell) saveActivations(d *draft) {
	for i := range c.rows {
		a := c.rows[i].active
		if a == nil {
			continue
		}
		old := c.doc.Rows[i].Owner
		d.reassign(c, i, a.To, a.Epoch, grant.Lapsed{Since: c.now})
		d.doc.Rows[i].Standby = old
	}
}
