package dispatch

import (
	"math"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// floorShare is the least fraction of its requests that is served of each kind, as a
	// share of the fraction served of all.
	floorShare = 0.25
	// floorCredit is the credit from which the next request of a kind goes first, and
	// maxFloorCredit and minFloorCredit limit it, so that neither a long refusal nor a
	// long service counts for more than the last seconds.
	floorCredit    = 0.5
	maxFloorCredit = 2
	minFloorCredit = -1
	// admissionDecay is the decay time of the counts of first attempts and of served
	// requests. A burst of 3 s is recognized within its first third.
	admissionDecay = 2 * time.Second
	// matchTolerance is by how much the deadline of a returning client may differ from
	// that of its first attempt: deadlines are sent as remaining milliseconds and are a
	// transit time late.
	matchTolerance = 20 * time.Millisecond
	// minReturnTime is by how much the remaining time of a returning client is at least
	// shorter than that of its first attempt. Others with the same request that arrive at
	// the same time have about the same deadline, but their full time.
	minReturnTime = 5 * time.Millisecond
	// sustainedOverload is the time under pressure from which requests need sustainedSlack
	// of their service time as slack before their soft deadline. It is longer than bursts,
	// whose queues are served once they end; later, a long queue only makes requests late.
	sustainedOverload = 8 * time.Second
	sustainedSlack    = 1.0
	// minServiceTime is the shortest service time that capacities are calculated with.
	minServiceTime = time.Millisecond
	// maxReturns limits the returns that a pool remembers. Further ones count as first
	// attempts.
	maxReturns = 4096
)

// admissionControl decides at the home of one pool which kinds of requests are below the
// floor, and when refused clients are to return. A nil one decides nothing.
type admissionControl struct {
	kinds map[traffic.RouteName]*kind
	// offered and served are moving counts of decided first attempts and of served
	// requests of all kinds.
	offered, served movingCount
	// returnAt is, by priority, when the last client was told to return for free capacity.
	returnAt map[traffic.Priority]time.Time
	// returns are the refusals whose clients may return, by deadline.
	returns []expectedReturn
	// distant counts the clients that were told to stay away.
	distant int
	// overloadedSince is when the pressure exceeded maxPressure, zero if it does not.
	overloadedSince time.Time
	// counts are those of the service at this home.
	counts *AdmissionCounts
}

// kind holds what was decided on the requests of one route.
type kind struct {
	priority traffic.Priority
	// arrived is a moving count of first attempts.
	arrived movingCount
	// credit is the number of requests that the kind is owed by the floor.
	credit float64
}

// expectedReturn is a refused client that may return.
type expectedReturn struct {
	fingerprint quarantine.Fingerprint
	deadline    time.Time
	// timeout is the remaining time of the refused attempt.
	timeout time.Duration
	// due is the end of the retry delay.
	due time.Time
}

// returnState is what a pool knows of a waiter as a returning client.
type returnState struct {
	// returned is set if the client was refused before, early if it did not wait for the
	// end of its retry delay, due.
	returned, early bool
	due             time.Time
	// first is set if the waiter goes first since its kind is below the floor.
	first bool
}

// AdmissionCounts counts events of admission control.
type AdmissionCounts struct {
	// Floor counts the requests that went first since their kind was below the floor.
	Floor int
	// Kept counts the clients that returned after their retry delay and got a slot, Broken
	// those that were refused again.
	Kept, Broken int
	// Early counts the clients that returned before their retry delay ended.
	Early int
}

// movingCount is a count that decays with admissionDecay.
type movingCount struct {
	n  float64
	at time.Time
}

func (c *movingCount) value(now time.Time) float64 {
	if c.at.IsZero() {
		return 0
	}
	return c.n * math.Exp(-max(now.Sub(c.at), 0).Seconds()/admissionDecay.Seconds())
}

func (c *movingCount) add(now time.Time) { c.n, c.at = c.value(now)+1, now }

// perSecond returns the rate of what is counted.
func (c *movingCount) perSecond(now time.Time) float64 {
	return c.value(now) / admissionDecay.Seconds()
}

// HomeOption is an option of NewHome.
type HomeOption func(h *Home)

