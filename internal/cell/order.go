package cell

import (
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// sendOrders sends each target its next order if that is due. A target gets no order
// while one is in flight, for a renew interval at most.
func (c *Cell) sendOrders() {
	for i := range c.targets {
		t := &c.targets[i]
		if t.target == "" || !t.addr.IsValid() || c.now.Before(t.due) {
			continue
		}
		if t.inFlight && c.now.Sub(t.sentAt) < c.cfg.Timing.RenewInterval {
			continue
		}
		c.sendOrder(TargetIndex(i))
	}
}

// sendOrder sends an order to a target. If the target's clock is not known, or this
// host may not renew, the order only asks for a response.
func (c *Cell) sendOrder(i TargetIndex) {
	t := &c.targets[i]
	o := grant.Order{
		Service:  c.cfg.ID.Service,
		Zone:     c.cfg.ID.Zone,
		Term:     c.doc.Term,
		Duration: c.cfg.Timing.GrantDuration,
	}
	if t.incarnation != 0 && c.mayRenew() {
		o.Incarnation, o.Anchor = t.incarnation, t.clock
		if c.fillOrder(i, &o) {
			t.anchoredAt = latest(t.anchoredAt, t.clockAt)
		}
	}
	o.Inventory = c.leading() && (t.inventoryTerm != c.term || len(o.Release) > 0)
	// Two orders may have the same anchor. They are identified by the time they were
	// sent, which therefore has to differ between two orders to a target.
	sent := c.now
	if !sent.After(t.sentAt) {
		sent = t.sentAt.Add(1)
	}
	t.sentAt, t.inFlight = sent, true
	t.due = c.now.Add(c.cfg.Timing.RenewInterval)
	c.emit(SendOrder{Target: t.target, Addr: t.addr, Order: o})
}

// fillOrder sets the shards that the order extends, grants and releases. It reports
// whether the order extends or grants any.
func (c *Cell) fillOrder(i TargetIndex, o *grant.Order) bool {
	t := &c.targets[i]
	expected := c.expectedHoldings(i)
	if c.leading() {
		o.Release = c.releases(i, expected)
	}
	if len(expected) > 0 && grant.Digest(expected) == t.digest {
		o.ExtendAll, o.Digest = true, t.digest
		return true
	}
	for _, h := range expected {
		o.Items = append(o.Items, grant.Item{Shard: h.Shard, Epoch: h.Epoch, Kind: c.itemKind(h.Shard)})
	}
	return len(expected) > 0
}

// itemKind returns Grant if an order may create ownership of the shard, otherwise
// Extend. To create ownership takes a valid lease or, for an activated standby, the
// promises of all roster hosts.
func (c *Cell) itemKind(shard key.Shard) grant.Kind {
	if c.leaseValid() || c.mutations.alwaysGrant {
		return grant.Grant
	}
	i := c.doc.rowIndex(shard)
	if c.leading() && i >= 0 && c.rows[i].activation != nil && c.allPromised() {
		return grant.Grant
	}
	return grant.Extend
}

// releases returns the shards that the target has to release: those that are being
// released, and stale holdings in its last inventory.
func (c *Cell) releases(t TargetIndex, expected []grant.ShardEpoch) []grant.ShardEpoch {
	var out []grant.ShardEpoch
	for i := range c.doc.Rows {
		r := c.currentRow(i)
		if r.Owner != t || !c.rows[i].releasing {
			continue
		}
		out = append(out, grant.ShardEpoch{Shard: r.Shard, Epoch: r.Epoch})
		if parent, ok := c.heldParent(r); ok {
			out = append(out, parent)
		}
	}
	state := &c.targets[t]
	if state.inventoryTerm != c.term || grant.Digest(expected) == state.digest {
		return out
	}
	for _, h := range state.held {
		if c.staleHolding(t, h) {
			out = append(out, h)
		}
	}
	return out
}

// staleHolding reports whether a held shard certainly belongs to another owner, or to
// none.
func (c *Cell) staleHolding(t TargetIndex, h grant.ShardEpoch) bool {
	i := c.doc.rowIndex(h.Shard)
	if i < 0 {
		return true
	}
	r, s := c.currentRow(i), &c.rows[i]
	return !s.holderUnknown && !c.write.pending && r.Owner != t && r.Epoch > h.Epoch
}
