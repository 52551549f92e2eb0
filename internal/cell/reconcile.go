package cell

import (
	"slices"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// reconcile updates the document to match the targets, the custody and the plan, in
// one write. Only a leader with a valid lease does so: then no other host decides that
// grants have expired.
func (c *Cell) reconcile() {
	if !c.leaseValid() || c.write.pending || c.now.Before(c.reconcileDue) {
		return
	}
	c.reconcileDue = c.now.Add(reconcileInterval)
	c.startReleases()
	d := c.newDraft()
	c.recordActivations(d)
	c.updateTargets(d)
	c.recordResolved(d)
	c.moveRows(d)
	c.raiseEpochs(d)
	c.refreshStandbys(d)
	c.clearRemoved(d)
	// From here on, the rows of the draft don't have the indexes of c.rows.
	c.splitKeys(d)
	c.mergeKeys(d)
	c.addCustodyRows(d)
	c.cedeShards(d)
	if d.changed {
		c.propose(d.doc)
		return
	}
	c.updateRoster()
}

// fillFirstDoc fills the first document from the custody and the platform's lists.
func (c *Cell) fillFirstDoc(doc *Doc) {
	d := &draft{doc: *doc}
	d.doc.Roster = c.desiredRoster()
	d.doc.NextSingleKey = key.Shard(c.cfg.Shards)
	d.doc.Custody = c.custody.Revision
	c.updateTargets(d)
	listed := func(t TargetIndex) bool {
		row := c.fleetRow(d.doc.Targets[t].Target)
		return row != nil && row.State == place.Live
	}
	d.doc.Rows = make([]Row, 0, len(c.custody.Shards))
	for _, s := range c.custody.Shards {
		d.doc.Rows = append(d.doc.Rows, Row{Shard: s.Shard, Epoch: max(s.Floor, 1), Owner: NoTarget, Standby: NoTarget})
	}
	d.countRows()
	for i := range d.doc.Rows {
		r := &d.doc.Rows[i]
		r.Owner = d.pickOwner(r.Shard, listed)
		d.adjustCounts(NoTarget, r.Owner)
		r.Standby = d.pickStandby(r.Shard, r.Owner, listed)
	}
	*doc = d.doc
}

// updateTargets adds listed targets, and removes unlisted ones that are unresponsive
// and that no row names.
func (c *Cell) updateTargets(d *draft) {
	for _, row := range c.fleet.Targets {
		if row.Zone != c.cfg.ID.Zone || row.Service != string(c.cfg.ID.Service) {
			continue
		}
		i := d.doc.targetIndex(row.Target)
		if i == NoTarget {
			if row.State == place.Live && row.Addr.IsValid() {
				d.addTarget(TargetDoc{Target: row.Target, Addr: row.Addr, Since: c.now})
			}
			continue
		}
		// The old incarnation may still run at the old address: move off it first.
		if t := &d.doc.Targets[i]; t.Addr != row.Addr && row.Addr.IsValid() && !d.references(i) {
			t.Addr = row.Addr
			d.changed = true
		}
	}
	for i := range d.doc.Targets {
		if i < len(c.targets) {
			c.updateTarget(d, TargetIndex(i))
		}
	}
}

func (c *Cell) updateTarget(d *draft, i TargetIndex) {
	t := &d.doc.Targets[i]
	if t.Target == "" {
		return
	}
	if leaving := c.isLeaving(i); leaving != t.Leaving {
		t.Leaving = leaving
		d.changed = true
	}
	row := c.fleetRow(t.Target)
	listed := row != nil && row.State != place.Absent
	state := &c.targets[i]
	unresponsive := c.now.Sub(latest(state.respondedAt, c.leaderSince)) > unlistedRetention
	if c.hasFleet && !listed && unresponsive && !d.references(i) {
		*t = TargetDoc{}
		d.changed = true
	}
}

// references reports whether a row names the target.
func (d *draft) references(i TargetIndex) bool {
	return slices.ContainsFunc(d.doc.Rows, func(r Row) bool { return r.Owner == i || r.Standby == i })
}

// recordResolved records the holders that the inventories show to differ from the
// document after a change of leader.
func (c *Cell) recordResolved(d *draft) {
	for i := range c.rows {
		if !c.rows[i].holderUnknown {
			continue
		}
		r := c.doc.Rows[i]
		switch found := c.resolve(i); found.kind {
		case atStandby:
			d.reassign(c, i, r.Standby, found.epoch, grant.Expired{Since: c.now})
			d.doc.Rows[i].Standby = r.Owner
		case raiseEpoch:
			d.reassign(c, i, r.Owner, found.epoch, grant.Released{Epoch: r.Epoch})
		}
	}
}

// moveRows assigns new owners to the shards whose owner's grant has ended.
func (c *Cell) moveRows(d *draft) {
	ended := make([]bool, len(c.targets))
	for i := range c.targets {
		t := &c.targets[i]
		ended[i] = t.target != "" && !c.responsive(t) && c.grantsEnded(t)
	}
	for i := range c.rows {
		s := &c.rows[i]
		r := d.doc.Rows[i]
		if s.holderUnknown || s.activation != nil || s.ceding || r.Epoch != c.doc.Rows[i].Epoch {
			continue
		}
		var e grant.Evidence
		switch {
		case r.Owner == NoTarget:
			e = grant.Released{Epoch: r.Epoch}
		case ended[r.Owner]:
			e = c.expiryEvidence(r.Owner)
		case s.releasing:
			e = c.releaseEvidence(i)
		}
		if e != nil {
			c.moveRow(d, i, e)
		}
	}
}

func (c *Cell) expiryEvidence(t TargetIndex) grant.Evidence {
	if l, lost := c.targetLoss(c.targets[t].target); lost {
		return grant.Declared{By: l.By, Reason: l.Reason}
	}
	return grant.Expired{Since: c.grantsEndAt(&c.targets[t])}
}

// moveRow assigns a new owner to a row, given the evidence that the old owner's
// grant has ended.
func (c *Cell) moveRow(d *draft, i int, e grant.Evidence) {
	r := d.doc.Rows[i]
	to := NoTarget
	if s := &c.rows[i]; s.releasing && s.moveTo != NoTarget && c.eligible(s.moveTo) {
		to = s.moveTo
	}
	if to == NoTarget {
		to = d.pickOwner(r.Shard, func(t TargetIndex) bool { return int(t) < len(c.targets) && c.eligible(t) })
	}
	if to == NoTarget {
		return
	}
	d.reassign(c, i, to, c.nextEpoch(i, to), e)
}

// nextEpoch returns the lowest epoch above all that are known of the shard.
func (c *Cell) nextEpoch(i int, to TargetIndex) grant.Epoch {
	r := c.currentRow(i)
	top := r.Epoch
	for _, t := range []TargetIndex{r.Owner, r.Standby, to} {
		if t != NoTarget && int(t) < len(c.targets) {
			top = max(top, c.targets[t].floor(r.Shard))
		}
	}
	return top + 1
}

// releaseEvidence returns evidence that the owner has released the shard: by its last
// inventory, its floor is above the epoch and it does not hold the shard. It returns
// nil if there is none.
func (c *Cell) releaseEvidence(i int) grant.Evidence {
	r, s := c.doc.Rows[i], &c.rows[i]
	t := &c.targets[r.Owner]
	if t.inventoryTerm != c.term || t.inventoryAt.Before(s.releaseStart) {
		return nil
	}
	if t.floor(r.Shard) <= r.Epoch || t.heldEpoch(r.Shard) != 0 || !c.parentEnded(r) {
		return nil
	}
	if was := c.doc.Targets[r.Owner].Incarnation; was != 0 && was != t.incarnation {
		return grant.Restarted{Old: was, New: t.incarnation}
	}
	return grant.Released{Epoch: r.Epoch}
}

// parentEnded reports whether the owner of a single-key shard has also given up its
// parent shard at the epochs that included the key. It is true for other shards.
func (c *Cell) parentEnded(r Row) bool {
	_, held := c.heldParent(r)
	return !held
}

// heldParent returns the parent of a single-key shard at the last epoch that included
// the key, unless the key's owner is known not to hold that. An owner to which the
// key was moved may never have held the parent; only a release raises its floor then.
func (c *Cell) heldParent(r Row) (grant.ShardEpoch, bool) {
	i := slices.IndexFunc(c.doc.SingleKeys, func(s SingleKey) bool { return s.Shard == r.Shard })
	if i < 0 || c.mutations.skipParentCheck {
		return grant.ShardEpoch{}, false
	}
	single := c.doc.SingleKeys[i]
	t := &c.targets[r.Owner]
	held := t.heldEpoch(single.Parent)
	if held >= single.SplitEpoch || held == 0 && t.floor(single.Parent) >= single.SplitEpoch {
		return grant.ShardEpoch{}, false
	}
	return grant.ShardEpoch{Shard: single.Parent, Epoch: single.SplitEpoch - 1}, true
}

// raiseEpochs raises the epoch of a shard whose owner rejects the recorded one, as a
// prior leader released the shard there and did not record it.
func (c *Cell) raiseEpochs(d *draft) {
	for i := range c.rows {
		r, s := c.doc.Rows[i], &c.rows[i]
		if r.Owner == NoTarget || s.holderUnknown || s.releasing || s.activation != nil || d.doc.Rows[i].Epoch != r.Epoch {
			continue
		}
		t := &c.targets[r.Owner]
		if t.inventoryTerm == c.term && t.floor(r.Shard) > r.Epoch {
			d.reassign(c, i, r.Owner, t.floor(r.Shard)+1, grant.Released{Epoch: r.Epoch})
		}
	}
}

// refreshStandbys replaces standbys that can't become the owner.
func (c *Cell) refreshStandbys(d *draft) {
	may := func(t TargetIndex) bool { return int(t) < len(c.targets) && c.eligible(t) }
	fit := make([]bool, len(c.targets))
	for i := range c.targets {
		fit[i] = c.fitStandby(&c.targets[i])
	}
	for i := range c.rows {
		r := &d.doc.Rows[i]
		if c.rows[i].holderUnknown || c.rows[i].activation != nil {
			continue
		}
		if r.Standby != NoTarget && r.Standby != r.Owner && fit[r.Standby] {
			continue
		}
		standby := d.pickStandby(r.Shard, r.Owner, may)
		if standby != r.Standby && (standby != NoTarget || r.Standby == r.Owner || d.changed) {
			r.Standby = standby
			d.changed = true
		}
	}
}

// fitStandby reports whether the target may stay a standby. It may be unresponsive
// for a short time, which is not worth a write.
func (c *Cell) fitStandby(t *targetState) bool {
	unresponsive := c.now.Sub(latest(t.respondedAt, c.leaderSince)) > maxSilence
	return t.target != "" && !t.leaving && !unresponsive
}

// clearRemoved forgets the removed hosts that can't renew grants any more: either all
// targets reject their terms, or they have promised to this leader.
func (c *Cell) clearRemoved(d *draft) {
	d.doc.Removed = slices.DeleteFunc(d.doc.Removed, func(r RemovedHost) bool {
		if p := c.peer(r.Host); p != nil && c.promisedBy(p) {
			d.changed = true
			return true
		}
		for i := range c.targets {
			if t := &c.targets[i]; t.target != "" && !c.fenced(t, r.Term) {
				return false
			}
		}
		d.changed = true
		return true
	})
}
