package cell

import (
	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// orders sends each target its renewal, one message at a time.
func (c *Cell) orders() {
	for i := range c.targets {
		t := &c.targets[i]
		if t.target == "" || !t.addr.IsValid() || c.now.Before(t.due) {
			continue
		}
		if t.flying && c.now.Sub(t.sent) < c.cfg.Timing.Renew {
			continue
		}
		c.order(TargetIndex(i))
	}
}

// order sends one target what it should hold. An order without an anchor, or
// without the right to renew, only asks.
func (c *Cell) order(i TargetIndex) {
	t := &c.targets[i]
	o := grant.Order{
		Service:  c.cfg.ID.Service,
		Zone:     c.cfg.ID.Zone,
		Term:     c.doc.Term,
		Duration: c.cfg.Timing.Grant,
	}
	if t.incarnation != 0 && c.mayRenew() {
		o.Incarnation, o.Anchor = t.incarnation, t.clock
		if c.renew(i, &o) {
			t.anchored = latest(t.anchored, t.clockAt)
		}
	}
	o.Inventory = c.leading() && (t.inventoryTerm != c.term || len(o.Release) > 0)
	// A reading serves for orders until the next one comes; the time sent
	// must still tell two orders apart.
	sent := c.now
	if !sent.After(t.sent) {
		sent = t.sent.Add(1)
	}
	t.sent, t.flying = sent, true
	t.due = c.now.Add(c.cfg.Timing.Renew)
	c.emit(SendOrder{Target: t.target, Addr: t.addr, Order: o})
}

// renew fills in what the order lengthens, grants and releases. It reports
// whether the order can lengthen or make a grant.
func (c *Cell) renew(i TargetIndex, o *grant.Order) bool {
	t := &c.targets[i]
	want := c.expected(i)
	if c.leading() {
		o.Release = c.releases(i, want)
	}
	if len(want) > 0 && grant.Digest(want) == t.digest {
		o.ExtendAll, o.Digest = true, t.digest
		return true
	}
	for _, h := range want {
		o.Items = append(o.Items, grant.Item{Shard: h.Shard, Epoch: h.Epoch, Kind: c.kindFor(h.Shard)})
	}
	return len(want) > 0
}

// kindFor returns whether an order of now may create ownership: only with a
// valid lease, or for an activated standby with every host's promise.
func (c *Cell) kindFor(shard key.Shard) grant.Kind {
	if c.leaseValid() || c.knobs.extendGrants {
		return grant.Grant
	}
	i := c.doc.rowOf(shard)
	if c.leading() && i >= 0 && c.rows[i].active != nil && c.allPromised() {
		return grant.Grant
	}
	return grant.Extend
}

// releases lists what the target has to give up: shards on the move, and
// left-overs that its newest inventory shows beside what it should hold.
func (c *Cell) releases(t TargetIndex, want []grant.ShardEpoch) []grant.ShardEpoch {
	var out []grant.ShardEpoch
	for i := range c.doc.Rows {
		r := c.row(i)
		if r.Owner != t || !c.rows[i].releasing {
			continue
		}
		out = append(out, grant.ShardEpoch{Shard: r.Shard, Epoch: r.Epoch})
		if parent, ok := c.openParent(r); ok {
			out = append(out, parent)
		}
	}
	state := &c.targets[t]
	if state.inventoryTerm != c.term || grant.Digest(want) == state.digest {
		return out
	}
	for _, h := range state.held {
		if c.leftOver(t, h) {
			out = append(out, h)
		}
	}
	return out
}

// leftOver reports whether a held shard belongs to another owner by a row
// that is beyond doubt.
func (c *Cell) leftOver(t TargetIndex, h grant.ShardEpoch) bool {
	i := c.doc.rowOf(h.Shard)
	if i < 0 {
		return true
	}
	r, s := c.row(i), &c.rows[i]
	return !s.doubt && !c.write.pending && r.Owner != t && r.Epoch > h.Epoch
}
