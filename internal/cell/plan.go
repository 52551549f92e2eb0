package cell

import (
	"slices"
	"time"
)

// startReleases asks owners to release shards: those that custody took away,
// those of leaving targets, then planned moves within the minute's budget.
func (c *Cell) startReleases() {
	open := c.releaseBudget()
	for i := range c.rows {
		r := c.doc.Rows[i]
		if open <= 0 || r.Owner == NoTarget || !c.idleRow(i) {
			continue
		}
		switch {
		case c.rows[i].custodyLost:
			c.startRelease(i, NoTarget)
			c.rows[i].ceding = true
			open--
		case c.isLeaving(r.Owner) && c.hasAlternative(r.Owner):
			c.startRelease(i, NoTarget)
			open--
		}
	}
	c.startPlannedMoves(open)
}

// releaseBudget returns how many releases may begin now, and gives up those that
// have lost their reason.
func (c *Cell) releaseBudget() int {
	open := maxReleases
	for i := range c.rows {
		s := &c.rows[i]
		if !s.releasing {
			continue
		}
		open--
		if s.ceding && !s.custodyLost && !s.merging {
			s.ceding = false // the release goes on; the shard comes back here
		}
	}
	return open
}

// idleRow reports whether nothing else is under way for the row.
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

// hasAlternative reports whether a shard could go to some other target.
func (c *Cell) hasAlternative(owner TargetIndex) bool {
	for i := range c.targets {
		if TargetIndex(i) != owner && c.eligible(TargetIndex(i)) {
			return true
		}
	}
	return false
}

// startPlannedMoves begins planned moves, oldest first.
func (c *Cell) startPlannedMoves(open int) {
	c.plan = append(c.plan, c.readySplitMoves()...)
	if len(c.doc.SingleKeys) > maxSingleKeys-spareSingleKeys {
		c.startMerge(c.doc.SingleKeys[0].Shard)
	}
	c.moveStarts = slices.DeleteFunc(c.moveStarts, func(at time.Time) bool {
		return c.now.Sub(at) >= time.Minute
	})
	c.plan = slices.DeleteFunc(c.plan, func(p PlannedMove) bool {
		if p.Split {
			return false // maintain writes it
		}
		if p.Merge {
			c.startMerge(p.Shard)
			return true
		}
		if open <= 0 || len(c.moveStarts) >= c.cfg.MovesPerMinute {
			return true // placement asks again
		}
		if c.startMove(p) {
			open--
			c.moveStarts = append(c.moveStarts, c.now)
		}
		return true
	})
}

// readySplitMoves returns the moves of solo keys whose cut the owner confirmed.
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
