package dispatch

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// softDeadlineMargin is the share of the time to its aim within which a request's
	// expected end must lie to count as on time: times vary by about half.
	softDeadlineMargin = 0.8
	// deadlineMargin is the same for the deadline of a request that is late
	// already.
	deadlineMargin = 0.6
	// pressureWeight is the weight of the newest free slot in the decayed share
	// of slots that requests on time wait for.
	pressureWeight = 0.1
	// maxPressure is the share from which late requests are refused: the
	// slots go to those that can be on time.
	maxPressure = 0.7
	// retryShare is the part of the expected wait after which a refused
	// client is told to come back; the queue shrinks meanwhile.
	retryShare = 0.75
	// minRetryAfter is the shortest time that a refused client is sent away for.
	minRetryAfter = 50 * time.Millisecond
	// overloadRetryShare is the part of its remaining time that a client is sent
	// away for while there are more requests than slots: coming back sooner
	// would find the same.
	overloadRetryShare = 0.3
	// coldKeyFactor is how many times as long a request for a cold key takes: from 3
	// to 6 where it was seen. It is late nearly always, so that it gets a slot
	// that nobody else wants.
	coldKeyFactor = 4
	// warmWindow is how long after a request for a warm key others are expected:
	// a target of a few requests a second gets one by then.
	warmWindow = time.Second
	// noTargetRetryAfter is that time where no target can take the request at all.
	noTargetRetryAfter = 400 * time.Millisecond
)

// waiter is an ask in a pool's queue.
type waiter struct {
	Acquire

	key  ticketKey
	zone place.Zone
	// mean is the mean time of its class, and late tells whether it would miss
	// its aim if it started now; both are of the present round.
	mean time.Duration
	late bool
	// deadline is when the answer must be there, aimAt when it should be.
	deadline     time.Time
	softDeadline time.Time
	arrivedAt    time.Time
}

// pool is the queue and the targets of one pool at its home.
type pool struct {
	id       PoolID
	targets  map[place.Target]*targetState
	sorted   []*targetState // sorted by name, so that equal lanes are tried in one order
	classes  map[traffic.RouteName]*serviceTime
	observed map[traffic.RouteName]*serviceTime
	waiting  []*waiter
	usedAt   time.Time
	// isolatedAt and sharedAt are when a host last asked that is its own home for
	// want of another, and when any other did.
	isolatedAt, sharedAt time.Time
	// warmAskedAt is when a request for a warm key last came.
	warmAskedAt time.Time
	// pressure is the decayed share of free slots that requests on time waited
	// for.
	pressure float64
	breakers *breakers
	affinity affinity
	// marks counts the askers that lanes were marked for.
	marks uint64
}

func newPool(id PoolID, learned map[traffic.RouteName]*serviceTime, cut *breakers) *pool {
	return &pool{
		id:       id,
		observed: learned,
		breakers: cut,
		targets:  make(map[place.Target]*targetState),
		classes:  make(map[traffic.RouteName]*serviceTime),
		affinity: make(affinity),
	}
}

// setTargets takes over the targets that belong to the pool now. Tickets at
// targets that are gone stay until they are given back.
func (p *pool) setTargets(now time.Time, rows []place.TargetRow) {
	named := make(map[place.Target]bool, len(rows))
	for _, row := range rows {
		named[row.Target] = true
		if l, ok := p.targets[row.Target]; ok {
			l.update(row, now)
			l.usable = l.usable && (!l.leaving || p.id.Target != "")
			continue
		}
		p.targets[row.Target] = newTargetState(row, now)
	}
	for name, l := range p.targets {
		if named[name] {
			continue
		}
		l.usable = false
		if len(l.running) == 0 {
			delete(p.targets, name)
		}
	}
	p.sorted = p.sorted[:0]
	for _, l := range p.targets {
		p.sorted = append(p.sorted, l)
	}
	slices.SortFunc(p.sorted, func(a, b *targetState) int { return cmp.Compare(a.Target, b.Target) })
}

func (p *pool) class(name traffic.RouteName) *serviceTime {
	c := p.classes[name]
	if c == nil {
		c = &serviceTime{}
		if known := p.observed[name]; known != nil {
			c.mean, c.priorSamples = known.mean, priorWeight
		}
		p.classes[name] = c
	}
	return c
}

// mean returns the mean time of a class, or of all where it has none yet.
func (p *pool) mean(name traffic.RouteName) time.Duration {
	known := []map[traffic.RouteName]*serviceTime{p.classes, p.observed}
	for _, classes := range known {
		if c := classes[name]; c != nil && c.mean > 0 {
			return c.mean
		}
	}
	for _, classes := range known {
		if mean, ok := overallMean(classes); ok {
			return mean
		}
	}
	return defaultMean
}

