package owner

import (
	"errors"
	"maps"
	"slices"
	"sort"
	"time"

	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// plan decides which ranges go where next.
func (c *Core) plan(now time.Time) {
	homeless := false
	for _, r := range c.rows {
		if r.to != "" && !c.usable(now, r.to) && r.state != writing {
			r.to = ""
		}
		homeless = homeless || r.to == "" && r.state != held && r.state != writing
	}
	if !homeless && now.Sub(c.planned) < c.cfg.PlanEvery || c.unowned() && now.Sub(c.joined) < c.cfg.Settle {
		return
	}
	c.planned = now
	targets := c.targets(now)
	bounds := c.cfg.Plan
	bounds.Moves = max(bounds.Moves, len(targets)/targetsPerMove)
	if now.Sub(c.leveled) < min(time.Duration(len(targets))*levelPace, c.cfg.LevelMost) {
		bounds.Urgent = urgentUse
	} else {
		c.leveled = now
	}
	for _, m := range partition.Plan(bounds, targets, c.spans(now), c.load) {
		r := c.split(m.Range)
		if r == nil || r.Target == m.To && r.state == held {
			continue
		}
		switch r.state {
		case held:
			if now.Sub(c.reclaimed) > reclaimPause {
				c.leave(now, r, m.To, "Range moves for balance.")
			}
		case leaving, releasing, free:
			r.to = m.To
		case writing:
		}
	}
}

// reclaimPause is how long no range is moved for balance after one could not be
// recorded elsewhere: the store's outages last for seconds.
const reclaimPause = 2 * time.Second

// targetsPerMove is how many targets a service has for each move at once: a
// larger one has as many more busy ranges.
const targetsPerMove = 4

// levelPace is, for each target, the time between two plans that even out all of
// them: more targets move more, and each move costs every host a table.
const levelPace = 2 * time.Millisecond

// urgentUse is the use of a target, its work over its capacity, from which it
// gives work away at the next plan: requests there wait for longer than they take.
const urgentUse = 1.3

// targets returns the targets that may own ranges.
func (c *Core) targets(now time.Time) []partition.Target {
	var out []partition.Target
	for _, name := range slices.Sorted(maps.Keys(c.fleet)) {
		if !c.usable(now, name) {
			continue
		}
		t, ok := c.measured[name]
		if !ok {
			t = partition.Target{Name: name, Capacity: partition.Capacity(c.fleet[name].Slots, 1)}
		}
		out = append(out, t)
	}
	return out
}

// spans returns the rows as a plan sees them: those on the move with their
// next owner, and those whose release waits for one as without any.
func (c *Core) spans(now time.Time) []partition.Span {
	out := make([]partition.Span, 0, len(c.rows))
	for _, r := range c.rows {
		s := partition.Span{Range: r.Range, Owner: r.Target, Recent: now.Sub(r.since) < recentTime}
		if r.state != held {
			s.Owner, s.Fixed = r.to, r.to != ""
		} else if !c.usable(now, r.Target) || !r.served {
			s.Fixed = true // it can't be moved before there is evidence
		}
		out = append(out, s)
	}
	return out
}

// recentTime is how long a range counts as recent at its owner: the time in
// which the averages take in what its move changed.
const recentTime = 3 * time.Second

// order sends the grants and releases that are due.
func (c *Core) order(now time.Time) {
	byTarget := make(map[place.Target][]*row)
	for _, r := range c.rows {
		switch {
		case r.Target == "":
		case r.state == held, r.state == leaving && (!c.releasable(r) || !c.confirmed(r)):
			if c.due(now, r) {
				byTarget[r.Target] = append(byTarget[r.Target], r)
			}
		case r.state == leaving:
			c.release(now, r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byTarget)) {
		c.grant(now, name, byTarget[name])
	}
}

// due reports whether a grant of the row should be sent now: one that its owner
// has not answered for yet at once, all others each Renew.
func (c *Core) due(now time.Time, r *row) bool {
	l := c.lane(r.Target)
	if l.busy || now.Before(l.retryAt) {
		return false
	}
	return r.acked == 0 || r.state == leaving && c.confirmed(r) || now.Sub(l.sent) >= c.cfg.Renew
}

// releasable reports whether the answer to a release would be evidence: no
// grant that is still on its way can take effect after it, as the owner has
// seen a higher fence.
func (c *Core) releasable(r *row) bool {
	return r.acked > r.lost && !c.lane(r.Target).busy
}

func (c *Core) release(now time.Time, r *row) {
	l := c.lane(r.Target)
	if now.Before(l.retryAt) || r.hidden.IsZero() || now.Sub(r.hidden) < c.cfg.Warn {
		return
	}
	c.releases++
	r.state, r.release = releasing, c.releases
	c.emit(SendRelease{
		ID: r.release, Target: r.Target, Addr: r.Addr,
		Release: target.Release{Range: r.Range, Fence: r.fence},
	})
}

// confirmAgain is the time between two wishes to have the lease renewed.
const confirmAgain = 100 * time.Millisecond

// confirm hides the ranges that are about to be released, once the store has answered
// since their move was decided. Until then their owners serve them, and moves that wait
// for too long are called off. What an owner that leaves has is hidden at once.
func (c *Core) confirm(now time.Time) {
	waiting := false
	for _, r := range c.rows {
		if r.state != leaving {
			continue
		}
		sure, stays := c.confirmed(r), c.staying(r)
		if r.served && (sure || !stays) {
			r.served, c.changed = false, true
		}
		// The answer to a grant that is on its way tells until when it may hold.
		if !sure && stays && now.Sub(r.since) > c.cfg.Confirm && !c.lane(r.Target).busy {
			c.note(now, "Range stays, the store does not answer.", r, r.to)
			r.state, r.to, r.since = held, "", now
			if r.release != 0 && now.Before(c.leaseEnd) {
				r.conn, r.acked = 0, 0 // it may have been released: it is granted anew at once
			}
			c.reclaimed = now
			continue
		}
		waiting = waiting || !sure
	}
	if waiting && now.Sub(c.confirming) >= confirmAgain {
		c.confirming = now
		c.emit(RenewLease{})
	}
}

// confirmed reports whether the store has answered since a move was decided.
func (c *Core) confirmed(r *row) bool { return !c.renewed().Before(r.since) }

// grant renews what a target holds, or gives it what is new.
func (c *Core) grant(now time.Time, name place.Target, rows []*row) {
	l := c.lane(name)
	if !l.failing.IsZero() && l.doubtful {
		// An order that is not answered may lengthen a grant all the same:
		// where the owner no longer surely holds a range, it is left to lapse.
		rows = slices.DeleteFunc(rows, func(r *row) bool { return now.After(r.sure) })
	}
	if !now.Before(c.leaseEnd) || now.Before(c.cautious) {
		rows = slices.DeleteFunc(rows, func(r *row) bool { return !c.renewable(now, r) })
	}
	if len(rows) == 0 {
		return
	}
	e := SendGrants{Target: name, Addr: rows[0].Addr, Conn: l.conn}
	for _, r := range rows {
		if r.conn != l.conn || r.acked < r.fence || r.acked <= r.lost {
			// Another life of the target may be behind a new connection, and
			// a life must not get a range at the fence of the one before.
			c.fences++
			r.fence = c.term.fence(c.fences)
		}
		r.conn = l.conn
		e.Grants = append(e.Grants, target.Grant{Range: r.Range, Fence: r.fence, Hold: c.cfg.Hold, Handover: r.Handover})
	}
	l.busy, l.asked = true, now
	if now.Sub(l.sent) >= c.cfg.Renew {
		l.sent = now
	}
	c.emit(e)
}

// renewable reports whether a lead may renew a range after its lease has ended.
// Another lead may have had the range released, and given it away; the owner
// refuses the grant then, but not if it has started again meanwhile. So a grant
// then goes only over the connection that the last one was answered on, at the
// same fence, and only while the owner surely holds the range.
func (c *Core) renewable(now time.Time, r *row) bool {
	return r.conn == c.lane(r.Target).conn && r.acked == r.fence && r.acked > r.lost && !now.After(r.sure)
}

// Granted takes the result of each grant in a SendGrants; a grant after a
// failed one was not sent and has target.ErrNotSent.
func (c *Core) Granted(now time.Time, e SendGrants, results []error) {
	l := c.lanes[e.Target]
	if !c.leading || l == nil || l.conn != e.Conn {
		return
	}
	l.busy = false
	failed, doubtful, ended := false, false, false
	for i, err := range results {
		switch {
		case err == nil:
			c.answered(now, e, e.Grants[i])
		case errors.Is(err, target.ErrMisdirected):
			ended = true
		case errors.Is(err, target.ErrFenced):
			// The next grant gets a new fence, as this one has no answer.
			c.fenced(now, e, e.Grants[i])
			failed = true
		case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRejected):
			failed = true
		case errors.Is(err, target.ErrTwice):
			failed, doubtful = true, true
			c.doubt(now, e)
		default:
			failed, doubtful = true, true
			c.unanswered(now, e, e.Grants[i])
		}
	}
	switch {
	case ended:
		c.ended(now, e.Target)
	case failed:
		l.doubtful = doubtful
		c.fail(now, l)
	default:
		l.failing = time.Time{}
	}
}

// fail notes that orders to a target fail. The next ones go over a new
// connection.
func (c *Core) fail(now time.Time, l *lane) {
	const retry = 200 * time.Millisecond
	c.conns++
	l.conn = c.conns
	l.sent = time.Time{}
	l.failedAt, l.retryAt = now, now.Add(retry)
	if l.failing.IsZero() {
		l.failing = now
	}
}

// matching calls f for each row that a grant was sent for.
func (c *Core) matching(e SendGrants, g target.Grant, f func(r *row)) {
	first := sort.Search(len(c.rows), func(i int) bool { return c.rows[i].Range.Last >= g.Range.First })
	for _, r := range c.rows[first:] {
		if r.Range.First > g.Range.Last {
			return
		}
		if r.Target == e.Target && r.conn == e.Conn && r.fence == g.Fence && g.Range.Covers(r.Range) {
			f(r)
		}
	}
}

func (c *Core) answered(now time.Time, e SendGrants, g target.Grant) {
	c.matching(e, g, func(r *row) {
		if r.acked == 0 && r.state == held {
			c.note(now, "Range granted.", r, r.Target)
		}
		r.acked = max(r.acked, g.Fence)
		if r.acked > r.lost {
			// All that was sent before is refused from now on.
			r.end = now.Add(c.cfg.longest())
		} else {
			r.end = later(r.end, now.Add(c.cfg.longest()))
		}
		r.sure = c.lane(e.Target).asked.Add(c.cfg.Hold)
		r.Handover = ""
		if r.state == held && !r.served {
			r.served = true
			c.changed = true
		}
	})
}

func (c *Core) unanswered(now time.Time, e SendGrants, g target.Grant) {
	c.matching(e, g, func(r *row) {
		r.lost = max(r.lost, g.Fence)
		r.end = later(r.end, now.Add(c.cfg.longest()))
	})
}

// doubt notes that answers on a connection may have been to other orders than
// they were taken for: no grant that was sent over it counts as answered.
func (c *Core) doubt(now time.Time, e SendGrants) {
	for _, r := range c.rows {
		if r.Target == e.Target && r.conn == e.Conn {
			r.lost = max(r.lost, r.fence)
			r.end = later(r.end, now.Add(c.cfg.longest()))
		}
	}
}

// fenced notes that a target has seen a higher fence. Only a lead of a later
// term has one; until the store says so, this one tries on with its own.
func (c *Core) fenced(now time.Time, e SendGrants, g target.Grant) {
	c.matching(e, g, func(r *row) {
		c.note(now, "Target has seen a higher fence.", r, "")
		if now.Before(c.cautious) {
			c.doubtful(now, r) // of a lead that was forgotten
		}
	})
}

// ended notes that another target has the address: the life that held the
// ranges is over.
func (c *Core) ended(now time.Time, name place.Target) {
	for _, r := range c.rows {
		if r.Target == name && r.state != free && r.state != writing {
			c.free(now, r, "Another target has the address.")
		}
	}
	delete(c.lanes, name)
}

// Released takes the result of a SendRelease.
func (c *Core) Released(now time.Time, e SendRelease, handover target.Handover, err error) {
	for _, r := range c.rows {
		if r.state != releasing || r.release != e.ID {
			continue
		}
		switch {
		case err == nil:
			r.Handover = handover
			c.free(now, r, "Range released.")
			r.released = true
		case errors.Is(err, target.ErrMisdirected):
			c.free(now, r, "Another target has the address.")
		default:
			const retry = 200 * time.Millisecond
			c.note(now, "Release not answered.", r, r.to)
			r.state, r.since = leaving, now // the store has to answer once more
			c.lane(r.Target).retryAt = now.Add(retry)
		}
	}
}

// publish makes a table if anything changed that requests depend on, or the
// last one is old.
func (c *Core) publish(now time.Time) {
	if age := now.Sub(c.published); !c.changed && age < c.cfg.Publish || age < c.cfg.Pace {
		return
	}
	c.changed, c.published = false, now
	c.sequence++
	t := &Table{Service: c.cfg.Service, Version: Version{c.term, c.sequence}, Lead: c.cfg.Host, Life: c.cfg.Life, Based: c.revision}
	for _, r := range c.rows {
		s := Span{Range: r.Range}
		if r.served {
			s.Target, s.Addr, r.hidden = r.Target, r.Addr, time.Time{}
			s.Cold = max(r.warmAt.Sub(now), 0)
		} else {
			s.Back = c.back(now, r)
			if r.hidden.IsZero() {
				r.hidden = now
			}
		}
		t.add(s)
	}
	c.emit(Publish{t})
}

// moveTime is about how long a planned move takes: the end of the running
// work, a write, and a grant.
const moveTime = 300 * time.Millisecond

// back returns when a range without an owner probably has one again.
func (c *Core) back(now time.Time, r *row) time.Duration {
	switch r.state {
	case held:
		if r.acked == 0 && r.lost == 0 && now.Before(r.sure) {
			return moveTime // its first grant is on its way
		}
		return max(r.end.Sub(now), 0) + moveTime
	case leaving, releasing:
		if l := c.lanes[r.Target]; l != nil && !l.failing.IsZero() {
			return max(r.end.Sub(now), 0) + moveTime
		}
	case free, writing:
	}
	return moveTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
