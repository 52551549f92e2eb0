package dispatch

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// aimMargin is the share of the time to its aim within which a request's
	// expected end must lie to count as on time: times vary by about half.
	aimMargin = 0.8
	// lateMargin is the same for the deadline of a request that is late
	// already.
	lateMargin = 0.6
	// pressureWeight is the weight of the newest free slot in the decayed share
	// of slots that requests on time wait for.
	pressureWeight = 0.1
	// pressureFull is the share from which late requests are refused: the
	// slots go to those that can be on time.
	pressureFull = 0.7
	// retryShare is the part of the expected wait after which a refused
	// client is told to come back; the queue shrinks meanwhile.
	retryShare = 0.75
	// retryLeast is the shortest time that a refused client is sent away for.
	retryLeast = 50 * time.Millisecond
	// retryPressed is the part of its remaining time that a client is sent
	// away for while there are more requests than slots: coming back sooner
	// would find the same.
	retryPressed = 0.3
	// coldKey is how many times as long a request for a cold key takes: from 3
	// to 6 where it was seen. It is late nearly always, so that it gets a slot
	// that nobody else wants.
	coldKey = 4
	// warmFor is how long after a request for a warm key others are expected:
	// a target of a few requests a second gets one by then.
	warmFor = time.Second
	// retryNone is that time where no target can take the request at all.
	retryNone = 400 * time.Millisecond
)

// waiter is an ask in a pool's queue.
type waiter struct {
	Ask

	key  ticketKey
	zone place.Zone
	// mean is the mean time of its class, and late tells whether it would miss
	// its aim if it started now; both are of the present round.
	mean time.Duration
	late bool
	// deadline is when the answer must be there, aimAt when it should be.
	deadline time.Time
	aimAt    time.Time
	arrived  time.Time
}

// pool is the queue and the targets of one pool at its home.
type pool struct {
	id      PoolID
	lanes   map[place.Target]*lane
	order   []*lane // sorted by name, so that equal lanes are tried in one order
	classes map[traffic.RouteName]*classTime
	learned map[traffic.RouteName]*classTime
	waiting []*waiter
	used    time.Time
	// aloneAt and sharedAt are when a host last asked that is its own home for
	// want of another, and when any other did.
	aloneAt, sharedAt time.Time
	// askedWarm is when a request for a warm key last came.
	askedWarm time.Time
	// pressure is the decayed share of free slots that requests on time waited
	// for.
	pressure float64
	cutoffs  *cutoffs
	visits   visits
	// marks counts the askers that lanes were marked for.
	marks uint64
}

func newPool(id PoolID, learned map[traffic.RouteName]*classTime, cut *cutoffs) *pool {
	return &pool{
		id:      id,
		learned: learned,
		cutoffs: cut,
		lanes:   make(map[place.Target]*lane),
		classes: make(map[traffic.RouteName]*classTime),
		visits:  make(visits),
	}
}

// setTargets takes over the targets that belong to the pool now. Tickets at
// targets that are gone stay until they are given back.
func (p *pool) setTargets(now time.Time, rows []place.TargetRow) {
	named := make(map[place.Target]bool, len(rows))
	for _, row := range rows {
		named[row.Target] = true
		if l, ok := p.lanes[row.Target]; ok {
			l.describe(row, now)
			l.usable = l.usable && (!l.leaving || p.id.Target != "")
			continue
		}
		p.lanes[row.Target] = newLane(row, now)
	}
	for name, l := range p.lanes {
		if named[name] {
			continue
		}
		l.usable = false
		if len(l.running) == 0 {
			delete(p.lanes, name)
		}
	}
	p.order = p.order[:0]
	for _, l := range p.lanes {
		p.order = append(p.order, l)
	}
	slices.SortFunc(p.order, func(a, b *lane) int { return cmp.Compare(a.Target, b.Target) })
}

func (p *pool) class(name traffic.RouteName) *classTime {
	c := p.classes[name]
	if c == nil {
		c = &classTime{}
		if known := p.learned[name]; known != nil {
			c.mean, c.prior = known.mean, priorWeight
		}
		p.classes[name] = c
	}
	return c
}

// mean returns the mean time of a class, or of all where it has none yet.
func (p *pool) mean(name traffic.RouteName) time.Duration {
	known := []map[traffic.RouteName]*classTime{p.classes, p.learned}
	for _, classes := range known {
		if c := classes[name]; c != nil && c.mean > 0 {
			return c.mean
		}
	}
	for _, classes := range known {
		if mean, ok := meanOf(classes); ok {
			return mean
		}
	}
	return firstMean
}

