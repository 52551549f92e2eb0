package owner

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"sort"
	"time"

	"citrontray.example/citrontray/internal/partition"
	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// plan chooses the next moves and the owners of free ranges.
func (c *Core) plan(now time.Time) {
	unassigned := false
	for _, r := range c.rows {
		if r.to != "" && !c.usable(now, r.to) && r.state != writing {
			r.to = ""
		}
		unassigned = unassigned || r.to == "" && r.state != held && r.state != writing
	}
	if !unassigned && now.Sub(c.plannedAt) < c.cfg.PlanInterval || c.neverOwned() && now.Sub(c.joinedAt) < c.cfg.SettleTime {
		return
	}
	c.plannedAt = now
	targets := c.targets(now)
	bounds := c.cfg.Plan
	bounds.MaxMoves = max(bounds.MaxMoves, len(targets)/targetsPerMove)
	if now.Sub(c.rebalancedAt) < min(time.Duration(len(targets))*rebalanceIntervalPerTarget, c.cfg.MaxRebalanceInterval) {
		bounds.UrgentUtilization = urgentUtilization
	} else {
		c.rebalancedAt = now
	}
	for _, m := range partition.Plan(bounds, targets, c.spans(now), c.load) {
		r := c.split(m.Range)
		if r == nil || r.Target == m.To && r.state == held {
			continue
		}
		switch r.state {
		case held:
			if now.Sub(c.reclaimedAt) > reclaimPause {
				c.startMove(now, r, m.To, "Range moves for balance.")
			}
		case releasePending, releasing, free:
			r.to = m.To
		case writing:
		}
	}
}

// reclaimPause is how long no range moves to rebalance load after reclaimedAt: store
// outages last for seconds.
const reclaimPause = 2 * time.Second

// targetsPerMove is the number of targets for each move that may run at once: a larger
// service has proportionally more busy ranges.
const targetsPerMove = 4

// rebalanceIntervalPerTarget is the time between two plans that rebalance all targets,
// for each target. More targets cause more moves, and each move costs every host a
// table.
const rebalanceIntervalPerTarget = 2 * time.Millisecond

// urgentUtilization is the utilization from which a target gives work away at the next
// plan: requests there wait longer than they run.
const urgentUtilization = 1.3

// targets returns the targets that may own ranges.
func (c *Core) targets(now time.Time) []partition.Target {
	var out []partition.Target
	for _, name := range slices.Sorted(maps.Keys(c.targetRows)) {
		if !c.usable(now, name) {
			continue
		}
		t, ok := c.measured[name]
		if !ok {
			t = partition.Target{Name: name, Capacity: partition.Capacity(c.targetRows[name].Slots, 1)}
		}
		out = append(out, t)
	}
	return out
}

// spans returns the rows as input to a plan: rows on the move have their next owner, or
// none if that is not chosen yet.
func (c *Core) spans(now time.Time) []partition.Span {
	out := make([]partition.Span, 0, len(c.rows))
	for _, r := range c.rows {
		s := partition.Span{Range: r.Range, Owner: r.Target, Recent: now.Sub(r.since) < recentWindow}
		if r.state != held {
			s.Owner, s.Fixed = r.to, r.to != ""
		} else if !c.usable(now, r.Target) || !r.routable {
			s.Fixed = true // it can't be moved before there is evidence
		}
		out = append(out, s)
	}
	return out
}

// recentWindow is how long a range counts as recent at its owner: the time until the
// averages reflect its move.
const recentWindow = 3 * time.Second