// overallMean returns the mean time of all requests that were seen, and false where
// there were none. Each class counts by its requests: many routes with a few
// short ones stand beside the one that has them all.
func overallMean(classes map[traffic.RouteName]*serviceTime) (time.Duration, bool) {
	var sum, seen float64
	for _, c := range classes {
		sum += float64(c.mean) * float64(c.samples)
		seen += float64(c.samples)
	}
	if seen == 0 {
		return 0, false
	}
	return time.Duration(sum / seen), true
}

// dominantMean returns the mean time of the requests that make up most of a target's
// work, and how many it rests on. A target that has begun a moment ago may have had
// more requests of routes that are over in a moment than of the one that keeps it
// busy.
func dominantMean(classes map[traffic.RouteName]*serviceTime) (mean time.Duration, requests float64) {
	var most float64
	for _, c := range classes {
		if work := float64(c.samples) * float64(c.ownMean); work > most {
			most, mean, requests = work, c.ownMean, min(float64(c.samples), 1/meanWeight)
		}
	}
	return mean, requests
}

// compareWaiters orders the queue: by priority, then those that can still be on time
// by their aim, then those that can't by their deadline.
func compareWaiters(a, b *waiter) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	switch {
	case a.late && !b.late:
		return 1
	case !a.late && b.late:
		return -1
	case a.late:
		return cmp.Or(a.deadline.Compare(b.deadline), a.arrivedAt.Compare(b.arrivedAt))
	}
	return cmp.Or(a.softDeadline.Compare(b.softDeadline), a.arrivedAt.Compare(b.arrivedAt))
}

// assignment is a waiter that gets a slot now.
type assignment struct {
	waiter *waiter
	target *targetState
}

// refusedWaiter is a waiter that will not be served in time.
type refusedWaiter struct {
	waiter     *waiter
	reason     Reason
	retryAfter time.Duration
	// estimate is when it was expected to end, open the lanes that could be tried.
	estimate  time.Duration
	available int
}

// candidate is one lane in a round of scheduling.
type candidate struct {
	*targetState

	// timeFactor is the time of a request here over its class's mean.
	timeFactor float64
	// load counts the requests that the lane has or gets in this round.
	load int
	// capacity is how many requests it may work on at once.
	capacity int
}

// round is one pass over a pool's queue.
type round struct {
	*pool

	now        time.Time
	candidates []candidate
	// free counts the slots that nobody has taken.
	free int
}

func (p *pool) round(now time.Time) *round {
	r := &round{pool: p, now: now, candidates: make([]candidate, 0, len(p.sorted))}
	for _, l := range p.sorted {
		if l.available(now) && (!p.isolated(now) || p.breakers.available(now, l.Zone)) {
			at := candidate{targetState: l, timeFactor: l.timeFactor(now), load: l.busy(now), capacity: p.usableSlots(now, l.slots())}
			r.candidates = append(r.candidates, at)
			r.free += max(at.capacity-at.load, 0)
		}
	}
	return r
}

// best returns the seat at which a request is best served, with the time until
// it would end there, or nil where no lane may take it.
func (r *round) best(w *waiter) (*candidate, time.Duration) {
	var (
		best        *candidate
		lowest, end time.Duration
	)
	// Where all slots are taken, whichever is free first counts.
	connected := len(r.candidates) > 1 && r.hasFree()
	if connected {
		r.marks++
		r.affinity.mark(r.now, w.key.host, r.marks)
	}
	for i := range r.candidates {
		at := &r.candidates[i]
		if len(w.Excluded) > 0 && len(r.candidates) > 1 && slices.Contains(w.Excluded, at.Target) {
			continue
		}
		service := time.Duration(float64(w.mean) * at.timeFactor)
		total := service
		if at.load >= at.capacity {
			total += service * time.Duration(at.load-at.capacity+1) / time.Duration(at.capacity)
		}
		score := total
		if at.Zone != w.zone {
			score += time.Duration(crossZoneCost * float64(w.mean))
		}
		if connected && at.connMark != r.marks {
			score += time.Duration(newConnectionCost * float64(w.mean))
		}
		if best == nil || score < lowest {
			best, lowest, end = at, score, total
		}
	}
	return best, end
}