// meanOf returns the mean time of all requests that were seen, and false where
// there were none. Each class counts by its requests: many routes with a few
// short ones stand beside the one that has them all.
func meanOf(classes map[traffic.RouteName]*classTime) (time.Duration, bool) {
	var sum, seen float64
	for _, c := range classes {
		sum += float64(c.mean) * float64(c.seen)
		seen += float64(c.seen)
	}
	if seen == 0 {
		return 0, false
	}
	return time.Duration(sum / seen), true
}

// usualOf returns the mean time of the requests that make up most of a target's
// work, and how many it rests on. A target that has begun a moment ago may have had
// more requests of routes that are over in a moment than of the one that keeps it
// busy.
func usualOf(classes map[traffic.RouteName]*classTime) (mean time.Duration, requests float64) {
	var most float64
	for _, c := range classes {
		if work := float64(c.seen) * float64(c.own); work > most {
			most, mean, requests = work, c.own, min(float64(c.seen), 1/meanWeight)
		}
	}
	return mean, requests
}

// compare orders the queue: by priority, then those that can still be on time
// by their aim, then those that can't by their deadline.
func compare(a, b *waiter) int {
	if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
		return c
	}
	switch {
	case a.late && !b.late:
		return 1
	case !a.late && b.late:
		return -1
	case a.late:
		return cmp.Or(a.deadline.Compare(b.deadline), a.arrived.Compare(b.arrived))
	}
	return cmp.Or(a.aimAt.Compare(b.aimAt), a.arrived.Compare(b.arrived))
}

// start is a waiter that gets a slot now.
type start struct {
	waiter *waiter
	lane   *lane
}

// dismissal is a waiter that will not be served in time.
type dismissal struct {
	waiter     *waiter
	reason     Reason
	retryAfter time.Duration
	// end is when it was expected to end, open the lanes that could be tried.
	end  time.Duration
	open int
}

// seat is one lane in a round of scheduling.
type seat struct {
	*lane

	// factor is the time of a request here over its class's mean.
	factor float64
	// taken counts the requests that the lane has or gets in this round.
	taken int
	// room is how many requests it may work on at once.
	room int
}

// round is one pass over a pool's queue.
type round struct {
	*pool

	now   time.Time
	seats []seat
	// free counts the slots that nobody has taken.
	free int
}

func (p *pool) round(now time.Time) *round {
	r := &round{pool: p, now: now, seats: make([]seat, 0, len(p.order))}
	for _, l := range p.order {
		if l.open(now) && (!p.alone(now) || p.cutoffs.open(now, l.Zone)) {
			at := seat{lane: l, factor: l.factor(now), taken: l.busy(now), room: p.share(now, l.slots())}
			r.seats = append(r.seats, at)
			r.free += max(at.room-at.taken, 0)
		}
	}
	return r
}

// best returns the seat at which a request is best served, with the time until
// it would end there, or nil where no lane may take it.
func (r *round) best(w *waiter) (*seat, time.Duration) {
	var (
		best        *seat
		lowest, end time.Duration
	)
	// Where all slots are taken, whichever is free first counts.
	connected := len(r.seats) > 1 && r.idle()
	if connected {
		r.marks++
		r.visits.mark(r.now, w.key.host, r.marks)
	}
	for i := range r.seats {
		at := &r.seats[i]
		if len(w.Tried) > 0 && len(r.seats) > 1 && slices.Contains(w.Tried, at.Target) {
			continue
		}
		service := time.Duration(float64(w.mean) * at.factor)
		total := service
		if at.taken >= at.room {
			total += service * time.Duration(at.taken-at.room+1) / time.Duration(at.room)
		}
		score := total
		if at.Zone != w.zone {
			score += time.Duration(otherZone * float64(w.mean))
		}
		if connected && at.mark != r.marks {
			score += time.Duration(newConnection * float64(w.mean))
		}
		if best == nil || score < lowest {
			best, lowest, end = at, score, total
		}
	}
	return best, end
}

// schedule goes through the queue in its order. It returns who starts where,
// and who is dismissed; both leave the queue.
func (p *pool) schedule(now time.Time) (starts []start, out []dismissal) {
	if len(p.waiting) == 0 {
		return nil, nil
	}
	for _, w := range p.waiting {
		w.mean = p.mean(w.Class)
		if w.Cold {
			w.mean *= coldKey
		}
		w.late = now.Add(w.mean).After(w.aimAt)
	}
	slices.SortStableFunc(p.waiting, compare)
	r := p.round(now)
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		at, cost := r.best(w)
		switch {
		case at == nil:
			out = append(out, dismissal{w, ReasonNone, retryNone, 0, len(r.seats)})
		case w.Cold && r.keepsFree(at), r.hopeless(w, cost):
			out = append(out, dismissal{w, ReasonFull, r.retryAfter(w, cost), cost, len(r.seats)})
		case at.taken < at.room+ahead:
			r.take(at)
			starts = append(starts, start{w, at.lane})
		default:
			r.take(at)
			kept = append(kept, w)
		}
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return starts, out
}