// WithAdmission returns an option under which the home is fair among kinds of requests
// and spreads the returns of refused clients.
func WithAdmission() HomeOption {
	return func(h *Home) { h.admissions = make(map[key.Service]*AdmissionCounts) }
}

// newAdmission returns the admission control of a new pool of a service, nil if the home has
// none.
func (h *Home) newAdmission(service key.Service) *admissionControl {
	if h.admissions == nil {
		return nil
	}
	counts := h.admissions[service]
	if counts == nil {
		counts = &AdmissionCounts{}
		h.admissions[service] = counts
	}
	return &admissionControl{kinds: make(map[traffic.RouteName]*kind), returnAt: make(map[traffic.Priority]time.Time), counts: counts}
}

// Admissions returns what admission control did since the last call, by service.
func (h *Home) Admissions() map[key.Service]AdmissionCounts {
	var out map[key.Service]AdmissionCounts
	for service, counts := range h.admissions {
		if *counts == (AdmissionCounts{}) {
			continue
		}
		if out == nil {
			out = make(map[key.Service]AdmissionCounts)
		}
		out[service] = *counts
		*counts = AdmissionCounts{}
	}
	return out
}

func (a *admissionControl) kind(w *waiter) *kind {
	k := a.kinds[w.Class]
	if k == nil {
		k = &kind{}
		a.kinds[w.Class] = k
	}
	k.priority = w.Priority
	return k
}

// arrived records a new waiter and recognizes a returning client by its deadline, which
// stays that of its first attempt.
func (a *admissionControl) arrived(now time.Time, w *waiter) {
	if a == nil {
		return
	}
	a.forget(now)
	if i := a.find(w); i >= 0 {
		w.returned, w.due = true, a.returns[i].due
		w.early = w.due.Sub(now) > matchTolerance
		a.returns = slices.Delete(a.returns, i, i+1)
		if w.early {
			a.counts.Early++
		}
		return
	}
	a.kind(w).arrived.add(now)
}

// forget removes the clients whose deadline has passed.
func (a *admissionControl) forget(now time.Time) {
	expired := 0
	for expired < len(a.returns) && a.returns[expired].deadline.Before(now) {
		expired++
	}
	a.returns = slices.Delete(a.returns, 0, expired)
}

// position returns the index of the first expected return with at least the deadline.
func (a *admissionControl) position(deadline time.Time) int {
	i, _ := slices.BinarySearchFunc(a.returns, deadline, func(r expectedReturn, t time.Time) int { return r.deadline.Compare(t) })
	return i
}

// find returns the index of the expected return with the request and the deadline of a
// waiter, or -1.
func (a *admissionControl) find(w *waiter) int {
	if w.Fingerprint == 0 {
		return -1
	}
	found, closest := -1, matchTolerance
	for i := a.position(w.deadline.Add(-matchTolerance)); i < len(a.returns); i++ {
		r := &a.returns[i]
		if r.deadline.Sub(w.deadline) > matchTolerance {
			break
		}
		if d := r.deadline.Sub(w.deadline).Abs(); r.fingerprint == w.Fingerprint && r.timeout-w.Timeout >= minReturnTime && d <= closest {
			found, closest = i, d
		}
	}
	return found
}

// observePressure records the pressure of the pool.
func (a *admissionControl) observePressure(now time.Time, pressure float64) {
	switch {
	case pressure <= maxPressure:
		a.overloadedSince = time.Time{}
	case a.overloadedSince.IsZero():
		a.overloadedSince = now
	}
}

// promote moves the next waiter that can be on time of each kind below the floor to the
// front of the sorted queue.
func (a *admissionControl) promote(now time.Time, pressure float64, waiting []*waiter) {
	if a == nil {
		return
	}
	a.observePressure(now, pressure)
	var promoted []traffic.RouteName
	for i, w := range waiting {
		w.first = !w.late && !w.early && a.kind(w).credit >= floorCredit && !slices.Contains(promoted, w.Class)
		if w.first {
			copy(waiting[len(promoted)+1:i+1], waiting[len(promoted):i])
			waiting[len(promoted)] = w
			promoted = append(promoted, w.Class)
		}
	}
}

