package dispatch

import (
	"cmp"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// softDeadlineMargin is the share of the time to its soft deadline within which a
	// request must be expected to end to count as on time: service times vary by
	// about half.
	softDeadlineMargin = 0.8
	// deadlineMargin is the same share of the time to the deadline, for a request
	// that will miss its soft deadline.
	deadlineMargin = 0.6
	// pressureWeight is the weight of the newest sample in the pool's pressure.
	pressureWeight = 0.1
	// maxPressure is the pressure above which late requests are refused, so that the
	// slots go to requests that can still be on time.
	maxPressure = 0.7
	// retryShare is the retry delay of a refused client as a share of the expected
	// wait. It is below 1 because the queue shrinks meanwhile.
	retryShare = 0.75
	// minRetryAfter is the shortest retry delay of a refused client.
	minRetryAfter = 50 * time.Millisecond
	// overloadRetryShare is the shortest retry delay under overload, as a share of
	// the time to the deadline: an earlier retry would be refused again.
	overloadRetryShare = 0.3
	// coldKeyFactor is how many times as long a request for a cold key is expected to
	// take. It takes 3 to 6 times as long. With this factor, such requests nearly
	// always count as late, so that they only get slots that no other request wants.
	coldKeyFactor = 4
	// warmWindow is how long after a request for a warm key more are expected. A
	// target with a few requests per second gets one within it.
	warmWindow = time.Second
	// urgentWindow is how long after a request more requests of its priority are
	// expected at a target with a rate limit, or the time between two tokens, if
	// that is longer.
	urgentWindow = time.Second
	// noTargetRetryAfter is the retry delay while no target is available.
	noTargetRetryAfter = 400 * time.Millisecond
)

// waiter is an Acquire in a pool's queue.
type waiter struct {
	Acquire
	returnState

	key  ticketKey
	zone place.Zone
	// mean is the expected service time. late is set if the request would miss its
	// soft deadline if it started now. Both are updated in each round.
	mean time.Duration
	late bool
	// deadline is when the response must be there, softDeadline when it should be.
	deadline     time.Time
	softDeadline time.Time
	arrivedAt    time.Time
}

// pool is the queue and the targets of one pool at its home.
type pool struct {
	id       PoolID
	targets  map[place.Target]*targetState
	sorted   []*targetState // by name, so that ties go to the same target every time
	classes  map[traffic.RouteName]*serviceTime
	observed map[traffic.RouteName]*serviceTime
	waiting  []*waiter
	usedAt   time.Time
	// isolatedAt is when the last Acquire from an isolated host came, sharedAt when
	// the last one from any other host came.
	isolatedAt, sharedAt time.Time
	// warmAskedAt is when the last Acquire for a warm key came.
	warmAskedAt time.Time
	// pressure is the moving average of how often a request that can be on time was
	// waiting when a slot became free, from 0 to 1.
	pressure float64
	// progress is that of requests at targets that report their load.
	progress progress
	breakers *breakers
	limits   *limiters
	catalog  Catalog
	// requestedAt is when the last Acquire of each priority came.
	requestedAt map[traffic.Priority]time.Time
	affinity    affinity
	watches     watches
	// admission is nil without admission control.
	admission *admissionControl
	// marks is the last mark used for connMark.
	marks uint64
}

func newPool(id PoolID, priors map[traffic.RouteName]*serviceTime, zoneBreakers *breakers, limits *limiters) *pool {
	return &pool{
		id:          id,
		observed:    priors,
		breakers:    zoneBreakers,
		limits:      limits,
		targets:     make(map[place.Target]*targetState),
		classes:     make(map[traffic.RouteName]*serviceTime),
		requestedAt: make(map[traffic.Priority]time.Time),
		affinity:    make(affinity),
	}
}