// schedule goes through the queue in its order. It returns who starts where,
// and who is dismissed; both leave the queue.
func (p *pool) schedule(now time.Time) (starts []assignment, out []refusedWaiter) {
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
	r := p.round(now)
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		at, cost := r.best(w)
		switch {
		case at == nil:
			out = append(out, refusedWaiter{w, ReasonNoTarget, noTargetRetryAfter, 0, len(r.candidates)})
		case w.Cold && r.reserved(at), r.unserviceable(w, cost):
			out = append(out, refusedWaiter{w, ReasonFull, r.retryAfter(w, cost), cost, len(r.candidates)})
		case at.load < at.capacity+maxQueuedAtTarget:
			r.assign(at)
			starts = append(starts, assignment{w, at.targetState})
		default:
			r.assign(at)
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return starts, out
}

// unserviceable reports whether a request that would end after cost is not worth
// waiting for. One that would be late takes a slot only where no request on
// time wants it, and is refused at once where they want nearly all.
func (r *round) unserviceable(w *waiter, cost time.Duration) bool {
	if !w.late && cost <= time.Duration(softDeadlineMargin*float64(w.softDeadline.Sub(r.now))) {
		return false
	}
	left := w.deadline.Sub(r.now)
	if r.hasFree() {
		return cost > left
	}
	if r.pressure > maxPressure {
		return true
	}
	wait := float64(cost-w.mean)/(1-r.pressure) + float64(w.mean)
	return wait > deadlineMargin*float64(left)
}

// reserved reports whether the last free slot of a target is kept for requests
// of warm keys, which take a fraction of the time.
func (r *round) reserved(at *candidate) bool {
	return r.now.Sub(r.warmAskedAt) < warmWindow && at.load >= max(at.capacity-1, 1)
}

// assign gives a request a place at a target.
func (r *round) assign(at *candidate) {
	if at.load < at.capacity {
		r.free--
	}
	at.load++
}

// hasFree reports whether a slot is free for which nobody waits.
func (r *round) hasFree() bool { return r.free > 0 }

// updatePressure notes that a slot became free, and whether requests on time wait for
// it.
func (p *pool) updatePressure() {
	wanted := 0.0
	for _, w := range p.waiting {
		if !w.late {
			wanted = 1
			break
		}
	}
	p.pressure += pressureWeight * (wanted - p.pressure)
}

// sharedWindow is how long a pool counts as shared after an ask of a host that
// chose this home.
const sharedWindow = time.Second

// usableSlots returns how many of a target's slots this home may count on. One that
// is home for want of another does not know who else uses them.
func (p *pool) usableSlots(now time.Time, slots int) int {
	if p.isolated(now) {
		return 1
	}
	return slots
}

// isolated reports whether this host is the pool's home only for want of another.
func (p *pool) isolated(now time.Time) bool {
	return p.isolatedAt.After(p.sharedAt) && now.Sub(p.sharedAt) > sharedWindow
}

// retryAfter returns when a client should come back whose request would have
// ended after cost.
func (r *round) retryAfter(w *waiter, cost time.Duration) time.Duration {
	wait := max(time.Duration(retryShare*float64(cost-w.mean)), minRetryAfter)
	if r.pressure > maxPressure {
		wait = max(wait, time.Duration(overloadRetryShare*float64(w.deadline.Sub(r.now))))
	}
	return wait
}

// acquire notes that a waiter uses a slot.
func (p *pool) acquire(now time.Time, s assignment) *ticket {
	t := &ticket{
		key:         s.waiter.key,
		pool:        p,
		class:       s.waiter.Class,
		target:      s.target,
		started:     now,
		mean:        s.waiter.mean,
		cold:        s.waiter.Cold,
		queued:      s.target.busy(now) >= s.target.slots(),
		confirmedAt: now,
	}
	s.target.running[t.key] = t
	if len(p.sorted) > 1 {
		p.affinity.begin(now, t.key.host, s.target)
	}
	p.breakers.attempted(now, s.target.Zone)
	return t
}

// release frees a slot and draws the conclusions from how its use ended.
func (p *pool) release(now time.Time, t *ticket, end Result, took time.Duration) {
	l := t.target
	delete(l.running, t.key)
	p.affinity.finish(now, t.key.host, l)
	p.updatePressure()
	l.promote(now)
	if t.promoted {
		took = now.Sub(t.started)
	}
	ratio := 1.0
	if mean := p.mean(t.class); mean > 0 && took > 0 {
		ratio = float64(took) / float64(mean)
	}
	switch end {
	case ResultUnreachable, ResultUnused, ResultTimeout, ResultCut:
	case ResultServed, ResultFailed, ResultBusy, ResultMisdirected:
		p.breakers.reset(l.Zone)
	}
	switch end {
	case ResultServed:
		l.connectFailures, l.servedAt = 0, now
		if t.queued || t.cold {
			break // the time includes a wait at the target, or says little of it
		}
		p.class(t.class).add(took)
		l.observe(now, ratio, false)
	case ResultFailed, ResultCut:
		l.connectFailures = 0
		slow, _ := l.decayed(now)
		l.observe(now, slow, true)
	case ResultTimeout:
		l.observe(now, max(ratio, 1), true)
	case ResultBusy:
		l.connectFailures = 0
		slow, _ := l.decayed(now)
		l.observe(now, slow, true)
	case ResultUnreachable:
		l.connectFailed(now)
		if p.isolated(now) {
			p.breakers.connectFailed(now, l.Zone, l.Target)
		}
	case ResultMisdirected, ResultUnused:
	}
}
