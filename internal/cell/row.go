package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
)

// rowState is what the lead does about one shard. The table is aligned to
// Doc.Rows.
type rowState struct {
	// routable tells that the owner confirmed this epoch.
	routable bool
	// holderUnknown tells that an earlier lead may have granted the shard to its
	// owner or to its standby, and that it is not known to which.
	holderUnknown bool
	// releasing tells that the owner was asked to release the shard.
	releasing bool
	// releaseStart is when the release began; only answers to later orders count.
	releaseStart time.Time
	moveTo       TargetIndex // where the shard moves; NoTarget: any
	custodyLost  bool        // custody took the shard away
	ceding       bool        // it is being released to lose its row
	merging      bool        // for a solo key: its row goes into its parent's
	// activation is the standby that this lead made the owner.
	activation *Activation
}

// alignRows carries the states over to the rows of the new document.
func (c *Cell) alignRows(old *Doc) {
	states := make([]rowState, len(c.doc.Rows))
	for i, r := range c.doc.Rows {
		j := old.rowIndex(r.Shard)
		if j < 0 || j >= len(c.rows) {
			continue
		}
		was, state := old.Rows[j], c.rows[j]
		if a := state.activation; a != nil && a.To == r.Owner && a.Epoch == r.Epoch {
			states[i] = rowState{routable: state.routable}
			continue
		}
		if was.Owner == r.Owner && was.Epoch == r.Epoch {
			states[i] = state
			continue
		}
		c.orderNow(r.Owner)
	}
	c.rows = states
}

// orderNow makes the next order to the target due now.
func (c *Cell) orderNow(i TargetIndex) {
	if i != NoTarget && int(i) < len(c.targets) {
		c.targets[i].due = time.Time{}
	}
}

// mayOrder reports whether orders of now may name the row for its owner.
func (c *Cell) mayOrder(i int) bool {
	s := &c.rows[i]
	if s.holderUnknown || s.releasing {
		return false
	}
	if !c.write.pending {
		return true
	}
	_, changing := c.write.changedShards[c.doc.Rows[i].Shard]
	// A standby activated by this lead stays granted while it is recorded.
	return !changing || s.activation != nil
}

// expectedHoldings returns what the target should hold by the rows in force.
func (c *Cell) expectedHoldings(t TargetIndex) []grant.ShardEpoch {
	var out []grant.ShardEpoch
	for i := range c.doc.Rows {
		r := c.currentRow(i)
		if r.Owner == t && c.mayOrder(i) {
			out = append(out, grant.ShardEpoch{Shard: r.Shard, Epoch: r.Epoch})
		}
	}
	return out
}

// confirmHeld marks the rows that the target's newest answer shows it to hold.
func (c *Cell) confirmHeld(t TargetIndex) {
	state := &c.targets[t]
	whole := grant.Digest(c.expectedHoldings(t)) == state.digest
	fresh := state.inventoryTerm == c.term && state.inventoryAt.Equal(state.respondedOrderAt)
	if !whole && !fresh {
		return
	}
	for i := range c.doc.Rows {
		r := c.currentRow(i)
		s := &c.rows[i]
		if r.Owner != t || s.routable || !c.mayOrder(i) {
			continue
		}
		if whole || state.heldEpoch(r.Shard) == r.Epoch {
			s.routable = true
			c.tableChanged = true
		}
	}
}

// clearResolved clears the doubt about rows of an earlier lead, where the newest
// inventories show who holds them. Rows whose epoch must rise first are left
// to maintain.
func (c *Cell) clearResolved() {
	for i := range c.rows {
		if c.rows[i].holderUnknown && c.resolve(i).kind == asRecorded {
			c.rows[i].holderUnknown = false
			c.orderNow(c.doc.Rows[i].Owner)
		}
	}
}

// resolutionKind says who may hold a row that an earlier lead granted.
type resolutionKind uint8

const (
	unresolved   resolutionKind = iota
	asRecorded                  // its owner, or nobody, at the recorded epoch
	atStandby                   // the standby, at the verdict's epoch
	raiseEpoch                  // nobody else; the owner needs the verdict's epoch
	awaitOwner                  // unsettled: the owner was not heard
	awaitStandby                // unsettled: the standby was not heard
)

type resolution struct {
	kind  resolutionKind
	epoch grant.Epoch
}

// resolve weighs what owner and standby reported. An owner that still holds the
// recorded epoch rules the standby out: that is activated only after the
// owner's grant ended. Otherwise both must be heard, or have lapsed.
func (c *Cell) resolve(i int) resolution {
	r := c.doc.Rows[i]
	if r.Owner == NoTarget {
		return resolution{kind: asRecorded}
	}
	owner := &c.targets[r.Owner]
	ownerHeard := owner.inventoryTerm == c.term
	if ownerHeard && owner.heldEpoch(r.Shard) == r.Epoch {
		return resolution{kind: asRecorded}
	}
	if !ownerHeard && !c.grantsEnded(owner) {
		return resolution{kind: awaitOwner}
	}
	floor := r.Epoch
	if ownerHeard {
		floor = max(floor, owner.heldEpoch(r.Shard), owner.floor(r.Shard))
	}
	if c.cfg.ChecksTerms && r.Standby != NoTarget && r.Standby != r.Owner {
		standby := &c.targets[r.Standby]
		heard := standby.inventoryTerm == c.term
		if !heard && !c.grantsEnded(standby) {
			return resolution{kind: awaitStandby}
		}
		if heard && standby.heldEpoch(r.Shard) > r.Epoch {
			return resolution{kind: atStandby, epoch: standby.heldEpoch(r.Shard)}
		}
		if heard {
			floor = max(floor, standby.floor(r.Shard))
		}
	}
	if floor > r.Epoch {
		return resolution{kind: raiseEpoch, epoch: floor + 1}
	}
	return resolution{kind: asRecorded}
}

// grantsEnded reports whether all of an unheard target's grants have ended. A
// declaration vouches that no unaccounted host renews them; what this host
// and its mates granted still has to run out, in case the target was alive.
func (c *Cell) grantsEnded(t *targetState) bool {
	declared := t.declaredLost && !t.lossRefuted && c.now.After(c.grantsEndAt(t))
	return declared || c.grantsExpired(t)
}