// setTargets replaces the targets of the pool. A target that is no longer listed is
// kept until its tickets are released.
func (p *pool) setTargets(now time.Time, rows []place.TargetRow) {
	listed := make(map[place.Target]bool, len(rows))
	for _, row := range rows {
		listed[row.Target] = true
		if s, ok := p.targets[row.Target]; ok {
			s.update(row, now)
			s.usable = s.usable && (!s.leaving || p.id.Target != "")
			continue
		}
		p.targets[row.Target] = newTargetState(row, now)
	}
	for name, s := range p.targets {
		if listed[name] {
			continue
		}
		s.usable = false
		if len(s.running) == 0 {
			delete(p.targets, name)
		}
	}
	p.sorted = p.sorted[:0]
	for _, s := range p.targets {
		p.sorted = append(p.sorted, s)
	}
	slices.SortFunc(p.sorted, func(a, b *targetState) int { return cmp.Compare(a.Target, b.Target) })
}

func (p *pool) class(name traffic.RouteName) *serviceTime {
	s := p.classes[name]
	if s == nil {
		s = &serviceTime{}
		if prior := p.observed[name]; prior != nil {
			s.mean, s.priorSamples = prior.mean, priorWeight
		}
		p.classes[name] = s
	}
	return s
}

// mean returns the mean service time of a class, or of all classes if the class has
// no samples yet.
func (p *pool) mean(name traffic.RouteName) time.Duration {
	sources := []map[traffic.RouteName]*serviceTime{p.classes, p.observed}
	for _, classes := range sources {
		if s := classes[name]; s != nil && s.mean > 0 {
			return s.mean
		}
	}
	for _, classes := range sources {
		if mean, ok := overallMean(classes); ok {
			return mean
		}
	}
	return defaultMean
}

// overallMean returns the mean service time of all samples, and false if there are
// none. Classes are weighted by their samples: otherwise many routes with a few
// short requests would outweigh the one with most of the load.
func overallMean(times map[traffic.RouteName]*serviceTime) (time.Duration, bool) {
	var sum, count float64
	for _, s := range times {
		sum += float64(s.mean) * float64(s.samples)
		count += float64(s.samples)
	}
	if count == 0 {
		return 0, false
	}
	return time.Duration(sum / count), true
}

// dominantMean returns the mean service time of the class that makes up most of the
// work, and the number of its samples in the moving average. A target that has just
// started may have had more requests of short classes than of the dominant one.
func dominantMean(times map[traffic.RouteName]*serviceTime) (mean time.Duration, count float64) {
	var maxWork float64
	for _, s := range times {
		if work := float64(s.samples) * float64(s.ownMean); work > maxWork {
			maxWork, mean, count = work, s.ownMean, min(float64(s.samples), 1/meanWeight)
		}
	}
	return mean, count
}

// shortenTolerance is the difference between the deadlines of an Acquire and of its resend
// that their transit explains.
const shortenTolerance = 50 * time.Millisecond

// shorten moves the deadlines of a waiter to the earlier ones of a resend, and reports whether
// it did: the asking host stops.
func (p *pool) shorten(now time.Time, key ticketKey, a Acquire) bool {
	i := slices.IndexFunc(p.waiting, func(w *waiter) bool { return w.key == key })
	deadline, softDeadline := now.Add(a.Timeout), now.Add(a.SoftTimeout)
	if i < 0 || p.waiting[i].deadline.Sub(deadline) <= shortenTolerance {
		return false
	}
	p.waiting[i].deadline = deadline
	if softDeadline.Before(p.waiting[i].softDeadline) {
		p.waiting[i].softDeadline = softDeadline
	}
	return true
}