// sendOrders sends the grants and releases that are due.
func (c *Core) sendOrders(now time.Time) {
	byTarget := make(map[place.Target][]*row)
	for _, r := range c.rows {
		switch {
		case r.Target == "":
		case r.state == held, r.state == releasePending && (!c.releasable(r) || !c.confirmed(r)):
			if c.grantDue(now, r) {
				byTarget[r.Target] = append(byTarget[r.Target], r)
			}
		case r.state == releasePending:
			c.release(now, r)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(byTarget)) {
		c.grant(now, name, byTarget[name])
	}
}

// grantDue reports whether a grant of the row should be sent now: at once if its owner
// has not acknowledged one yet or the range is about to be released, otherwise every
// renewInterval.
func (c *Core) grantDue(now time.Time, r *row) bool {
	tc := c.targetConn(r.Target)
	if tc.inFlight || now.Before(tc.retryAt) {
		return false
	}
	return r.acked == 0 || r.state == releasePending && c.confirmed(r) || now.Sub(tc.allSentAt) >= c.renewInterval(r.Target)
}

// releasable reports whether the response to a release would be evidence: the owner has
// seen a higher fencing token than any grant in flight, so that no such grant can take
// effect after it.
func (c *Core) releasable(r *row) bool {
	return r.acked > r.unacked && !c.targetConn(r.Target).inFlight
}

func (c *Core) release(now time.Time, r *row) {
	tc := c.targetConn(r.Target)
	if now.Before(tc.retryAt) || r.unroutableSince.IsZero() || now.Sub(r.unroutableSince) < c.cfg.ReleaseNotice {
		return
	}
	c.lastRelease++
	r.state, r.releaseID = releasing, c.lastRelease
	c.emit(SendRelease{
		ID: r.releaseID, Target: r.Target, Addr: r.Addr, Probe: c.awaitsTransit(now, r),
		Release: target.Release{Range: r.Range, FencingToken: r.fence},
	})
}

// confirmInterval is the time between two requests to renew the lease.
const confirmInterval = 100 * time.Millisecond

// confirm makes ranges that are about to be released unroutable, once the store has
// responded since their move was decided. Until then their owners serve them, and moves
// that wait too long are canceled. Ranges of an owner that is leaving become unroutable
// at once.
func (c *Core) confirm(now time.Time) {
	waiting := false
	for _, r := range c.rows {
		if r.state != releasePending {
			continue
		}
		renewed, live := c.confirmed(r), c.ownerLive(r)
		if r.routable && (renewed || !live) {
			r.routable, c.changed = false, true
		}
		// A grant in flight may still change until when the owner certainly holds the
		// range.
		if !renewed && live && now.Sub(r.since) > c.cfg.ConfirmTimeout && !c.targetConn(r.Target).inFlight {
			c.note(now, "Range stays, the store does not answer.", r, r.to)
			r.state, r.to, r.since = held, "", now
			if r.releaseID != 0 && now.Before(c.leaseEnd) {
				r.grantConn, r.acked = 0, 0 // it may have been released: grant it anew at once
			}
			c.reclaimedAt = now
			continue
		}
		waiting = waiting || !renewed
	}
	if waiting && now.Sub(c.renewalAskedAt) >= confirmInterval {
		c.renewalAskedAt = now
		c.emit(RenewLease{})
	}
}

// confirmed reports whether the store has responded since a move was decided.
func (c *Core) confirmed(r *row) bool { return !c.lastRenewal().Before(r.since) }

// grant sends a target the grants of new ranges and the renewals that are due.
func (c *Core) grant(now time.Time, name place.Target, rows []*row) {
	tc := c.targetConn(name)
	if !tc.failingSince.IsZero() && tc.uncertain {
		// An order that gets no response may extend a grant all the same. A range that
		// the owner may no longer hold is left to expire, unless that takes longer than
		// another grant.
		byThen := now.Add(c.cfg.OrderTimeout + c.cfg.maxGrantDuration())
		rows = slices.DeleteFunc(rows, func(r *row) bool { return now.After(r.heldUntil) && byThen.After(r.expiresBy) })
	}
	if !now.Before(c.leaseEnd) || now.Before(c.frozenUntil) {
		rows = slices.DeleteFunc(rows, func(r *row) bool { return !c.renewable(now, r) })
	}
	if len(rows) == 0 {
		return
	}
	e := SendGrants{Target: name, Addr: rows[0].Addr, Conn: tc.conn}
	for _, r := range rows {
		if r.grantConn != tc.conn || r.acked < r.fence || r.acked <= r.unacked {
			// There may be another incarnation of the target behind a new connection,
			// which must not get a range with a fencing token of the one before.
			if !c.hasFence() {
				continue // until the leader has its next term
			}
			r.fence = c.nextFence()
		}
		r.grantConn = tc.conn
		e.Probe = e.Probe || c.awaitsTransit(now, r)
		e.Grants = append(e.Grants, target.Grant{Range: r.Range, FencingToken: r.fence, Duration: c.cfg.GrantDuration, Handover: r.Handover})
	}
	if len(e.Grants) == 0 {
		return
	}
	tc.inFlight, tc.sentAt = true, now
	if now.Sub(tc.allSentAt) >= c.renewInterval(name) {
		tc.allSentAt = now
	}
	c.emit(e)
}

// renewable reports whether a leader may renew a range after its lease has ended.
// Another leader may have released the range and given it away. The owner then refuses
// the grant, unless it has restarted in between. So the grant is sent only on the
// connection on which the last one was acknowledged, with the same fencing token, and
// only while the owner certainly holds the range.
func (c *Core) renewable(now time.Time, r *row) bool {
	return r.grantConn == c.targetConn(r.Target).conn && r.acked == r.fence && r.acked > r.unacked && !now.After(r.heldUntil)
}

// Granted takes the result of each grant in a SendGrants. A grant after a failed one
// was not sent and has target.ErrNotSent.
func (c *Core) Granted(now time.Time, e SendGrants, results []error) {
	tc := c.targetConns[e.Target]
	if !c.leading || tc == nil || tc.conn != e.Conn {
		return
	}
	tc.inFlight = false
	failed, unknown, ended := false, false, false
	for i, err := range results {
		switch {
		case err == nil:
			c.grantAnswered(now, e, e.Grants[i])
		case errors.Is(err, target.ErrMisdirected):
			ended = true
		case errors.Is(err, target.ErrFenced):
			// The next grant gets a new fencing token, as this one is not acknowledged.
			c.grantFenced(now, e, e.Grants[i])
			failed = true
		case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRejected):
			failed = true
		case errors.Is(err, target.ErrDuplicateResponse):
			failed, unknown = true, true
			c.invalidateAcks(now, e)
		default:
			failed, unknown = true, true
			c.grantUnanswered(now, e, e.Grants[i])
		}
	}
	switch {
	case ended:
		tc.uncertain = false
		c.targetEnded(now, e.Target, e.Addr)
		c.noteFailure(now, tc)
	case failed:
		tc.uncertain = unknown
		c.noteFailure(now, tc)
	default:
		tc.failingSince = time.Time{}
	}
}

