package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
)

// rowState is the leader's state of one shard. Cell.rows has the order of
// Doc.Rows.
type rowState struct {
	// routable is true if the routing table names the owner: since it confirmed
	// this epoch, or a prior leader recorded it, until it is asked to release the
	// shard.
	routable bool
	// holderUnknown is true if a prior leader may have granted the shard to its
	// owner or to its standby, and it is not known to which.
	holderUnknown bool
	// releasing is true while the owner is asked to release the shard.
	releasing bool
	// releaseStart is when the release began. Only responses to later orders
	// confirm it.
	releaseStart time.Time
	moveTo       TargetIndex // planned next owner; NoTarget for any
	custodyLost  bool        // the shard is not in the cell's custody any more
	ceding       bool        // its row is removed after the release
	merging      bool        // it is a single-key shard to be merged into its parent shard
	// activation is set if this leader made the standby the owner.
	activation *Activation
}

// alignRows rebuilds c.rows for the new document. A row keeps its state if its
// owner and epoch are unchanged.
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

// mayOrder reports whether an order may grant or extend the row at its owner.
func (c *Cell) mayOrder(i int) bool {
	s := &c.rows[i]
	if s.holderUnknown || s.releasing {
		return false
	}
	if !c.write.pending {
		return true
	}
	_, changing := c.write.changedShards[c.doc.Rows[i].Shard]
	// An activated standby is renewed while its activation is written.
	return !changing || s.activation != nil
}

// expectedHoldings returns the shards that the target should hold.
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

// confirmHeld makes those rows routable that the target holds by its last
// response.
func (c *Cell) confirmHeld(t TargetIndex) {
	state := &c.targets[t]
	allHeld := grant.Digest(c.expectedHoldings(t)) == state.digest
	newInventory := state.inventoryTerm == c.term && state.inventoryAt.Equal(state.respondedOrderAt)
	if !allHeld && !newInventory {
		return
	}
	for i := range c.doc.Rows {
		r := c.currentRow(i)
		s := &c.rows[i]
		if r.Owner != t || s.routable || !c.mayOrder(i) {
			continue
		}
		if allHeld || state.heldEpoch(r.Shard) == r.Epoch {
			s.routable = true
			c.tableChanged = true
		}
	}
}

// clearResolved clears holderUnknown of the rows that are held as recorded by the
// last inventories. The rows that have to be written first are left to reconcile.
func (c *Cell) clearResolved() {
	for i := range c.rows {
		if c.rows[i].holderUnknown && c.resolve(i).kind == asRecorded {
			c.rows[i].holderUnknown = false
			c.orderNow(c.doc.Rows[i].Owner)
		}
	}
}

// resolutionKind classifies who may hold a row that a prior leader granted.
type resolutionKind uint8

const (
	unresolved   resolutionKind = iota
	asRecorded                  // the owner or nobody, at the recorded epoch
	atStandby                   // the standby, at resolution.epoch
	raiseEpoch                  // nobody but the owner, which needs resolution.epoch
	awaitOwner                  // not known before the owner responds
	awaitStandby                // not known before the standby responds
)

type resolution struct {
	kind  resolutionKind
	epoch grant.Epoch
}

// resolve finds out who may hold a row from the inventories of its owner and
// standby. If the owner still holds the recorded epoch, the standby does not hold
// the shard, as it is activated only after the owner's grant has ended. Otherwise
// both must have responded, or their grants must have ended.
func (c *Cell) resolve(i int) resolution {
	r := c.doc.Rows[i]
	if r.Owner == NoTarget {
		return resolution{kind: asRecorded}
	}
	owner := &c.targets[r.Owner]
	ownerResponded := owner.inventoryTerm == c.term
	if ownerResponded && owner.heldEpoch(r.Shard) == r.Epoch {
		return resolution{kind: asRecorded}
	}
	if !ownerResponded && !c.grantsEnded(owner) {
		return resolution{kind: awaitOwner}
	}
	floor := r.Epoch
	if ownerResponded {
		floor = max(floor, owner.heldEpoch(r.Shard), owner.floor(r.Shard))
	}
	if c.cfg.ChecksTerms && r.Standby != NoTarget && r.Standby != r.Owner {
		standby := &c.targets[r.Standby]
		standbyResponded := standby.inventoryTerm == c.term
		if !standbyResponded && !c.grantsEnded(standby) {
			return resolution{kind: awaitStandby}
		}
		if standbyResponded && standby.heldEpoch(r.Shard) > r.Epoch {
			return resolution{kind: atStandby, epoch: standby.heldEpoch(r.Shard)}
		}
		if standbyResponded {
			floor = max(floor, standby.floor(r.Shard))
		}
	}
	if floor > r.Epoch {
		return resolution{kind: raiseEpoch, epoch: floor + 1}
	}
	return resolution{kind: asRecorded}
}

// grantsEnded reports whether all grants of a target have ended, by evidence that
// needs no response from it. A loss declaration states that no possible renewer
// renews them. The grants of this host and its peers still have to expire, as the
// target may be up.
func (c *Cell) grantsEnded(t *targetState) bool {
	declared := t.declaredLost && !t.lossRefuted && c.now.After(c.grantsEndAt(t))
	return declared || c.grantsExpired(t)
}