// compareWaiters orders the queue by priority, then earliest deadline first: requests
// that can be on time by their soft deadline, and after them late ones by their
// deadline. Clients that returned before the end of their retry delay come last.
func compareWaiters(a, b *waiter) int {
	if a.early != b.early {
		if a.early {
			return 1
		}
		return -1
	}
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

// updatePressure records, when a slot becomes free, whether a request that can be on
// time waits for it.
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

// sharedWindow is how long after an Acquire from a host that is not isolated this
// home counts as the only one of its pool.
const sharedWindow = time.Second

// usableSlots returns how many of a target's slots this home may assign. An isolated
// one assigns a single slot, since it does not know which slots other homes assign.
func (p *pool) usableSlots(now time.Time, slots int) int {
	if p.isolated(now) {
		return 1
	}
	return slots
}

// isolated reports whether this host is the pool's home only because it reaches no
// other.
func (p *pool) isolated(now time.Time) bool {
	return p.isolatedAt.After(p.sharedAt) && now.Sub(p.sharedAt) > sharedWindow
}

// acquire creates the ticket of a waiter that got a slot.
func (p *pool) acquire(now time.Time, a assignment) *ticket {
	t := &ticket{
		key:         a.waiter.key,
		pool:        p,
		class:       a.waiter.Class,
		target:      a.target,
		started:     now,
		assignedAt:  now,
		incarnation: a.target.Incarnation,
		mean:        a.waiter.mean,
		cold:        a.waiter.Cold,
		fingerprint: a.waiter.Fingerprint,
		watch:       a.waiter.Watch,
		queued:      a.target.busy(now) >= a.target.slots(),
		probe:       a.target.probeDue(now) && time.Duration(a.target.slowdown*float64(a.waiter.mean)) > a.waiter.deadline.Sub(now),
		confirmedAt: now,
	}
	a.target.running[t.key] = t
	if l := p.limits.of(now, a.target.TargetRow); l != nil {
		l.take()
	}
	p.limits.sent(now, a.target.Target)
	if len(p.sorted) > 1 {
		p.affinity.begin(now, t.key.host, a.target)
	}
	p.breakers.attempted(now, a.target.Zone)
	return t
}

// release frees a ticket's slot and updates the statistics by the attempt's result.
func (p *pool) release(now time.Time, t *ticket, result Result, took time.Duration) {
	s := t.target
	delete(s.running, t.key)
	p.watches.released(now, t, result)
	p.affinity.finish(now, t.key.host, s)
	p.updatePressure()
	s.promote(now)
	if t.promoted {
		took = now.Sub(t.started)
	}
	s.reported.released(now)
	took = p.steadyTime(now, s, took)
	ratio := 1.0
	if mean := p.mean(t.class); mean > 0 && took > 0 {
		ratio = float64(took) / float64(mean)
	}
	switch result {
	case ResultUnreachable, ResultUnused, ResultTimeout, ResultCut:
	case ResultMisdirected:
		p.breakers.reset(s.Zone)
	case ResultServed, ResultFailed, ResultBusy:
		p.breakers.reset(s.Zone)
		if c := p.limits.cold[s.Target]; c != nil && s.connectFailures > 0 {
			c.returned(now)
		}
		s.responded(now, t.key.host)
	}
	switch result {
	case ResultServed:
		s.servedAt = now
		if t.queued || t.cold {
			break // no sample of the service time
		}
		p.class(t.class).add(took)
		s.observe(now, ratio, false)
		if t.probe {
			s.replaceSlowdown(ratio)
		}
	case ResultFailed, ResultBusy, ResultCut:
		slow, _ := s.decayed(now)
		s.observe(now, slow, true)
	case ResultTimeout:
		s.observe(now, max(ratio, 1), true)
	case ResultUnreachable:
		p.connectFailed(now, t)
	case ResultMisdirected, ResultUnused:
	}
}

// connectFailed records that a host could not connect to the target of its ticket. An
// isolated host has no other host's evidence.
func (p *pool) connectFailed(now time.Time, t *ticket) {
	s, isolated := t.target, p.isolated(now)
	hosts := s.paths.connectFailed(now, t.assignedAt, t.key.host)
	if isolated || hosts >= minDownHosts {
		s.connectFailed(now, t.assignedAt, hosts)
	}
	if isolated {
		p.breakers.connectFailed(now, s.Zone, s.Target)
	}
}
