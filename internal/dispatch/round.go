package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/target"
)

// assignment is a waiter and the target whose slot it gets.
type assignment struct {
	waiter *waiter
	target *targetState
}

// refusedWaiter is a waiter that can't be served in time.
type refusedWaiter struct {
	waiter     *waiter
	reason     Reason
	retryAfter time.Duration
	// estimate is the expected time to the end of the request, available the number
	// of available targets.
	estimate  time.Duration
	available int
	// limit is the rate limit because of which it is refused, zero if none, and
	// allowed the rate that this home may use of it.
	limit, allowed target.Rate
}

// candidate is an available target in a round.
type candidate struct {
	*targetState

	// timeFactor is the result of targetState.timeFactor at the start of the round.
	timeFactor float64
	// load counts the requests that the target has or gets in this round.
	load int
	// capacity is the number of its slots that this home may use.
	capacity int
	// runsWatched is set if the target runs a watched request, runsAlone if it runs one
	// that has to be the only watched one. See round.markWatched.
	runsWatched, runsAlone bool
	// limiter is nil if the target has no rate limit. rate is the rate of requests
	// that this home may send, tokens the tokens that are left in this round; negative
	// for those that queued requests wait for.
	limiter *limiter
	rate    target.Rate
	tokens  float64
	// joined is set if the target has joined and got no request yet.
	joined bool
}

// free returns the number of requests that can start at once.
func (c *candidate) free() int {
	n := max(c.capacity-c.load, 0)
	if c.limiter != nil {
		n = min(n, max(int(c.tokens), 0))
	}
	return n
}

// limitWait returns the time until the target's rate limit leaves room for one more
// request that needs a number of tokens.
func (c *candidate) limitWait(need float64) time.Duration {
	if c.limiter == nil || c.tokens >= need {
		return 0
	}
	return seconds((need - c.tokens) / float64(c.rate))
}

// round is one pass over a pool's queue.
type round struct {
	*pool

	now        time.Time
	candidates []candidate
	// free counts the slots that are neither in use nor assigned in this round.
	free int
	// watched are the fingerprints of the requests that have to run one at a time and
	// that get a slot in this round.
	watched []quarantine.Fingerprint
	// marked is set once markWatched was called.
	marked bool
}

func (p *pool) round(now time.Time) *round {
	r := &round{pool: p, now: now, candidates: make([]candidate, 0, len(p.sorted))}
	for _, s := range p.sorted {
		if s.available(now) && (!p.isolated(now) || p.breakers.available(now, s.Zone)) {
			c := candidate{targetState: s, timeFactor: s.timeFactor(now), load: s.busy(now) + s.reported.foreignRequests(now), capacity: p.usableSlots(now, s.slots())}
			c.limit(now, p)
			r.candidates = append(r.candidates, c)
			r.free += c.free()
		}
	}
	return r
}

// best returns the candidate with the lowest score for a request and the expected
// time to the request's end there, or nil if no candidate may take it.
func (r *round) best(w *waiter) (*candidate, time.Duration) {
	var (
		best          *candidate
		minScore, end time.Duration
	)
	// Connections matter only while a slot is free: otherwise the target that
	// becomes free first is the best one.
	preferConnected := len(r.candidates) > 1 && r.hasFree()
	if preferConnected {
		r.marks++
		r.affinity.mark(r.now, w.key.host, r.marks)
	}
	for i := range r.candidates {
		c := &r.candidates[i]
		if len(w.Excluded) > 0 && len(r.candidates) > 1 && slices.Contains(w.Excluded, c.Target) {
			continue
		}
		if !r.usable(w, c) || len(r.candidates) > 1 && c.paths.lost(r.now, w.key.host) {
			continue
		}
		service := time.Duration(float64(w.mean) * c.timeFactor)
		total := service
		if c.load >= c.capacity {
			total += service * time.Duration(c.load-c.capacity+1) / time.Duration(c.capacity)
		}
		total = c.reported.expected(r.now, total, r.progress.mean())
		if wait := c.limitWait(r.tokensNeeded(c, w)); wait > 0 {
			total = max(total, wait+service)
		}
		score := total
		if c.Zone != w.zone {
			score += time.Duration(crossZoneCost * float64(w.mean))
		}
		if preferConnected && c.connMark != r.marks {
			score += time.Duration(newConnectionCost * float64(w.mean))
		}
		if r.firstRequest(w, c, total) {
			return c, total
		}
		if best == nil || score < minScore {
			best, minScore, end = c, score, total
		}
	}
	return best, end
}

