package cell

import (
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// sendOrders sends each target its renewal, one message at a time.
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

// sendOrder sends one target what it should hold. An order without an anchor, or
// without the right to renew, only asks.
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
	// A reading serves for orders until the next one comes; the time sent
	// must still tell two orders apart.
	sent := c.now
	if !sent.After(t.sentAt) {
		sent = t.sentAt.Add(1)
	}
	t.sentAt, t.inFlight = sent, true
	t.due = c.now.Add(c.cfg.Timing.RenewInterval)
	c.emit(SendOrder{Target: t.target, Addr: t.addr, Order: o})
}

// fillOrder fills in what the order lengthens, grants and releases. It reports
// whether the order can lengthen or make a grant.
func (c *Cell) fillOrder(i TargetIndex, o *grant.Order) bool {
	t := &c.targets[i]
	want := c.expectedHoldings(i)
	if c.leading() {
		o.Release = c.releases(i, want)
	}
	if len(want) > 0 && grant.Digest(want) == t.digest {
		o.ExtendAll, o.Digest = true, t.digest
		return true
	}
	for _, h := range want {
		o.Items = append(o.Items, grant.Item{Shard: h.Shard, Epoch: h.Epoch, Kind: c.itemKind(h.Shard)})
	}
	return len(want) > 0
}

// itemKind returns whether an order of now may create ownership: only with a
// valid lease, or for an activated standby with every host's promise.
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

// releases lists what the target has to give up: shards on the move, and
// left-overs that its newest inventory shows beside what it should hold.
func (c *Cell) releases(t TargetIndex, want []grant.ShardEpoch) []grant.ShardEpoch {
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
	if state.inventoryTerm != c.term || grant.Digest(want) == state.digest {
		return out
	}
	for _, h := range state.held {
		if c.staleHolding(t, h) {
			out = append(out, h)
		}
	}
	return out
}

// staleHolding reports whether a held shard belongs to another owner by a row
// that is beyond doubt.
func (c *Cell) staleHolding(t TargetIndex, h grant.ShardEpoch) bool {
	i := c.doc.rowIndex(h.Shard)
	if i < 0 {
		return true
	}
	r, s := c.currentRow(i), &c.rows[i]
	return !s.holderUnknown && !c.write.pending && r.Owner != t && r.Epoch > h.Epoch
}
