package owner

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// state is the step of a move that a row is in.
type state uint8

const (
	// held: the owner holds the range, or may hold it.
	held state = iota
	// releasePending: the range is to move; no release is in flight.
	releasePending
	// releasing: the release is in flight.
	releasing
	// free: there is evidence that no target holds the range.
	free
	// writing: the new owner is being written to the store.
	writing
)

// row is a range with one owner and the state of its grant.
type row struct {
	Row

	state state
	// to is the next owner; empty until one is chosen.
	to place.Target
	// since is when the state began.
	since time.Time
	// grantConn and fence are the connection and the fencing token of the newest grant.
	grantConn uint64
	fence     target.FencingToken
	// acked is the highest fencing token that the owner has acknowledged in this term,
	// unacked the highest one without a response. Such a grant may take effect late,
	// unless the owner has seen a higher token.
	acked   target.FencingToken
	unacked target.FencingToken
	// outranked counts the tokens of this term that the owner has refused in a row.
	outranked int
	// expiresBy is when the owner certainly no longer holds the range if no further
	// grant is sent.
	expiresBy time.Time
	// heldUntil is until when the owner certainly holds the range.
	heldUntil time.Time
	// routable is true if requests may be sent to the owner. unroutableSince is when the
	// first table without the owner was made; zero if the last table names the owner.
	routable        bool
	unroutableSince time.Time
	// warmAt is when warm-up ends at an owner that took the keys without a handover;
	// zero if the keys are warm.
	warmAt time.Time
	// releaseID numbers the release in flight.
	releaseID uint64
	// released is true if a free range was released by its owner, which the document
	// still names.
	released bool
}

// checkRows applies the changes that follow from the passage of time.
func (c *Core) checkRows(now time.Time) {
	evacuating := c.mayEvacuate(now)
	for _, r := range c.rows {
		if !now.Before(r.warmAt) {
			r.warmAt = time.Time{}
		}
		switch r.state {
		case held:
			if evacuating && c.evacuationDue(now, r) {
				c.startMove(now, r, "", "Range leaves an evacuated zone.")
				break
			}
			c.checkHeld(now, r)
		case free:
			if r.released && c.shouldReclaim(now, r) && c.available(now, r.Target) {
				c.reclaim(now, r)
			}
		case releasePending, releasing, writing:
		}
		if now.After(r.expiresBy) && r.state != free && r.state != writing && !c.targetConn(r.Target).inFlight {
			c.expire(now, r)
		}
	}
}

// checkHeld makes a range unroutable if its owner may no longer hold it, and starts to
// move it off an owner that is leaving or not listed. While frozen, no move starts, as a
// leader lost in a restore may have made one.
func (c *Core) checkHeld(now time.Time, r *row) {
	switch {
	case c.ownerLive(r):
	case !now.Before(c.frozenUntil):
		c.startMove(now, r, "", "Range leaves a target that leaves.")
		return
	case r.routable:
		r.routable, c.changed = false, true
	}
	if r.routable && now.After(r.heldUntil) {
		c.note(now, "Target leaves grants unanswered.", r, "")
		r.routable, c.changed = false, true
	}
}

// expire frees a range whose last grant has expired.
func (c *Core) expire(now time.Time, r *row) {
	c.markFree(now, r, "Grant has lapsed.")
	if tc := c.targetConn(r.Target); !tc.failingSince.IsZero() && c.hasAlternative(now, r.Target) {
		// No order has been sent since it became uncertain that the target holds the
		// range, so the cooldown after its failure starts now.
		tc.failedAt = now
	}
}

func (c *Core) note(now time.Time, text string, r *row, to place.Target) {
	c.emit(Note{Text: text, Range: r.Range, From: r.Target, To: to, Fence: r.fence, Age: now.Sub(r.since)})
}

const (
	// partsPerRequest is the number of parts into which a range is cut for a release,
	// per concurrent request on its keys. maxParts bounds the number of parts.
	partsPerRequest = 4
	maxParts        = 8
)

