package dispatch

import (
	"math"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

const (
	// maxWarmup bounds a stated warm-up: no target takes longer.
	maxWarmup = 10 * time.Minute
	// sentWindow is the time in which the requests sent to a cold target are bounded.
	sentWindow = time.Second
	// limitShares is the sum of the shares of all homes of a target; see HomeRanking.
	limitShares = 1.5
	// minColdBurst is the least number of tokens in the bucket of a cold target: a smaller
	// bucket never has a whole one.
	minColdBurst = 1
	// slowColdRate is the rate of a bucket of one token up to which no window has two
	// requests.
	slowColdRate target.Rate = 0.95
)

// ColdBound is how many requests all hosts together may send a cold target. The zero value
// stands for no bound.
type ColdBound struct {
	// Rate is the rate that may be sustained.
	Rate target.Rate
	// Max is the number of requests in any second.
	Max float64
}

// NewColdBound returns the bound for targets that can handle a rate while they are cold. In
// any second they may get overage times as many requests, plus slack.
func NewColdBound(rate target.Rate, overage, slack float64) ColdBound {
	if rate <= 0 || overage <= 0 {
		return ColdBound{}
	}
	sustained := float64(rate) * overage
	return ColdBound{Rate: target.Rate(sustained), Max: sustained + max(slack, 0)}
}

func (b ColdBound) limited() bool { return b.Rate > 0 }

// bucket returns the rate and the size of the token bucket of a home with a share. In any
// second a bucket issues no more tokens than rate and size together, so that those of all
// homes stay within Max.
func (b ColdBound) bucket(share float64) (rate target.Rate, size float64) {
	perSecond := share * b.Max / limitShares
	rate = target.Rate(share) * b.Rate
	size = perSecond - float64(rate)
	if size >= minColdBurst {
		return rate, size
	}
	// A bucket of one token with a low rate issues one token in a second at most.
	slow := min(target.Rate(perSecond), slowColdRate)
	return min(rate, max(target.Rate(perSecond-minColdBurst), slow)), minColdBurst
}

// Warmup is what a host knows of how long a target stays cold.
type Warmup struct {
	incarnation place.Incarnation
	// left is the warm-up in the target's entry, which was first seen at listedAt.
	left        time.Duration
	listed      bool
	listedAt    time.Time
	listedUntil time.Time
	// statedAt is when a response last stated a warm-up.
	statedAt, statedUntil time.Time
	// returnedUntil is until when a target that was down is assumed to be cold.
	returnedUntil time.Time
}

// Listed applies the entry of the target. One that was seen before states nothing new: its
// time runs from when it was first seen.
func (w *Warmup) Listed(now time.Time, row place.TargetRow) {
	if w.listed && w.incarnation == row.Incarnation && w.left == row.WarmupLeft {
		return
	}
	if w.incarnation != row.Incarnation {
		w.returnedUntil = time.Time{}
	}
	w.listed, w.incarnation, w.left = true, row.Incarnation, row.WarmupLeft
	w.listedAt, w.listedUntil = now, now.Add(min(max(row.WarmupLeft, 0), maxWarmup))
}

// Stated applies the warm-up that a response states; zero if it states none.
func (w *Warmup) Stated(now time.Time, left time.Duration) {
	if left > 0 {
		w.statedAt, w.statedUntil = now, now.Add(min(left, maxWarmup))
	}
}

// returned records that a target that was down responds. It has probably started again, and
// is cold until its next entry is listed.
func (w *Warmup) returned(now time.Time) { w.returnedUntil = now.Add(maxListLag) }

// Until returns the end of the warm-up. An entry that is listed soon after a response may be
// older than it, so it can't end the warm-up that the response states.
func (w *Warmup) Until() time.Time {
	until := w.listedUntil
	if w.statedUntil.After(until) && w.listedAt.Before(w.statedAt.Add(maxListLag)) {
		until = w.statedUntil
	}
	if w.returnedUntil.After(until) {
		until = w.returnedUntil
	}
	return until
}

// coldTarget is the state of a target with a ColdBound at a home.
type coldTarget struct {
	Warmup

	bound ColdBound
	// sent holds when the tickets of the last second were issued, oldest first.
	sent []time.Time
	// joined is set once the target was added to an existing pool, until it gets a request.
	joined bool
	// limiter is the bucket while the target is cold, nil while it is warm.
	limiter *limiter
}

// trim drops the tickets that were issued more than sentWindow ago.
func (c *coldTarget) trim(now time.Time) {
	i := 0
	for i < len(c.sent) && now.Sub(c.sent[i]) >= sentWindow {
		i++
	}
	c.sent = slices.Delete(c.sent, 0, i)
}

// refill adds tokens to the bucket of a cold target. At first the bucket is empty: other
// homes may just have sent requests. It is below zero if this one has sent more in the last
// second than a full bucket holds.
func (c *coldTarget) refill(now time.Time, pool PoolID, share float64) target.Rate {
	rate, size := c.bound.bucket(share)
	if c.limiter == nil {
		c.trim(now)
		c.limiter = newLimiter(now, now, pool, c.incarnation, c.bound.Rate, "")
		c.limiter.tokens = max(min(size-float64(len(c.sent)), 0), -max(float64(rate), 1))
		c.limiter.filledRate = rate
	}
	c.limiter.size = size
	c.limiter.refill(now, rate)
	return rate
}

// coldTargets holds the targets with a ColdBound at the homes of a host.
type coldTargets map[place.Target]*coldTarget

// list applies the entry of a target. joined is set unless its pool is new.
func (l *limiters) list(now time.Time, row place.TargetRow, bound ColdBound, joined bool) {
	c := l.cold[row.Target]
	if !bound.limited() {
		if c != nil {
			l.setWarm(now, row.Target, c)
			delete(l.cold, row.Target)
		}
		return
	}
	if c == nil {
		c = &coldTarget{}
		l.cold[row.Target] = c
	}
	c.bound, c.joined = bound, c.joined || joined && (!c.listed || c.incarnation < row.Incarnation)
	c.Listed(now, row)
	l.coldAt(now, row.Target)
}

// coldAt returns the state of a target that is cold now, nil if it is warm.
func (l *limiters) coldAt(now time.Time, name place.Target) *coldTarget {
	c := l.cold[name]
	if c == nil {
		return nil
	}
	if !now.Before(c.Until()) {
		l.setWarm(now, name, c)
		return nil
	}
	return c
}

// setWarm ends the limit of a target that is not cold any more.
func (l *limiters) setWarm(now time.Time, name place.Target, c *coldTarget) {
	if c.limiter != nil {
		l.events = append(l.events, LimitEvent{LimitState: c.limiter.state(now, name), Pool: c.limiter.pool, Change: LimitWarm})
		c.limiter = nil
	}
}

// coldLimiter returns the bucket of a target for a home with a share, and its rate; nil if
// the target is not cold.
func (l *limiters) coldLimiter(now time.Time, pool PoolID, name place.Target, share func() float64) (*limiter, target.Rate) {
	c := l.coldAt(now, name)
	if c == nil {
		return nil, 0
	}
	begins := c.limiter == nil
	rate := c.refill(now, pool, share())
	if begins {
		l.events = append(l.events, LimitEvent{LimitState: c.limiter.state(now, name), Pool: pool, Change: LimitCold})
	}
	return c.limiter, rate
}

// sent records that a ticket for a target was issued.
func (l *limiters) sent(now time.Time, name place.Target) {
	c := l.cold[name]
	if c == nil {
		return
	}
	c.trim(now)
	c.sent, c.joined = append(c.sent, now), false
	if c.limiter != nil {
		c.limiter.take()
	}
}

// settle returns the tokens of a request that does not count: one that was not sent, or, for
// a cold target, one that it refused since it does not own the key.
func (l *limiters) settle(now time.Time, t *ticket, result Result) {
	if result == ResultUnreachable {
		l.refund(now, t.target.TargetRow)
	}
	c := l.cold[t.target.Target]
	if c == nil || result != ResultUnreachable && result != ResultMisdirected {
		return
	}
	i, found := slices.BinarySearchFunc(c.sent, t.assignedAt, time.Time.Compare)
	if !found {
		return // another home issued the ticket, or it no longer counts
	}
	c.sent = slices.Delete(c.sent, i, i+1)
	if c.limiter != nil {
		c.limiter.refund()
	}
}

// pruneCold drops the state of targets that no pool here has, so that it does not grow with
// targets that came and went.
func (l *limiters) pruneCold(now time.Time, listed func(place.Target) bool) {
	for name, c := range l.cold {
		if !listed(name) {
			l.setWarm(now, name, c)
			delete(l.cold, name)
		}
	}
}

// limit sets what the rate limits of the target leave in this round: its own one and the one
// while it is cold. Both hold, so the lower rate and the lower number of tokens count.
func (c *candidate) limit(now time.Time, p *pool) {
	share := func() float64 { return p.catalog.LimitShare(now, p.id) }
	if c.limiter = p.limits.of(now, c.TargetRow); c.limiter != nil {
		c.rate = c.limiter.allowed(share(), p.catalog.OrderRate(p.id.Service, c.Target))
		c.limiter.refill(now, c.rate)
		c.tokens = c.limiter.tokens
	}
	known := p.limits.cold[c.Target]
	c.joined = known != nil && known.joined
	cold, rate := p.limits.coldLimiter(now, p.id, c.Target, share)
	if cold == nil {
		return
	}
	if c.limiter == nil {
		c.tokens = math.Inf(1)
	}
	c.tokens = min(c.tokens, cold.tokens)
	if c.limiter == nil || rate < c.rate {
		c.limiter, c.rate = cold, rate
	}
}

// reserve returns the number of tokens that a request needs while more urgent ones come, so
// that one is left for these. A cold target's bucket may never hold two.
func (l *limiter) reserve() float64 {
	const two = 2
	if l.size > 0 && l.size < two {
		return 1
	}
	return two
}

// endCold ends the limits of targets that are no longer cold.
func (l *limiters) endCold(now time.Time) {
	for name := range l.cold {
		l.coldAt(now, name)
	}
}

// firstRequest reports whether a request that is expected to end after cost goes to a target
// that has joined and got none yet. Its assumed slowness would keep requests from it for as
// long as others have free slots, and its own times would stay unknown.
func (r *round) firstRequest(w *waiter, c *candidate, cost time.Duration) bool {
	inTime := !w.late && r.now.Add(cost).Before(w.softDeadline)
	return c.joined && inTime && c.load < c.capacity && c.limitWait(r.tokensNeeded(c, w)) == 0
}

// updateCold applies the entries of the targets of all pools. joined is set if targets that
// were not known before have joined, rather than their pool being new.
func (h *Home) updateCold(now time.Time, joined bool) {
	listed := make(map[place.Target]bool)
	for _, p := range h.pools {
		bound := h.catalog.ColdBound(p.id.Service)
		for _, s := range p.sorted {
			listed[s.Target] = true
			h.limits.list(now, s.TargetRow, bound, joined)
		}
	}
	h.limits.pruneCold(now, func(name place.Target) bool { return listed[name] })
}

// stateWarmup applies the warm-up that a response to a request states.
func (h *Home) stateWarmup(now time.Time, d Done) {
	if c := h.limits.cold[d.Target]; c != nil && d.Warmup > 0 {
		c.Stated(now, d.Warmup)
	}
}

// ColdState is a target that is cold, as known to a home.
type ColdState struct {
	Target place.Target
	// Rate is the rate of requests of all hosts together, Left the time until it is warm.
	Rate target.Rate
	Left time.Duration
	// Refused is how often this home has refused a request because of it.
	Refused int
}

// coldStates returns the cold targets of a pool.
func (h *Home) coldStates(now time.Time, p *pool) []ColdState {
	var out []ColdState
	for _, t := range p.sorted {
		c := h.limits.coldAt(now, t.Target)
		if c == nil {
			continue
		}
		s := ColdState{Target: t.Target, Rate: c.bound.Rate, Left: c.Until().Sub(now)}
		if c.limiter != nil {
			s.Refused = c.limiter.refused
		}
		out = append(out, s)
	}
	return out
}
