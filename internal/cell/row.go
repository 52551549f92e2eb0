package cell

import (
	"time"

	"citrontray.example/citrontray/internal/grant"
)

// rowState is what the lead does about one shard. The table is aligned to
// Doc.Rows.
type rowState struct {
	// served tells that the owner confirmed this epoch.
	served bool
	// doubt tells that an earlier lead may have granted the shard to its
	// owner or to its standby, and that it is not known to which.
	doubt bool
	// releasing tells that the owner was asked to release the shard.
	releasing bool
	// releaseAt is when the release began; only answers to later orders count.
	releaseAt time.Time
	to        TargetIndex // where the shard moves; NoTarget: any
	away      bool        // custody took the shard away
	giving    bool        // it is being released to lose its row
	joining   bool        // for a solo key: its row goes into its parent's
	// active is the standby that this lead made the owner.
	active *Activation
}

// alignRows carries the states over to the rows of the new document.
func (c *Cell) alignRows(old *Doc) {
	states := make([]rowState, len(c.doc.Rows))
	for i, r := range c.doc.Rows {
		j := old.rowOf(r.Shard)
		if j < 0 || j >= len(c.rows) {
			continue
		}
		was, state := old.Rows[j], c.rows[j]
		if a := state.active; a != nil && a.To == r.Owner && a.Epoch == r.Epoch {
			states[i] = rowState{served: state.served}
			continue
		}
		if was.Owner == r.Owner && was.Epoch == r.Epoch {
			states[i] = state
			continue
		}
		c.hasten(r.Owner)
	}
	c.rows = states
}

// hasten makes the next order to the target due now.
func (c *Cell) hasten(i TargetIndex) {
	if i != NoTarget && int(i) < len(c.targets) {
		c.targets[i].due = time.Time{}
	}
}

// granted reports whether orders of now may name the row for its owner.
func (c *Cell) granted(i int) bool {
	s := &c.rows[i]
	if s.doubt || s.releasing {
		return false
	}
	if !c.write.pending {
		return true
	}
	_, changing := c.write.changed[c.doc.Rows[i].Shard]
	// A standby activated by this lead stays granted while it is recorded.
	return !changing || s.active != nil
}

// expected returns what the target should hold by the rows in force.
func (c *Cell) expected(t TargetIndex) []grant.ShardEpoch {
	var out []grant.ShardEpoch
	for i := range c.doc.Rows {
		r := c.row(i)
		if r.Owner == t && c.granted(i) {
			out = append(out, grant.ShardEpoch{Shard: r.Shard, Epoch: r.Epoch})
		}
	}
	return out
}

// confirm marks the rows that the target's newest answer shows it to hold.
func (c *Cell) confirm(t TargetIndex) {
	state := &c.targets[t]
	whole := grant.Digest(c.expected(t)) == state.digest
	fresh := state.inventoryTerm == c.term && state.inventoryAt.Equal(state.asked)
	if !whole && !fresh {
		return
	}
	for i := range c.doc.Rows {
		r := c.row(i)
		s := &c.rows[i]
		if r.Owner != t || s.served || !c.granted(i) {
			continue
		}
		if whole || state.holds(r.Shard) == r.Epoch {
			s.served = true
			c.dirty = true
		}
	}
}

// settle clears the doubt about rows of an earlier lead, where the newest
// inventories show who holds them. Rows whose epoch must rise first are left
// to maintain.
func (c *Cell) settle() {
	for i := range c.rows {
		if c.rows[i].doubt && c.judge(i).kind == asRecorded {
			c.rows[i].doubt = false
			c.hasten(c.doc.Rows[i].Owner)
		}
	}
}

// verdictKind says who may hold a row that an earlier lead granted.
type verdictKind uint8

const (
	unsettled    verdictKind = iota
	asRecorded               // its owner, or nobody, at the recorded epoch
	atStandby                // the standby, at the verdict's epoch
	ownerNewer               // nobody else; the owner needs the verdict's epoch
	waitsOwner               // unsettled: the owner was not heard
	waitsStandby             // unsettled: the standby was not heard
)

type verdict struct {
	kind  verdictKind
	epoch grant.Epoch
}

// judge weighs what owner and standby reported. An owner that still holds the
// recorded epoch rules the standby out: that is activated only after the
// owner's grant ended. Otherwise both must be heard, or have lapsed.
func (c *Cell) judge(i int) verdict {
	r := c.doc.Rows[i]
	if r.Owner == NoTarget {
		return verdict{kind: asRecorded}
	}
	owner := &c.targets[r.Owner]
	ownerHeard := owner.inventoryTerm == c.term
	if ownerHeard && owner.holds(r.Shard) == r.Epoch {
		return verdict{kind: asRecorded}
	}
	if !ownerHeard && !c.ended(owner) {
		return verdict{kind: waitsOwner}
	}
	floor := r.Epoch
	if ownerHeard {
		floor = max(floor, owner.holds(r.Shard), owner.floor(r.Shard))
	}
	if c.cfg.ChecksTerms && r.Standby != NoTarget && r.Standby != r.Owner {
		standby := &c.targets[r.Standby]
		heard := standby.inventoryTerm == c.term
		if !heard && !c.ended(standby) {
			return verdict{kind: waitsStandby}
		}
		if heard && standby.holds(r.Shard) > r.Epoch {
			return verdict{kind: atStandby, epoch: standby.holds(r.Shard)}
		}
		if heard {
			floor = max(floor, standby.floor(r.Shard))
		}
	}
	if floor > r.Epoch {
		return verdict{kind: ownerNewer, epoch: floor + 1}
	}
	return verdict{kind: asRecorded}
}

// ended reports whether all of an unheard target's grants have ended. A
// declaration vouches that no unaccounted host renews them; what this host
// and its mates granted still has to run out, in case the target was alive.
func (c *Cell) ended(t *targetState) bool {
	declared := t.lost && !t.refuted && c.now.After(c.quietAt(t))
	return declared || c.lapsed(t)
}