// noteFailure records that an order to a target failed. The next ones use a new
// connection.
func (c *Core) noteFailure(now time.Time, tc *targetConn) {
	const retry = 200 * time.Millisecond
	c.lastConn++
	tc.conn = c.lastConn
	tc.allSentAt = time.Time{}
	tc.failedAt, tc.retryAt = now, now.Add(retry)
	if tc.failingSince.IsZero() {
		tc.failingSince = now
	}
}

// eachMatching calls f for each row whose newest grant is g, sent in e.
func (c *Core) eachMatching(e SendGrants, g target.Grant, f func(r *row)) {
	first := sort.Search(len(c.rows), func(i int) bool { return c.rows[i].Range.Last >= g.Range.First })
	for _, r := range c.rows[first:] {
		if r.Range.First > g.Range.Last {
			return
		}
		if r.Target == e.Target && r.grantConn == e.Conn && r.fence == g.FencingToken && g.Range.Covers(r.Range) {
			f(r)
		}
	}
}

func (c *Core) grantAnswered(now time.Time, e SendGrants, g target.Grant) {
	c.eachMatching(e, g, func(r *row) {
		if r.acked == 0 && r.state == held {
			c.note(now, "Range granted.", r, r.Target)
		}
		c.noteAccepted(r, g.FencingToken)
		r.acked = max(r.acked, g.FencingToken)
		if r.acked > r.unacked {
			// The target refuses all grants that were sent before.
			r.expiresBy = now.Add(c.cfg.maxGrantDuration())
		} else {
			r.expiresBy = later(r.expiresBy, now.Add(c.cfg.maxGrantDuration()))
		}
		r.heldUntil = c.targetConn(e.Target).sentAt.Add(c.cfg.GrantDuration)
		r.Handover = ""
		if r.state == held && !r.routable {
			r.routable = true
			c.changed = true
		}
	})
}