// schedule runs one round over the queue. It removes and returns the waiters that
// get a slot and those that are refused.
func (p *pool) schedule(now time.Time) (assignments []assignment, refused []refusedWaiter) {
	if len(p.waiting) == 0 {
		return nil, nil
	}
	for _, w := range p.waiting {
		w.mean = p.mean(w.Class)
		if w.Cold {
			w.mean *= coldKeyFactor
		}
		w.late = now.Add(w.mean).After(w.softDeadline)
	}
	slices.SortStableFunc(p.waiting, compareWaiters)
	p.admission.promote(now, p.pressure, p.waiting)
	r := p.round(now)
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		switch r.admit(w) {
		case admitNow:
		case admitLater:
			kept = append(kept, w)
			continue
		case admitRefused:
			refused = append(refused, r.refuseWatched(w))
			continue
		}
		c, cost := r.best(w)
		switch {
		case c == nil:
			refused = append(refused, refusedWaiter{w, ReasonNoTarget, noTargetRetryAfter, 0, len(r.candidates), 0, 0})
		case w.Cold && r.reserved(c), r.unserviceable(w, c, cost):
			refused = append(refused, r.refuse(w, c, cost))
		case c.load < c.capacity+maxQueuedAtTarget && c.limitWait(r.tokensNeeded(c, w)) == 0:
			r.assign(c)
			r.watch(w, c)
			assignments = append(assignments, assignment{w, c.targetState})
		default:
			r.assign(c)
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return assignments, refused
}

// unserviceable reports whether a request that is expected to end after cost should
// be refused. A late request only gets slots that no request on time wants, so its
// wait grows with the pressure; above maxPressure it is refused at once. So is one that
// has to wait for a token of a rate limit while there is contention for the tokens.
func (r *round) unserviceable(w *waiter, c *candidate, cost time.Duration) bool {
	if r.refusesEarly(w) {
		return true
	}
	if !w.late && cost <= r.softTime(w) {
		return false
	}
	left := w.deadline.Sub(r.now)
	limited := c.limitWait(r.tokensNeeded(c, w)) > 0
	if r.hasFree() && !limited {
		return cost > left && !c.probeDue(r.now)
	}
	if r.pressure > maxPressure || limited && c.limiter.contention > maxPressure {
		return true
	}
	wait := float64(cost-w.mean)/(1-r.pressure) + float64(w.mean)
	return wait > deadlineMargin*float64(left)
}

// refuse returns the refusal of a waiter that was expected to end after cost at the
// candidate.
func (r *round) refuse(w *waiter, c *candidate, cost time.Duration) refusedWaiter {
	if wait := c.limitWait(r.tokensNeeded(c, w)); wait > 0 {
		delay := c.limiter.retryAfter(r.now, wait, w.deadline.Sub(r.now), c.rate)
		return refusedWaiter{w, ReasonLimit, delay, cost, len(r.candidates), c.limiter.rate, c.rate}
	}
	return refusedWaiter{w, ReasonFull, r.retryAfter(w, cost), cost, len(r.candidates), 0, 0}
}

// tokensNeeded returns the number of tokens that the candidate's bucket must have for a
// request: two while more urgent requests come, so that one is left for the next of
// them.
func (r *round) tokensNeeded(c *candidate, w *waiter) float64 {
	if c.limiter == nil {
		return 0
	}
	if w.first {
		return 1
	}
	window := max(urgentWindow, seconds(1/float64(c.rate)))
	for priority, at := range r.requestedAt {
		if priority < w.Priority && r.now.Sub(at) < window {
			return c.limiter.reserve()
		}
	}
	return 1
}

// reserved reports whether the candidate's last free slot is kept for requests for
// warm keys, which take a fraction of the time.
func (r *round) reserved(c *candidate) bool {
	return r.now.Sub(r.warmAskedAt) < warmWindow && c.load >= max(c.capacity-1, 1)
}

// assign counts a request at a candidate.
func (r *round) assign(c *candidate) {
	r.free -= c.free()
	c.load++
	c.tokens--
	c.joined = false
	r.free += c.free()
}

// hasFree reports whether any slot is free in this round.
func (r *round) hasFree() bool { return r.free > 0 }

// retryAfter returns the retry delay of a refused request that was expected to end
// after cost.
func (r *round) retryAfter(w *waiter, cost time.Duration) time.Duration {
	wait := max(time.Duration(retryShare*float64(cost-w.mean)), minRetryAfter)
	if r.admission != nil {
		return r.admission.retryAfter(r.now, w, wait, r.capacityRate(w))
	}
	if r.pressure > maxPressure {
		wait = max(wait, time.Duration(overloadRetryShare*float64(w.deadline.Sub(r.now))))
	}
	return wait
}
