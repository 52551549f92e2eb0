package dispatch

import (
	"cmp"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/quarantine"
	"citrontray.example/citrontray/internal/traffic"
)

const (
	// defaultMean is the assumed service time while none has been observed.
	defaultMean = 100 * time.Millisecond
	// meanWeight is the weight of the newest sample in a class's moving average:
	// about the last fifty requests count. Until there are as many, all samples
	// weigh the same, and the prior, which comes from other targets, counts as
	// priorWeight samples.
	meanWeight  = 0.02
	priorWeight = 4
	// slowdownWeight is the weight of the newest sample in a target's slowdown. With
	// three slots and 100 ms per request, the average follows a change within about
	// a quarter of a second.
	slowdownWeight = 0.15
	// failureWeight is the weight of the newest sample in a target's failure rate.
	failureWeight = 0.15
	// statsHalfTime is the time in which the excess slowdown and the failure rate of
	// an unused target fall to half, so that it gets requests again.
	statsHalfTime = 2 * time.Second
	// stallFactor is how many times its expected time a request may run before its
	// own running time counts as the target's slowdown.
	stallFactor = 2.5
	// minBackoff and maxBackoff bound the exponential backoff after a failure to
	// connect to a target.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 1600 * time.Millisecond
	// maxDoublings keeps the backoff from overflowing.
	maxDoublings = 6
	// maxQueuedAtTarget is how many requests may wait at a target itself. One keeps
	// its slots busy while a response and the next request are in transit.
	maxQueuedAtTarget = 1
	// defaultSlots is used if the platform lists no number of slots.
	defaultSlots = 1
	// crossZoneCost is added to the score of a target in another zone than the
	// requesting host, as a share of the request's mean time. Traffic between zones
	// is billed, and a wait of half a mean time is common anyway.
	crossZoneCost = 0.5
)

// serviceTime is the moving average of the time that requests of one class take: in a
// pool, over all its targets.
type serviceTime struct {
	mean time.Duration
	// ownMean is the mean without the prior.
	ownMean time.Duration
	// samples counts the observed requests, priorSamples those that the prior
	// stands for.
	samples, priorSamples int
}

func (s *serviceTime) add(took time.Duration) {
	s.samples++
	weight := max(meanWeight, 1/float64(s.priorSamples+s.samples))
	s.mean += time.Duration(weight * float64(took-s.mean))
	s.ownMean += time.Duration(max(meanWeight, 1/float64(s.samples)) * float64(took-s.ownMean))
}

// targetState is the state of one target at the home of its pool.
type targetState struct {
	place.TargetRow

	running map[ticketKey]*ticket
	// slowdown is the moving average of a request's time over its class's mean.
	slowdown float64
	// failureRate is the moving average of the share of attempts that failed.
	failureRate float64
	// updatedAt is when slowdown and failureRate were last updated.
	updatedAt time.Time
	// warmUpUntil is the end of the target's warm-up after its start.
	warmUpUntil time.Time
	// downUntil is the end of the backoff after hosts failed to connect, downAt its start, and
	// backoffs counts those in a row. connectFailures is the number of failures behind them.
	downUntil       time.Time
	downAt          time.Time
	backoffs        int
	connectFailures int
	paths           targetPaths
	reported        reportedLoad
	// servedAt is when a request last ended with ResultServed.
	servedAt time.Time
	// usable is false for targets that get no new requests.
	usable bool
	// leaving is set once this incarnation of the target signaled that it is leaving.
	leaving bool
	// connMark is the mark of the last Acquire whose host probably has an idle
	// connection to the target.
	connMark uint64
}

func newTargetState(row place.TargetRow, now time.Time) *targetState {
	s := &targetState{TargetRow: row, running: make(map[ticketKey]*ticket), slowdown: 1, updatedAt: now}
	s.update(row, now)
	return s
}

// update replaces the target's row of the platform's list. Another incarnation or
// address starts with empty statistics.
func (s *targetState) update(row place.TargetRow, now time.Time) {
	if row.Incarnation != s.Incarnation || row.Addr != s.Addr {
		s.slowdown, s.failureRate, s.leaving = 1, 0, false
		s.paths, s.reported = targetPaths{}, reportedLoad{}
		s.clearDown()
	}
	if row.WarmupLeft > 0 {
		s.warmUpUntil = now.Add(row.WarmupLeft)
	}
	s.TargetRow = row
	s.usable = row.State == place.Live
}

func (s *targetState) slots() int { return max(s.Slots, defaultSlots) }

// decayed returns the slowdown and the failure rate, decayed since the last update.
func (s *targetState) decayed(now time.Time) (slow, failRate float64) {
	decay := 1 / (1 + now.Sub(s.updatedAt).Seconds()/statsHalfTime.Seconds())
	slow = s.slowdown
	if slow > 1 {
		slow = 1 + (slow-1)/(1+now.Sub(s.updatedAt).Seconds()/s.reported.slowdownHalfTime().Seconds())
	}
	return slow, s.failureRate * decay
}

// observe updates the target's statistics by one attempt.
func (s *targetState) observe(now time.Time, ratio float64, failed bool) {
	slow, failRate := s.decayed(now)
	s.slowdown = slow + s.reported.slowdownWeight()*(ratio-slow)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureRate = failRate + failureWeight*(sample-failRate)
	s.updatedAt = now
}

