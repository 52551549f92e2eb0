package cell

import (
	"slices"
	"time"
)

// startReleases starts to release shards at their owners: those that are not in
// custody any more, those of leaving targets, and then planned moves within
// MovesPerMinute.
func (c *Cell) startReleases() {
	budget := c.releaseBudget()
	for i := range c.rows {
		r := c.doc.Rows[i]
		if budget <= 0 || r.Owner == NoTarget || !c.idleRow(i) {
			continue
		}
		switch {
		case c.rows[i].custodyLost:
			c.startRelease(i, NoTarget)
			c.rows[i].ceding = true
			budget--
		case c.isLeaving(r.Owner) && c.hasAlternative(r.Owner):
			c.startRelease(i, NoTarget)
			budget--
		}
	}
	c.startPlannedMoves(budget)
}

// releaseBudget returns how many more releases may start. It also keeps a shard in the
// cell that came back into custody while it was released to be ceded.
func (c *Cell) releaseBudget() int {
	budget := maxReleases
	for i := range c.rows {
		s := &c.rows[i]
		if !s.releasing {
			continue
		}
		budget--
		if s.ceding && !s.custodyLost && !s.merging {
			s.ceding = false // the release goes on, then the shard gets a new owner here
		}
	}
	return budget
}

// idleRow reports whether the holder of the row is known and it is neither released
// nor activated.
func (c *Cell) idleRow(i int) bool {
	s := &c.rows[i]
	return !s.holderUnknown && !s.releasing && s.activation == nil
}

func (c *Cell) startRelease(i int, to TargetIndex) {
	s := &c.rows[i]
	s.releasing, s.releaseStart, s.moveTo, s.routable = true, c.now, to, false
	c.orderNow(c.doc.Rows[i].Owner)
	c.tableChanged = true
}

// hasAlternative reports whether a shard of owner can be assigned to another target.
func (c *Cell) hasAlternative(owner TargetIndex) bool {
	for i := range c.targets {
		if TargetIndex(i) != owner && c.eligible(TargetIndex(i)) {
			return true
		}
	}
	return false
}

// startPlannedMoves starts the moves and merges of the plan. It also merges the oldest
// single key back if few more can be split off.
func (c *Cell) startPlannedMoves(budget int) {
	c.plan = append(c.plan, c.readySplitMoves()...)
	if len(c.doc.SingleKeys) > maxSingleKeys-spareSingleKeys {
		c.startMerge(c.doc.SingleKeys[0].Shard)
	}
	c.moveStarts = slices.DeleteFunc(c.moveStarts, func(at time.Time) bool {
		return c.now.Sub(at) >= time.Minute
	})
	c.plan = slices.DeleteFunc(c.plan, func(p PlannedMove) bool {
		if p.Split {
			return false // left to splitKeys
		}
		if p.Merge {
			c.startMerge(p.Shard)
			return true
		}
		if budget <= 0 || len(c.moveStarts) >= c.cfg.MovesPerMinute {
			return true // placement will ask again
		}
		if c.startMove(p) {
			budget--
			c.moveStarts = append(c.moveStarts, c.now)
		}
		return true
	})
}

// readySplitMoves returns the moves of single-key shards that their owners have
// confirmed since the split.
func (c *Cell) readySplitMoves() []PlannedMove {
	var ready []PlannedMove
	c.splitMoves = slices.DeleteFunc(c.splitMoves, func(p PlannedMove) bool {
		i := c.doc.rowIndex(p.Shard)
		if i >= 0 && c.rows[i].routable {
			ready = append(ready, p)
		}
		return i < 0 || c.rows[i].routable
	})
	return ready
}

func (c *Cell) startMove(p PlannedMove) bool {
	i, to := c.doc.rowIndex(p.Shard), c.doc.targetIndex(p.To)
	if i < 0 || to == NoTarget || !c.eligible(to) {
		return false
	}
	r := c.doc.Rows[i]
	if r.Owner == NoTarget || r.Owner == to || !c.rows[i].routable || !c.idleRow(i) || !c.responsive(&c.targets[r.Owner]) {
		return false
	}
	c.startRelease(i, to)
	return true
}