// decided records that a waiter got a slot or was refused.
func (a *admissionControl) decided(now time.Time, w *waiter, served bool) {
	if a == nil {
		return
	}
	k := a.kind(w)
	if !w.returned {
		a.offered.add(now)
		if w.softDeadline.Sub(w.arrivedAt) >= w.mean { // it could have been on time
			k.credit += floorShare * a.fraction(now)
		}
	}
	if served {
		a.served.add(now)
		k.credit--
		if w.first {
			a.counts.Floor++
		}
	}
	k.credit = min(max(k.credit, minFloorCredit), maxFloorCredit)
	switch {
	case !w.returned || w.early:
	case served:
		a.counts.Kept++
	default:
		a.counts.Broken++
	}
}

// fraction returns the fraction of all requests that was served.
func (a *admissionControl) fraction(now time.Time) float64 {
	offered := a.offered.value(now)
	if offered <= 0 {
		return 1
	}
	return min(a.served.value(now)/offered, 1)
}

// demand returns the rate of first attempts that are at least as urgent as a priority.
func (a *admissionControl) demand(now time.Time, priority traffic.Priority) float64 {
	var sum float64
	for _, k := range a.kinds {
		if k.priority <= priority {
			sum += k.arrived.perSecond(now)
		}
	}
	return sum
}

// retryAfter returns the retry delay of a waiter that is refused and that would be
// refused again before earliest. Returns are spread over the capacity, in requests per
// second, that first attempts leave free. A client for which there is none within the
// time that it waits is told to stay away for longer, as a second refusal would cost it
// more.
func (a *admissionControl) retryAfter(now time.Time, w *waiter, earliest time.Duration, capacity float64) time.Duration {
	if w.early {
		return a.expect(w, max(w.due.Sub(now), minRetryAfter), now)
	}
	longest := time.Duration(maxReturnWait * float64(w.deadline.Sub(now)))
	room := max(capacity-a.demand(now, w.Priority), minReturnShare*capacity)
	at := a.returnAt[w.Priority].Add(seconds(1 / room))
	if soonest := now.Add(earliest); at.Before(soonest) {
		at = soonest
	}
	delay := at.Sub(now)
	if delay <= longest {
		a.returnAt[w.Priority] = at
		return a.expect(w, delay, now)
	}
	a.distant++
	delay = max(delay, longest+minRetryAfter)
	return a.expect(w, min(delay+time.Duration(spread(a.distant)*float64(longest)), maxLimitRetryAfter), now)
}

// expect records that the client of a waiter may return after a delay.
func (a *admissionControl) expect(w *waiter, delay time.Duration, now time.Time) time.Duration {
	if w.Fingerprint != 0 && len(a.returns) < maxReturns {
		a.returns = slices.Insert(a.returns, a.position(w.deadline), expectedReturn{w.Fingerprint, w.deadline, w.Timeout, now.Add(delay)})
	}
	return delay
}

// capacityRate returns the number of requests per second that the candidates can serve.
func (r *round) capacityRate(w *waiter) float64 {
	mean, ok := overallMean(r.classes)
	if !ok {
		mean = w.mean
	}
	var sum float64
	for i := range r.candidates {
		c := &r.candidates[i]
		rate := float64(c.capacity) / max(mean.Seconds()*c.timeFactor, minServiceTime.Seconds())
		if c.limiter != nil {
			rate = min(rate, float64(c.rate))
		}
		sum += rate
	}
	return sum
}

// refusesEarly reports whether a client that did not wait for the end of its retry delay
// is refused: unless a slot is free and nobody competes for it.
func (r *round) refusesEarly(w *waiter) bool {
	return w.early && (!r.hasFree() || r.pressure > maxPressure)
}

// softTime returns the time within which a waiter must be expected to end to count as on
// time.
func (r *round) softTime(w *waiter) time.Duration {
	left := w.softDeadline.Sub(r.now)
	allowed := time.Duration(softDeadlineMargin * float64(left))
	a := r.admission
	if a == nil || w.first || a.overloadedSince.IsZero() || r.now.Sub(a.overloadedSince) < sustainedOverload {
		return allowed
	}
	return min(allowed, left-time.Duration(sustainedSlack*float64(w.mean)))
}
