package cell

import (
	"slices"
	"time"
)

// startReleases asks owners to release shards: those that custody took away,
// those of leaving targets, then planned moves within the minute's budget.
func (c *Cell) startReleases() {
	open := c.releaseFor()
	for i := range c.rows {
		r := c.doc.Rows[i]
		if open <= 0 || r.Owner == NoTarget || !c.free(i) {
			continue
		}
		switch {
		case c.rows[i].away:
			c.release(i, NoTarget)
			c.rows[i].giving = true
			open--
		case c.leavingNow(r.Owner) && c.hasOther(r.Owner):
			c.release(i, NoTarget)
			open--
		}
	}
	c.startPlan(open)
}

// releaseFor returns how many releases may begin now, and gives up those that
// have lost their reason.
func (c *Cell) releaseFor() int {
	open := releaseBatch
	for i := range c.rows {
		s := &c.rows[i]
		if !s.releasing {
			continue
		}
		open--
		if s.giving && !s.away && !s.joining {
			s.giving = false // the release goes on; the shard comes back here
		}
	}
	return open
}

// free reports whether nothing else is under way for the row.
func (c *Cell) free(i int) bool {
	s := &c.rows[i]
	return !s.doubt && !s.releasing && s.active == nil
}

func (c *Cell) release(i int, to TargetIndex) {
	s := &c.rows[i]
	s.releasing, s.releaseAt, s.to, s.served = true, c.now, to, false
	c.hasten(c.doc.Rows[i].Owner)
	c.dirty = true
}

// hasOther reports whether a shard could go to some other target.
func (c *Cell) hasOther(owner TargetIndex) bool {
	for i := range c.targets {
		if TargetIndex(i) != owner && c.eligible(TargetIndex(i)) {
			return true
		}
	}
	return false
}

// startPlan begins planned moves, oldest first.
func (c *Cell) startPlan(open int) {
	c.plan = append(c.plan, c.cutsToMove()...)
	if len(c.doc.Solos) > maxSolos-spareSolos {
		c.startJoin(c.doc.Solos[0].Shard)
	}
	c.planStarts = slices.DeleteFunc(c.planStarts, func(at time.Time) bool {
		return c.now.Sub(at) >= time.Minute
	})
	c.plan = slices.DeleteFunc(c.plan, func(p PlannedMove) bool {
		if p.Cut {
			return false // maintain writes it
		}
		if p.Join {
			c.startJoin(p.Shard)
			return true
		}
		if open <= 0 || len(c.planStarts) >= c.cfg.MovesPerMinute {
			return true // placement asks again
		}
		if c.startMove(p) {
			open--
			c.planStarts = append(c.planStarts, c.now)
		}
		return true
	})
}

// cutsToMove returns the moves of solo keys whose cut the owner confirmed.
func (c *Cell) cutsToMove() []PlannedMove {
	var ready []PlannedMove
	c.cuts = slices.DeleteFunc(c.cuts, func(p PlannedMove) bool {
		i := c.doc.rowOf(p.Shard)
		if i >= 0 && c.rows[i].served {
			ready = append(ready, p)
		}
		return i < 0 || c.rows[i].served
	})
	return ready
}

func (c *Cell) startMove(p PlannedMove) bool {
	i, to := c.doc.rowOf(p.Shard), c.doc.targetOf(p.To)
	if i < 0 || to == NoTarget || !c.eligible(to) {
		return false
	}
	r := c.doc.Rows[i]
	if r.Owner == NoTarget || r.Owner == to || !c.rows[i].served || !c.free(i) || !c.answering(&c.targets[r.Owner]) {
		return false
	}
	c.release(i, to)
	return true
}