// connectFailed records that so many hosts failed to connect that the target itself is
// probably down, and starts the backoff. Attempts that started before a backoff do not extend
// it.
func (s *targetState) connectFailed(now, sentAt time.Time, hosts int) {
	s.connectFailures = max(s.connectFailures, hosts)
	if sentAt.Before(s.downAt) {
		return
	}
	s.downAt, s.downUntil = now, now.Add(min(minBackoff<<min(s.backoffs, maxDoublings), maxBackoff))
	s.backoffs++
	s.connectFailures = max(s.connectFailures, s.backoffs)
}

func (s *targetState) clearDown() {
	s.downAt, s.downUntil, s.backoffs, s.connectFailures = time.Time{}, time.Time{}, 0, 0
}

// responded records that the target responded to a host: it is not down.
func (s *targetState) responded(now time.Time, host place.Host) {
	s.clearDown()
	s.paths.responded(now, host)
}

// timeFactor returns the expected time of a request at the target over the mean of
// its class, retries after failures included.
func (s *targetState) timeFactor(now time.Time) float64 {
	slow, failRate := s.decayed(now)
	minStall := stallFactor * max(slow, 1)
	for _, t := range s.running {
		if t.mean <= 0 || now.Sub(t.confirmedAt) > 2*ReportInterval || s.servedAt.After(t.started) {
			continue
		}
		// A request that runs far too long shows a slowdown before it ends, if its
		// host still reports it and no request has ended since it started.
		if stalled := float64(now.Sub(t.started)) / float64(t.mean); stalled > minStall {
			slow = max(slow, stalled)
		}
	}
	if now.Before(s.warmUpUntil) {
		slow *= warmUpFactor
	}
	const maxFailRate = 0.9
	return slow / (1 - min(failRate, maxFailRate))
}

// stragglerFactor is how many times its expected time a request may run, if another
// has ended since it started, before it no longer counts as using its slot. Its
// response is probably lost.
const stragglerFactor = 5

// busy returns how many requests run or wait at the target, without stragglers.
func (s *targetState) busy(now time.Time) int {
	n := len(s.running)
	for _, t := range s.running {
		if t.mean > 0 && s.servedAt.After(t.started) && now.Sub(t.started) > time.Duration(stragglerFactor*max(s.slowdown, 1)*float64(t.mean)) {
			n--
		}
	}
	return n
}

// probeInterval is the time without a sample after which an idle target gets a request that is
// not expected to end in time.
const probeInterval = time.Second

// probeDue reports whether the statistics of an idle target are so old that a request is sent for
// a new sample. While all requests are refused there is none, and a target that was slow once
// would get no request for long.
func (s *targetState) probeDue(now time.Time) bool {
	return len(s.running) == 0 && now.Sub(s.updatedAt) >= probeInterval
}

// replaceSlowdown replaces the target's slowdown by that of a request that was sent for a new
// sample, if it is lower.
func (s *targetState) replaceSlowdown(ratio float64) { s.slowdown = min(s.slowdown, max(ratio, 1)) }

// warmUpFactor is the assumed slowdown of a target during warm-up, while its own times
// do not show it yet.
const warmUpFactor = 1.5

// available reports whether a request may be sent to the target now.
func (s *targetState) available(now time.Time) bool {
	if !s.usable || now.Before(s.downUntil) {
		return false
	}
	// After the backoff, one request at a time probes the target.
	return s.connectFailures == 0 || len(s.running) == 0
}

// promote moves the request that has waited longest at the target to the slot that
// became free.
func (s *targetState) promote(now time.Time) {
	var next *ticket
	for _, t := range s.running {
		if t.queued && (next == nil || cmp.Or(t.started.Compare(next.started), cmp.Compare(t.key.host, next.key.host), cmp.Compare(t.key.id, next.key.id)) < 0) {
			next = t
		}
	}
	if next != nil {
		next.queued, next.promoted, next.started = false, true, now
	}
}

// ticketKey identifies a ticket among those of all hosts.
type ticketKey struct {
	host        place.Host
	incarnation place.Incarnation
	id          TicketID
}

// ticket is a host's permission to use one slot, as its home tracks it.
type ticket struct {
	key     ticketKey
	pool    *pool
	class   traffic.RouteName
	target  *targetState
	started time.Time
	// assignedAt is when the ticket was issued, incarnation that of the target then.
	assignedAt  time.Time
	incarnation place.Incarnation
	// mean is the expected service time of the request when it started.
	mean time.Duration
	// queued is set if the target had no free slot when the request was sent: its time
	// includes a wait and is no sample of the service time.
	queued bool
	// promoted is set if it was queued at the target and probably has a slot now.
	promoted bool
	// cold is set if the request is for a cold key: its time is no sample of the
	// service time.
	cold bool
	// probe is set if the request was sent for a new sample: it was not expected to end in time.
	probe bool
	// fingerprint and watch are those of the Acquire.
	fingerprint quarantine.Fingerprint
	watch       Watch
	// confirmedAt is when its host last reported it as in use.
	confirmedAt time.Time
}
