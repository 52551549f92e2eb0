package cell

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
)

// targetState is this host's state of one target. Cell.targets has the order of
// Doc.Targets.
type targetState struct {
	target place.Target
	addr   netip.AddrPort

	incarnation place.Incarnation
	// clock is the last reading of the target's clock, received at clockAt.
	clock   grant.Stamp
	clockAt time.Time
	// anchoredAt is when the last reading was received that anchored an order.
	anchoredAt time.Time
	// acceptedTerm is the highest term that this incarnation has accepted.
	acceptedTerm     grant.Term
	respondedAt      time.Time // when the last response came
	respondedOrderAt time.Time // when its order was sent
	sentAt           time.Time
	inFlight         bool
	due              time.Time
	digest           uint64
	announcedLeaving bool // by the target itself
	leaving          bool // by the target, the platform's list, a drain or a loss declaration
	declaredLost     bool // by an operator
	declaredLostAt   time.Time
	lossRefuted      bool // it responded to an order sent after declaredLostAt

	// The last full inventory, in response to an order sent at inventoryAt in
	// inventoryTerm. The term is zero if there is none since this host became the
	// leader or the target restarted.
	inventoryTerm grant.Term
	inventoryAt   time.Time
	held          []grant.ShardEpoch
	floors        []grant.ShardEpoch
}

// resetTerm drops what was known by responses to an earlier term.
func (t *targetState) resetTerm() {
	t.inventoryTerm = 0
	t.inFlight = false
	t.due = time.Time{}
}

// heldEpoch returns the epoch at which the target holds the shard by its last
// inventory, or zero.
func (t *targetState) heldEpoch(shard key.Shard) grant.Epoch { return epochOf(t.held, shard) }

// floor returns the lowest epoch that the target accepts for the shard by its last
// inventory, or zero.
func (t *targetState) floor(shard key.Shard) grant.Epoch { return epochOf(t.floors, shard) }

func epochOf(list []grant.ShardEpoch, shard key.Shard) grant.Epoch {
	i, found := slices.BinarySearchFunc(list, shard, func(h grant.ShardEpoch, s key.Shard) int {
		return cmp.Compare(h.Shard, s)
	})
	if !found {
		return 0
	}
	return list[i].Epoch
}

// alignTargets rebuilds c.targets for the new document and keeps the states of its
// targets.
func (c *Cell) alignTargets(old *Doc) {
	states := make([]targetState, len(c.doc.Targets))
	for i, t := range c.doc.Targets {
		states[i] = targetState{target: t.Target, addr: t.Addr}
		j := old.targetIndex(t.Target)
		if t.Target != "" && j != NoTarget && int(j) < len(c.targets) {
			states[i] = c.targets[j]
			states[i].addr = t.Addr
		}
	}
	c.targets = states
}

// targetIndex returns the index of a member target, or NoTarget.
func (d *Doc) targetIndex(name place.Target) TargetIndex {
	i := slices.IndexFunc(d.Targets, func(t TargetDoc) bool { return t.Target == name })
	if i < 0 {
		return NoTarget
	}
	return TargetIndex(i)
}

func (c *Cell) targetLoss(name place.Target) (LossDeclaration, bool) {
	i := slices.IndexFunc(c.losses, func(l LossDeclaration) bool { return l.Target != "" && l.Target == name })
	if i < 0 {
		return LossDeclaration{}, false
	}
	return c.losses[i], true
}

// responsive reports whether the target has responded within 2.5 renew intervals.
func (c *Cell) responsive(t *targetState) bool {
	return !t.respondedAt.IsZero() && c.now.Sub(t.respondedAt) < 2*c.cfg.Timing.RenewInterval+c.cfg.Timing.RenewInterval/2
}

// eligible reports whether shards may be assigned to the target.
func (c *Cell) eligible(i TargetIndex) bool {
	t := &c.targets[i]
	if t.target == "" || !c.responsive(t) || t.inventoryTerm != c.term || c.isLeaving(i) {
		return false
	}
	return true
}