func (c *Core) grantUnanswered(now time.Time, e SendGrants, g target.Grant) {
	c.eachMatching(e, g, func(r *row) {
		r.unacked = max(r.unacked, g.FencingToken)
		r.expiresBy = later(r.expiresBy, now.Add(c.cfg.maxGrantDuration()))
	})
}

// invalidateAcks records that responses on a connection may have been to other orders
// than they were taken for: no grant that was sent on it counts as acknowledged.
func (c *Core) invalidateAcks(now time.Time, e SendGrants) {
	for _, r := range c.rows {
		if r.Target == e.Target && r.grantConn == e.Conn {
			r.unacked = max(r.unacked, r.fence)
			r.expiresBy = later(r.expiresBy, now.Add(c.cfg.maxGrantDuration()))
		}
	}
}

// grantFenced records that a target has seen a higher fencing token. Only a leader of a
// later term has one. Until the store names that leader, this one goes on with its own
// tokens.
func (c *Core) grantFenced(now time.Time, e SendGrants, g target.Grant) {
	c.eachMatching(e, g, func(r *row) {
		c.note(now, "Target has seen a higher fence.", r, "")
		c.noteOutranked(r, g.FencingToken)
		if now.Before(c.frozenUntil) {
			c.markUnknown(now, r) // given by a leader that was lost in the restore
		}
	})
}

// targetEnded records that another target responded at the address: the incarnation that
// held ranges there has ended.
func (c *Core) targetEnded(now time.Time, name place.Target, addr netip.AddrPort) {
	for _, r := range c.rows {
		if r.Target == name && r.Addr == addr && r.state != free && r.state != writing {
			c.markFree(now, r, "Another target has the address.")
		}
	}
}

// Released takes the result of a SendRelease.
func (c *Core) Released(now time.Time, e SendRelease, handover target.Handover, err error) {
	for _, r := range c.rows {
		if r.state != releasing || r.releaseID != e.ID {
			continue
		}
		switch {
		case err == nil:
			r.Handover = handover
			c.markFree(now, r, "Range released.")
			r.released = true
		case errors.Is(err, target.ErrMisdirected):
			c.markFree(now, r, "Another target has the address.")
		default:
			const retry = 200 * time.Millisecond
			c.note(now, "Release not answered.", r, r.to)
			r.state, r.since = releasePending, now // the move has to be confirmed again
			c.targetConn(r.Target).retryAt = now.Add(retry)
		}
	}
}

// publish emits a table if anything that requests depend on has changed, or if the last
// table is old.
func (c *Core) publish(now time.Time) {
	if age := now.Sub(c.publishedAt); !c.changed && age < c.cfg.MaxPublishInterval || age < c.cfg.MinPublishInterval {
		return
	}
	c.changed, c.publishedAt = false, now
	c.sequence++
	t := &Table{Service: c.cfg.Service, Version: Version{c.term, c.sequence}, Leader: c.cfg.Host, LeaderIncarnation: c.cfg.Incarnation, DocRevision: c.revision}
	for _, r := range c.rows {
		s := Span{Range: r.Range}
		if r.routable {
			s.Target, s.Addr, r.unroutableSince = r.Target, r.Addr, time.Time{}
			s.ColdFor = max(r.warmAt.Sub(now), 0)
		} else {
			s.AvailableIn = c.availableIn(now, r)
			if r.unroutableSince.IsZero() {
				r.unroutableSince = now
			}
		}
		t.add(s)
	}
	c.emit(Publish{t})
}

// typicalMoveTime is the estimated duration of a planned move: the end of the running
// work, a write, and a grant.
const typicalMoveTime = 300 * time.Millisecond

// availableIn returns the estimated time until requests for an unroutable range can be
// sent to an owner again.
func (c *Core) availableIn(now time.Time, r *row) time.Duration {
	switch r.state {
	case held:
		if r.acked == 0 && r.unacked == 0 && now.Before(r.heldUntil) {
			return typicalMoveTime // its first grant is in flight
		}
		return max(r.expiresBy.Sub(now), 0) + typicalMoveTime
	case releasePending, releasing:
		if tc := c.targetConns[r.Target]; tc != nil && !tc.failingSince.IsZero() {
			return max(r.expiresBy.Sub(now), 0) + typicalMoveTime
		}
	case free, writing:
	}
	return typicalMoveTime
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
