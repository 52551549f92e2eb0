package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// firstMean is the time of a request of which nothing is known yet.
	firstMean = 100 * time.Millisecond
	// meanWeight is the weight of the newest time in a class's decayed mean:
	// about the last fifty requests count. Until there were as many, all count
	// alike, and what was known before counts as priorWeight requests: a home
	// starts from the times of other targets.
	meanWeight  = 0.02
	priorWeight = 4
	// slowWeight is the same for the slowness of one target: with three slots
	// and 100 ms a request, it follows within about a quarter of a second.
	slowWeight = 0.15
	// failWeight is the same for the share of failures.
	failWeight = 0.15
	// forgetAfter is the time in which a bad opinion of an unused target
	// halves, so that it is tried again.
	forgetAfter = 2 * time.Second
	// stallFactor is how many times its expected time a request may run
	// before its target counts as that slow.
	stallFactor = 2.5
	// downFirst and downMost bound the pause after a target took no
	// connection; it doubles each time.
	downFirst = 100 * time.Millisecond
	downMost  = 1600 * time.Millisecond
	// maxDoublings keeps the doubling from overflowing.
	maxDoublings = 6
	// ahead is how many requests may wait at a target itself: one covers the
	// time in which its answer and the next request are on their way.
	ahead = 1
	// defaultSlots is used where the platform does not say.
	defaultSlots = 1
	// otherZone is what a target in another zone than the asking host costs on
	// top, as a share of the request's mean time: bytes between zones are
	// billed, and half a mean time is waited for often.
	otherZone = 0.5
)

// classTime is the time that requests of one class take at an average target.
type classTime struct {
	mean time.Duration
	// own is the mean without what was known before.
	own time.Duration
	// seen counts the requests, prior those that what was known before them
	// stands for.
	seen, prior int
}

func (c *classTime) add(took time.Duration) {
	c.seen++
	weight := max(meanWeight, 1/float64(c.prior+c.seen))
	c.mean += time.Duration(weight * float64(took-c.mean))
	c.own += time.Duration(max(meanWeight, 1/float64(c.seen)) * float64(took-c.own))
}

// lane is one target as the home of its pool sees it.
type lane struct {
	place.TargetRow

	running map[ticketKey]*ticket
	// slow is the time of requests here over their class's mean.
	slow float64
	// failing is the decayed share of tries that failed.
	failing float64
	// judged is when slow and failing were last updated.
	judged time.Time
	// warmAt is when the target's start-up slowness ends.
	warmAt time.Time
	// downUntil is when a target that took no connection is tried again.
	downUntil time.Time
	downs     int
	// served is when a request here last ended well.
	served time.Time
	// usable is false for targets that get no new work.
	usable bool
	// leaving tells that this life of the target has said that it leaves.
	leaving bool
	// mark is that of the last asker that probably has a connection here.
	mark uint64
}

func newLane(row place.TargetRow, now time.Time) *lane {
	l := &lane{TargetRow: row, running: make(map[ticketKey]*ticket), slow: 1, judged: now}
	l.describe(row, now)
	return l
}

// describe takes over what the platform says of the target.
func (l *lane) describe(row place.TargetRow, now time.Time) {
	if row.Incarnation != l.Incarnation || row.Addr != l.Addr {
		l.slow, l.failing, l.downs, l.downUntil, l.leaving = 1, 0, 0, time.Time{}, false
	}
	if row.WarmupLeft > 0 {
		l.warmAt = now.Add(row.WarmupLeft)
	}
	l.TargetRow = row
	l.usable = row.State == place.Live
}

func (l *lane) slots() int { return max(l.Slots, defaultSlots) }

// opinion returns the slowness and the share of failures, faded since they
// were last confirmed.
func (l *lane) opinion(now time.Time) (slow, failing float64) {
	fade := 1 / (1 + now.Sub(l.judged).Seconds()/forgetAfter.Seconds())
	slow = l.slow
	if slow > 1 {
		slow = 1 + (slow-1)*fade
	}
	return slow, l.failing * fade
}

// judge updates the opinion of a target by one try.
func (l *lane) judge(now time.Time, ratio float64, failed bool) {
	slow, failing := l.opinion(now)
	l.slow = slow + slowWeight*(ratio-slow)
	share := 0.0
	if failed {
		share = 1
	}
	l.failing = failing + failWeight*(share-failing)
	l.judged = now
}

// fail notes that the target took no connection.
func (l *lane) fail(now time.Time) {
	l.downUntil = now.Add(min(downFirst<<min(l.downs, maxDoublings), downMost))
	l.downs++
}

// factor returns the time that a request probably takes here over the mean of
// its class.
func (l *lane) factor(now time.Time) float64 {
	slow, failing := l.opinion(now)
	for _, t := range l.running {
		if t.mean <= 0 || now.Sub(t.confirmed) > 2*ReportInterval || l.served.After(t.started) {
			continue
		}
		// A request that runs far too long tells before it ends, if its host
		// still says that it runs, and nothing else has ended since.
		if stalled := float64(now.Sub(t.started)) / float64(t.mean); stalled > stallFactor*max(slow, 1) {
			slow = max(slow, stalled)
		}
	}
	if now.Before(l.warmAt) {
		slow *= coldFactor
	}
	const mostFailing = 0.9
	return slow / (1 - min(failing, mostFailing))
}

// straggleFactor is how many times its expected time a request may run, while
// others that started later have ended, before it counts as over: its answer is
// lost, and its slot is in use no more.
const straggleFactor = 5

// busy returns how many requests have a slot of the target or wait there.
func (l *lane) busy(now time.Time) int {
	n := len(l.running)
	for _, t := range l.running {
		if t.mean > 0 && l.served.After(t.started) && now.Sub(t.started) > time.Duration(straggleFactor*max(l.slow, 1)*float64(t.mean)) {
			n--
		}
	}
	return n
}

// coldFactor is how much slower a target is while it starts, before its own
// times show it.
const coldFactor = 1.5

// open reports whether the target may be tried now.
func (l *lane) open(now time.Time) bool {
	if !l.usable || now.Before(l.downUntil) {
		return false
	}
	// After a pause one request at a time finds out.
	return l.downs == 0 || len(l.running) == 0
}

// promote notes that a slot became free for the request that has waited at the
// target longest.
func (l *lane) promote(now time.Time) {
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
	host place.Host
	life place.Incarnation
	id   TicketID
}

// ticket is a slot in use.
type ticket struct {
	key     ticketKey
	pool    *pool
	class   traffic.RouteName
	lane    *lane
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
	// confirmed is when its host last said that it is in use.
	confirmed time.Time
}
