package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// defaultMean is the time of a request of which nothing is known yet.
	defaultMean = 100 * time.Millisecond
	// meanWeight is the weight of the newest time in a class's decayed mean:
	// about the last fifty requests count. Until there were as many, all count
	// alike, and what was known before counts as priorWeight requests: a home
	// starts from the times of other targets.
	meanWeight  = 0.02
	priorWeight = 4
	// slowdownWeight is the same for the slowness of one target: with three slots
	// and 100 ms a request, it follows within about a quarter of a second.
	slowdownWeight = 0.15
	// failureWeight is the same for the share of failures.
	failureWeight = 0.15
	// statsHalfTime is the time in which a bad opinion of an unused target
	// halves, so that it is tried again.
	statsHalfTime = 2 * time.Second
	// stallFactor is how many times its expected time a request may run
	// before its target counts as that slow.
	stallFactor = 2.5
	// minBackoff and downMost bound the pause after a target took no
	// connection; it doubles each time.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// maxDoublings keeps the doubling from overflowing.
	maxDoublings = 6
	// maxQueuedAtTarget is how many requests may wait at a target itself: one covers the
	// time in which its answer and the next request are on their way.
	maxQueuedAtTarget = 1
	// defaultSlots is used where the platform does not say.
	defaultSlots = 1
	// crossZoneCost is what a target in another zone than the asking host costs on
	// top, as a share of the request's mean time: bytes between zones are
	// billed, and half a mean time is waited for often.
	crossZoneCost = 0.5
)

// serviceTime is the time that requests of one class take at an average target.
type serviceTime struct {
	mean time.Duration
	// ownMean is the mean without what was known before.
	ownMean time.Duration
	// samples counts the requests, prior those that what was known before them
	// stands for.
	samples, priorSamples int
}

func (c *serviceTime) add(took time.Duration) {
	c.samples++
	weight := max(meanWeight, 1/float64(c.priorSamples+c.samples))
	c.mean += time.Duration(weight * float64(took-c.mean))
	c.ownMean += time.Duration(max(meanWeight, 1/float64(c.samples)) * float64(took-c.ownMean))
}

// targetState is one target as the home of its pool sees it.
type targetState struct {
	place.TargetRow

	running map[ticketKey]*ticket
	// slowdown is the time of requests here over their class's mean.
	slowdown float64
	// failureRate is the decayed share of tries that failed.
	failureRate float64
	// updatedAt is when slow and failing were last updated.
	updatedAt time.Time
	// warmUpUntil is when the target's start-up slowness ends.
	warmUpUntil time.Time
	// downUntil is when a target that took no connection is tried again.
	downUntil       time.Time
	connectFailures int
	// servedAt is when a request here last ended well.
	servedAt time.Time
	// usable is false for targets that get no new work.
	usable bool
	// leaving tells that this life of the target has said that it leaves.
	leaving bool
	// connMark is that of the last asker that probably has a connection here.
	connMark uint64
}

func newTargetState(row place.TargetRow, now time.Time) *targetState {
	l := &targetState{TargetRow: row, running: make(map[ticketKey]*ticket), slowdown: 1, updatedAt: now}
	l.update(row, now)
	return l
}

// update takes over what the platform says of the target.
func (l *targetState) update(row place.TargetRow, now time.Time) {
	if row.Incarnation != l.Incarnation || row.Addr != l.Addr {
		l.slowdown, l.failureRate, l.connectFailures, l.downUntil, l.leaving = 1, 0, 0, time.Time{}, false
	}
	if row.WarmupLeft > 0 {
		l.warmUpUntil = now.Add(row.WarmupLeft)
	}
	l.TargetRow = row
	l.usable = row.State == place.Live
}

func (l *targetState) slots() int { return max(l.Slots, defaultSlots) }

// decayed returns the slowness and the share of failures, faded since they
// were last confirmed.
func (l *targetState) decayed(now time.Time) (slow, failing float64) {
	fade := 1 / (1 + now.Sub(l.updatedAt).Seconds()/statsHalfTime.Seconds())
	slow = l.slowdown
	if slow > 1 {
		slow = 1 + (slow-1)*fade
	}
	return slow, l.failureRate * fade
}

// observe updates the opinion of a target by one try.
func (l *targetState) observe(now time.Time, ratio float64, failed bool) {
	slow, failing := l.decayed(now)
	l.slowdown = slow + slowdownWeight*(ratio-slow)
	share := 0.0
	if failed {
		share = 1
	}
	l.failureRate = failing + failureWeight*(share-failing)
	l.updatedAt = now
}

// connectFailed notes that the target took no connection.
func (l *targetState) connectFailed(now time.Time) {
	l.downUntil = now.Add(min(minBackoff<<min(l.connectFailures, maxDoublings), maxBackoff))
	l.connectFailures++
}

// timeFactor returns the time that a request probably takes here over the mean of
// its class.
func (l *targetState) timeFactor(now time.Time) float64 {
	slow, failing := l.decayed(now)
	for _, t := range l.running {
		if t.mean <= 0 || now.Sub(t.confirmedAt) > 2*ReportInterval || l.servedAt.After(t.started) {
			continue
		}
		// A request that runs far too long tells before it ends, if its host
		// still says that it runs, and nothing else has ended since.
		if stalled := float64(now.Sub(t.started)) / float64(t.mean); stalled > stallFactor*max(slow, 1) {
			slow = max(slow, stalled)
		}
	}
	if now.Before(l.warmUpUntil) {
		slow *= warmUpFactor
	}
	const mostFailing = 0.9
	return slow / (1 - min(failing, mostFailing))
}

// stragglerFactor is how many times its expected time a request may run, while
// others that started later have ended, before it counts as over: its answer is
// lost, and its slot is in use no more.
const stragglerFactor = 5

// busy returns how many requests have a slot of the target or wait there.
func (l *targetState) busy(now time.Time) int {
	n := len(l.running)
	for _, t := range l.running {
		if t.mean > 0 && l.servedAt.After(t.started) && now.Sub(t.started) > time.Duration(stragglerFactor*max(l.slowdown, 1)*float64(t.mean)) {
			n--
		}
	}
	return n
}

// warmUpFactor is how much slower a target is while it starts, before its own
// times show it.
const warmUpFactor = 1.5

// available reports whether the target may be tried now.
func (l *targetState) available(now time.Time) bool {
	if !l.usable || now.Before(l.downUntil) {
		return false
	}
	// After a pause one request at a time finds out.
	return l.connectFailures == 0 || len(l.running) == 0
}

// promote notes that a slot became free for the request that has waited at the
// target longest.
func (l *targetState) promote(now time.Time) {
	var next *ticket
	for _, t := range l.running {
		if t.queued && (next == nil || t.started.Before(next.started)) {
			next = t
		}
	}
	if next != nil {
		next.queued, next.promoted, next.started = false, true, now
	}
}

// ticketKey tells the tickets of all hosts apart.
type ticketKey struct {
	host        place.Host
	incarnation place.Incarnation
	id          TicketID
}

// ticket is a slot in use.
type ticket struct {
	key     ticketKey
	pool    *pool
	class   traffic.RouteName
	target  *targetState
	started time.Time
	// mean is the mean time of its class when it started.
	mean time.Duration
	// queued tells that the target had no free slot when it was sent there,
	// so that its time says little about the target.
	queued bool
	// promoted tells that it was queued there and has a slot now, as far as
	// the home can tell.
	promoted bool
	// cold tells that its key was, so that its time says little about the
	// target.
	cold bool
	// confirmedAt is when its host last said that it is in use.
	confirmedAt time.Time
}
