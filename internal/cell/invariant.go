package cell

import (
	"fmt"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// checkTransition reports whether a change of the document keeps the invariants. A
// violation is a bug in this program. The leader steps down, and the next one starts
// from the document in the store.
func (c *Cell) checkTransition(from, to *Doc) bool {
	err := transitionError(from, to)
	if err == nil {
		return true
	}
	c.logf("Invariant violated: %v.", err)
	c.stepDown("invariant violated")
	return false
}

// checkRole makes a leader or deputy step down that is bound by a promise.
func (c *Cell) checkRole() {
	if (c.role == leader || c.role == deputy) && c.boundByPromise() {
		c.logf("Invariant violated: %s while promised to %s.", c.role, c.promise.to)
		c.stepDown("invariant violated")
	}
}

// checkTerm reports whether the term of a newer document has not fallen.
func (c *Cell) checkTerm(next *Doc) bool {
	if !c.hasDoc || next.Term >= c.doc.Term {
		return true
	}
	c.logf("Invariant violated: term of the document fell from %d to %d.", c.doc.Term, next.Term)
	return false
}

// transitionError returns the first violation of the invariants by a change of the
// document, or nil.
func transitionError(from, to *Doc) error {
	if to.Term < from.Term {
		return fmt.Errorf("term fell from %d to %d", from.Term, to.Term)
	}
	if err := to.check(); err != nil {
		return err
	}
	for _, r := range from.Rows {
		if err := rowTransitionError(r, from, to); err != nil {
			return err
		}
	}
	if to.NextSingleKey < from.NextSingleKey {
		return fmt.Errorf("next single-key number fell from %d to %d", from.NextSingleKey, to.NextSingleKey)
	}
	return nil
}

func rowTransitionError(r Row, from, to *Doc) error {
	i := to.rowIndex(r.Shard)
	if i < 0 {
		return missingRowError(r, from, to)
	}
	next := to.Rows[i]
	if next.Epoch < r.Epoch {
		return fmt.Errorf("epoch of shard %d fell from %d to %d", r.Shard, r.Epoch, next.Epoch)
	}
	moved := next.Owner != r.Owner
	if moved && next.Epoch == r.Epoch {
		return fmt.Errorf("shard %d changed its owner within epoch %d", r.Shard, r.Epoch)
	}
	return nil
}

// missingRowError returns nil if the row was removed for a reason: it is ceded with a
// floor above its epoch, or a single key was merged into its parent shard.
func missingRowError(r Row, from, to *Doc) error {
	for _, ceded := range to.Ceded {
		if ceded.Shard == r.Shard && ceded.Floor > r.Epoch {
			return nil
		}
	}
	if isSingleKey(from, r.Shard) && !isSingleKey(to, r.Shard) {
		return nil
	}
	return fmt.Errorf("shard %d has no row and was not ceded", r.Shard)
}

func isSingleKey(d *Doc, shard key.Shard) bool {
	for _, s := range d.SingleKeys {
		if s.Shard == shard {
			return true
		}
	}
	return false
}

// Floor returns an epoch above all that this cell may have granted for the shard, also
// to activated standbys. It returns zero if the shard has no row.
func (d *Doc) Floor(shard key.Shard) grant.Epoch {
	i := d.rowIndex(shard)
	if i < 0 {
		return 0
	}
	return d.Rows[i].Epoch + maxStandbyEpochs
}

// maxStandbyEpochs bounds how much activations can raise an epoch during a store outage.
const maxStandbyEpochs = 1 << 10
