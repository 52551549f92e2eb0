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

// targetState is what this host knows of one target. The table is aligned to
// Doc.Targets.
type targetState struct {
	target place.Target
	addr   netip.AddrPort

	incarnation place.Incarnation
	// clock is the newest reading of the target's clock, which came at clockAt.
	clock   grant.Stamp
	clockAt time.Time
	// anchoredAt is when the newest reading came that an order relied on.
	anchoredAt time.Time
	// acceptedTerm is the highest term of an order that this life accepted.
	acceptedTerm     grant.Term
	respondedAt      time.Time // newest answer
	respondedOrderAt time.Time // when the order of the newest answer was sent
	sentAt           time.Time
	inFlight         bool
	due              time.Time
	digest           uint64
	announcedLeaving bool // by its own word
	leaving          bool // by any list or word
	declaredLost     bool // declared lost
	declaredLostAt   time.Time
	lossRefuted      bool // it answered an order sent after lostAt

	// The newest whole inventory, of an order sent at inventoryAt at
	// inventoryTerm. Zero term: none since this host took the lead.
	inventoryTerm grant.Term
	inventoryAt   time.Time
	held          []grant.ShardEpoch
	floors        []grant.ShardEpoch
}

// resetTerm forgets what an answer to an earlier term proved.
func (t *targetState) resetTerm() {
	t.inventoryTerm = 0
	t.inFlight = false
	t.due = time.Time{}
}

// heldEpoch returns the epoch of the shard in the newest inventory; zero for none.
func (t *targetState) heldEpoch(shard key.Shard) grant.Epoch { return epochOf(t.held, shard) }

// floor returns the lowest epoch that the target still accepts for the shard,
// as far as its newest inventory tells.
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

// alignTargets carries the states over to the rows of the new document.
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

// responsive reports whether the target answered in the last renewals.
func (c *Cell) responsive(t *targetState) bool {
	return !t.respondedAt.IsZero() && c.now.Sub(t.respondedAt) < 2*c.cfg.Timing.RenewInterval+c.cfg.Timing.RenewInterval/2
}

// eligible reports whether the target may get shards.
func (c *Cell) eligible(i TargetIndex) bool {
	t := &c.targets[i]
	if t.target == "" || !c.responsive(t) || t.inventoryTerm != c.term || c.isLeaving(i) {
		return false
	}
	return true
}

// applyLists works out what the lists say of each target and row, once after
// each change.
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

// isLeaving reports whether the platform's list, an operator or the target
// itself says that it leaves.
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

// handleResponse records a target's answer. Answers to orders sent before the one
// of the newest answer are too late to tell anything.
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
	a := &ev.Response
	if a.Incarnation != t.incarnation {
		c.newIncarnation(t, a.Incarnation)
	}
	t.respondedOrderAt, t.respondedAt = ev.SentAt, c.now
	t.clock, t.clockAt = a.Clock, c.now
	c.listsChanged = c.listsChanged || t.announcedLeaving != a.Draining
	t.announcedLeaving = a.Draining
	t.digest = a.Digest
	t.lossRefuted = t.lossRefuted || t.declaredLost && ev.SentAt.After(t.declaredLostAt)
	t.acceptedTerm = max(t.acceptedTerm, a.Term)
	c.observeTerm(a.Term, string(ev.Target))
	if c.role == leader && a.Accepted {
		c.handleAccepted(i, ev)
	}
}

// handleAccepted records what an answer proves to the lead of the term.
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

// newIncarnation forgets what an earlier life of the target had accepted.
func (c *Cell) newIncarnation(t *targetState, life place.Incarnation) {
	if t.incarnation != 0 {
		c.logf("Target %s restarted.", t.target)
	}
	t.incarnation = life
	t.acceptedTerm = 0
	t.inventoryTerm = 0
	t.held, t.floors = nil, nil
	t.due = c.now
}

// sortedByShard returns a copy of a list from outside, sorted by shard.
func sortedByShard(list []grant.ShardEpoch) []grant.ShardEpoch {
	out := slices.Clone(list)
	slices.SortFunc(out, func(a, b grant.ShardEpoch) int { return cmp.Compare(a.Shard, b.Shard) })
	return out
}