// startMove starts the move of a range; to may be empty. A release is answered only
// when all work on its keys has ended, so a busy range moves in parts: most of them
// have no work running and are available again within moments.
func (c *Core) startMove(now time.Time, r *row, to place.Target, why string) {
	c.note(now, why, r, to)
	work := c.load.Work(r.Range)
	if c.limited[r.Target] {
		work = min(work, c.measured[r.Target].Capacity) // no more requests run there
	}
	parts := int(partsPerRequest * work)
	for _, part := range c.load.Split(r.Range, min(parts, maxParts)) {
		p := c.split(part)
		p.state, p.to, p.since = releasePending, to, now
	}
	c.confirm(now)
}

// markFree records that no target holds the range.
func (c *Core) markFree(now time.Time, r *row, why string) {
	c.note(now, why, r, r.to)
	if now.Before(c.frozenUntil) {
		c.markUnknown(now, r)
		return
	}
	r.state, r.since, r.routable, r.released = free, now, false, false
	r.acked, r.unacked, r.fence, r.grantConn, r.releaseID = 0, 0, 0, 0, 0
	c.changed = true
}

// reclaimMargin is how long before the end of its lease a leader takes back ranges
// whose new owner it could not record: without a lease, another leader may have given
// them away.
const reclaimMargin = 100 * time.Millisecond

// shouldReclaim reports whether a released range should return to its owner: the store
// refused to record another one, or takes too long.
func (c *Core) shouldReclaim(now time.Time, r *row) bool {
	if !now.Before(c.leaseEnd) {
		return false
	}
	return c.writeRefusedAt.After(r.since) || now.Sub(r.since) > c.cfg.ReclaimTimeout || now.After(c.leaseEnd.Add(-reclaimMargin))
}

// reclaim returns a released range to its owner, as the new owner could not be
// recorded.
func (c *Core) reclaim(now time.Time, r *row) {
	c.note(now, "Range goes back, its new owner can't be recorded.", r, r.to)
	r.state, r.to, r.since, r.released = held, "", now, false
	r.expiresBy, r.heldUntil = now.Add(c.cfg.FirstGrantTimeout), now.Add(c.cfg.FirstGrantTimeout)
	c.changed, c.reclaimedAt = true, now
}

// neverOwned reports whether no range has ever had an owner.
func (c *Core) neverOwned() bool {
	return len(c.rows) == 1 && c.rows[0].Target == "" && c.rows[0].state == free
}

// coalesce merges adjacent rows of one owner, so that one grant renews them.
func (c *Core) coalesce() {
	out := c.rows[:0]
	for _, r := range c.rows {
		if n := len(out); n > 0 && c.canCoalesce(out[n-1], r) {
			last := out[n-1]
			last.Range.Last = r.Range.Last
			last.expiresBy = later(last.expiresBy, r.expiresBy)
			last.acked, last.unacked, last.fence = min(last.acked, r.acked), max(last.unacked, r.unacked), max(last.fence, r.fence)
			last.grantConn = 0 // forces a new fencing token, above both
			continue
		}
		out = append(out, r)
	}
	clear(c.rows[len(out):])
	c.rows = out
}

func (c *Core) canCoalesce(a, b *row) bool {
	same := a.Target == b.Target && a.Incarnation == b.Incarnation && a.Addr == b.Addr
	quiet := a.state == held && b.state == held && a.routable && b.routable && a.Handover == "" && b.Handover == ""
	return same && quiet && a.warmAt.Equal(b.warmAt) && a.Target != "" && min(a.acked, b.acked) > max(a.unacked, b.unacked) && !c.targetConn(a.Target).inFlight
}

// split cuts a row so that one row covers exactly the range, and returns that row.
func (c *Core) split(r key.Range) *row {
	for i := 0; i < len(c.rows); i++ {
		at := c.rows[i]
		if !at.Range.Contains(r.First) {
			continue
		}
		if at.Range.First < r.First {
			left := *at
			left.Range.Last = r.First - 1
			at.Range.First = r.First
			c.rows = slices.Insert(c.rows, i, &left)
			i++
		}
		if at.Range.Last > r.Last {
			right := *at
			right.Range.First = r.Last + 1
			at.Range.Last = r.Last
			c.rows = slices.Insert(c.rows, i+1, &right)
		}
		return at
	}
	return nil
}