// applyLists applies changed lists, loss declarations, drains and custody to the
// targets and rows.
func (c *Cell) applyLists() {
	if !c.listsChanged {
		return
	}
	c.listsChanged = false
	for i := range c.targets {
		t := &c.targets[i]
		was := t.declaredLost
		_, t.declaredLost = c.targetLoss(t.target)
		if t.declaredLost && !was {
			t.declaredLostAt, t.lossRefuted = c.now, false
		}
		row := c.fleetRow(t.target)
		listed := row != nil && row.State == place.Leaving
		t.leaving = t.declaredLost || listed || t.announcedLeaving || slices.Contains(c.drains, t.target)
	}
	for i := range c.rows {
		c.rows[i].custodyLost = !c.keepsCustody(c.doc.Rows[i].Shard)
	}
}

// isLeaving reports whether shards are to move off the target: it is leaving, drained
// or declared lost.
func (c *Cell) isLeaving(i TargetIndex) bool { return c.targets[i].leaving }

func (c *Cell) fleetRow(name place.Target) *place.TargetRow {
	for i := range c.fleet.Targets {
		r := &c.fleet.Targets[i]
		if r.Target == name && r.Zone == c.cfg.ID.Zone && r.Service == string(c.cfg.ID.Service) {
			return r
		}
	}
	return nil
}

// handleResponse records a target's response to an order. A response that comes after
// that to a later order is ignored.
func (c *Cell) handleResponse(ev OrderDone) {
	i := c.doc.targetIndex(ev.Target)
	if ev.Target == "" || i == NoTarget {
		return
	}
	t := &c.targets[i]
	if !ev.SentAt.Before(t.sentAt) {
		t.inFlight = false
	}
	if !ev.Reached || !ev.SentAt.After(t.respondedOrderAt) || ev.Response.Target != ev.Target {
		return
	}
	r := &ev.Response
	if r.Incarnation != t.incarnation {
		c.newIncarnation(t, r.Incarnation)
	}
	t.respondedOrderAt, t.respondedAt = ev.SentAt, c.now
	t.clock, t.clockAt = r.Clock, c.now
	c.listsChanged = c.listsChanged || t.announcedLeaving != r.Leaving
	t.announcedLeaving = r.Leaving
	t.digest = r.Digest
	t.lossRefuted = t.lossRefuted || t.declaredLost && ev.SentAt.After(t.declaredLostAt)
	t.acceptedTerm = max(t.acceptedTerm, r.Term)
	c.observeTerm(r.Term, string(ev.Target))
	if c.role == leader && r.Accepted {
		c.handleAccepted(i, ev)
	}
}

// handleAccepted records the response to an accepted order of the leader's term.
func (c *Cell) handleAccepted(i TargetIndex, ev OrderDone) {
	t := &c.targets[i]
	if ev.SentAt.Before(c.leaderSince) || c.cfg.ChecksTerms && ev.Response.Term != c.term {
		return
	}
	if ev.Response.Full {
		t.held, t.floors = sortedByShard(ev.Response.Held), sortedByShard(ev.Response.Floors)
		t.inventoryAt = ev.SentAt
		if t.inventoryTerm != c.term {
			t.inventoryTerm = c.term
			t.due = c.now
		}
		c.reconcileDue = c.now
	}
	c.confirmHeld(i)
}

// newIncarnation drops what an earlier incarnation of the target had accepted.
func (c *Cell) newIncarnation(t *targetState, inc place.Incarnation) {
	if t.incarnation != 0 {
		c.logf("Target %s restarted.", t.target)
	}
	t.incarnation = inc
	t.acceptedTerm = 0
	t.inventoryTerm = 0
	t.held, t.floors = nil, nil
	t.due = c.now
}

// sortedByShard returns a sorted copy of a received list.
func sortedByShard(list []grant.ShardEpoch) []grant.ShardEpoch {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b grant.ShardEpoch) int { return cmp.Compare(a.Shard, b.Shard) })
	return out
}