// hopeless reports whether a request that would end after cost is not worth
// waiting for. One that would be late takes a slot only where no request on
// time wants it, and is refused at once where they want nearly all.
func (r *round) hopeless(w *waiter, cost time.Duration) bool {
	if !w.late && cost <= time.Duration(aimMargin*float64(w.aimAt.Sub(r.now))) {
		return false
	}
	left := w.deadline.Sub(r.now)
	if r.idle() {
		return cost > left
	}
	if r.pressure > pressureFull {
		return true
	}
	wait := float64(cost-w.mean)/(1-r.pressure) + float64(w.mean)
	return wait > lateMargin*float64(left)
}

// keepsFree reports whether the last free slot of a target is kept for requests
// of warm keys, which take a fraction of the time.
func (r *round) keepsFree(at *seat) bool {
	return r.now.Sub(r.askedWarm) < warmFor && at.taken >= max(at.room-1, 1)
}

// take gives a request a place at a target.
func (r *round) take(at *seat) {
	if at.taken < at.room {
		r.free--
	}
	at.taken++
}

// idle reports whether a slot is free for which nobody waits.
func (r *round) idle() bool { return r.free > 0 }

// press notes that a slot became free, and whether requests on time wait for
// it.
func (p *pool) press() {
	wanted := 0.0
	for _, w := range p.waiting {
		if !w.late {
			wanted = 1
			break
		}
	}
	p.pressure += pressureWeight * (wanted - p.pressure)
}

// sharedFor is how long a pool counts as shared after an ask of a host that
// chose this home.
const sharedFor = time.Second

// share returns how many of a target's slots this home may count on. One that
// is home for want of another does not know who else uses them.
func (p *pool) share(now time.Time, slots int) int {
	if p.alone(now) {
		return 1
	}
	return slots
}

// alone reports whether this host is the pool's home only for want of another.
func (p *pool) alone(now time.Time) bool {
	return p.aloneAt.After(p.sharedAt) && now.Sub(p.sharedAt) > sharedFor
}

// retryAfter returns when a client should come back whose request would have
// ended after cost.
func (r *round) retryAfter(w *waiter, cost time.Duration) time.Duration {
	wait := max(time.Duration(retryShare*float64(cost-w.mean)), retryLeast)
	if r.pressure > pressureFull {
		wait = max(wait, time.Duration(retryPressed*float64(w.deadline.Sub(r.now))))
	}
	return wait
}

// occupy notes that a waiter uses a slot.
func (p *pool) occupy(now time.Time, s start) *ticket {
	t := &ticket{
		key:       s.waiter.key,
		pool:      p,
		class:     s.waiter.Class,
		lane:      s.lane,
		started:   now,
		mean:      s.waiter.mean,
		cold:      s.waiter.Cold,
		queued:    s.lane.busy(now) >= s.lane.slots(),
		confirmed: now,
	}
	s.lane.running[t.key] = t
	if len(p.order) > 1 {
		p.visits.enter(now, t.key.host, s.lane)
	}
	p.cutoffs.try(now, s.lane.Zone)
	return t
}

// vacate frees a slot and draws the conclusions from how its use ended.
func (p *pool) vacate(now time.Time, t *ticket, end End, took time.Duration) {
	l := t.lane
	delete(l.running, t.key)
	p.visits.leave(now, t.key.host, l)
	p.press()
	l.promote(now)
	if t.promoted {
		took = now.Sub(t.started)
	}
	ratio := 1.0
	if mean := p.mean(t.class); mean > 0 && took > 0 {
		ratio = float64(took) / float64(mean)
	}
	switch end {
	case EndUnreachable, EndUnused, EndTimeout, EndCut:
	case EndServed, EndFailed, EndBusy, EndForeign:
		p.cutoffs.reach(l.Zone)
	}
	switch end {
	case EndServed:
		l.downs, l.served = 0, now
		if t.queued || t.cold {
			break // the time includes a wait at the target, or says little of it
		}
		p.class(t.class).add(took)
		l.judge(now, ratio, false)
	case EndFailed, EndCut:
		l.downs = 0
		slow, _ := l.opinion(now)
		l.judge(now, slow, true)
	case EndTimeout:
		l.judge(now, max(ratio, 1), true)
	case EndBusy:
		l.downs = 0
		slow, _ := l.opinion(now)
		l.judge(now, slow, true)
	case EndUnreachable:
		l.fail(now)
		if p.alone(now) {
			p.cutoffs.fail(now, l.Zone, l.Target)
		}
	case EndForeign, EndUnused:
	}
}
