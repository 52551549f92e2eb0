package cell

import (
	"fmt"

	"citrontray.example/citrontray/internal/grant"
	"citrontray.example/citrontray/internal/key"
)

// checkTransition reports whether the step from one document to the next keeps the
// invariants. A violation ends leading: it is a fault of this program, and
// the next lead starts from the store.
func (c *Cell) checkTransition(from, to *Doc) bool {
	err := transitionError(from, to)
	if err == nil {
		return true
	}
	c.logf("Invariant violated: %v.", err)
	c.stepDown("invariant violated")
	return false
}

// checkRole ends leading and deputising while a promise of this host runs.
func (c *Cell) checkRole() {
	if (c.role == leader || c.role == deputy) && c.boundByPromise() {
		c.logf("Invariant violated: %s while promised to %s.", c.role, c.promise.to)
		c.stepDown("invariant violated")
	}
}

// checkTerm reports whether a document may follow the one in force.
func (c *Cell) checkTerm(next *Doc) bool {
	if !c.hasDoc || next.Term >= c.doc.Term {
		return true
	}
	c.logf("Invariant violated: term of the document fell from %d to %d.", c.doc.Term, next.Term)
	return false
}

// transitionError returns what is wrong with a step between two documents.
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
		return fmt.Errorf("solo number fell from %d to %d", from.NextSingleKey, to.NextSingleKey)
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
		return fmt.Errorf("shard %d moved within epoch %d", r.Shard, r.Epoch)
	}
	return nil
}

// missingRowError accepts a row that is listed as given up above its epoch, and a
// solo key that went back to its parent.
func missingRowError(r Row, from, to *Doc) error {
	for _, g := range to.Ceded {
		if g.Shard == r.Shard && g.Floor > r.Epoch {
			return nil
		}
	}
	if isSingleKey(from, r.Shard) && !isSingleKey(to, r.Shard) {
		return nil
	}
	return fmt.Errorf("shard %d is in no row and not given up", r.Shard)
}

func isSingleKey(d *Doc, shard key.Shard) bool {
	for _, s := range d.SingleKeys {
		if s.Shard == shard {
			return true
		}
	}
	return false
}

// Floor returns an epoch above every one that this cell can have granted for
// the shard, a standby's activation included. Zero where it has no row.
func (d *Doc) Floor(shard key.Shard) grant.Epoch {
	i := d.rowIndex(shard)
	if i < 0 {
		return 0
	}
	return d.Rows[i].Epoch + maxStandbyEpochs
}

// maxStandbyEpochs bounds the epochs that standbys can add without the store.
const maxStandbyEpochs = 1 << 10
