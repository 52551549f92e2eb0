package entry

import (
	"time"

	"golang.org/x/time/rate"

	"citrontray.example/citrontray/internal/settings"
)

// Limits of the retry budget: one retry per ten requests, and a burst. Many failures at
// once must not multiply the load.
const (
	retryBudgetRatio = 0.1
	retryBudgetBurst = 20
)

// retryBudget limits retries. It is not safe for concurrent use.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBudgetBurst} }

// countRequest adds one request to the budget.
func (b *retryBudget) countRequest() { b.tokens = min(b.tokens+retryBudgetRatio, retryBudgetBurst) }

// withdraw withdraws one retry, and returns false if there is none.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// The concurrency limit follows AIMD: each complete response adds additiveIncrease divided
// by the limit to it and, with ShareAdaptive, each refusal for lack of a free slot
// multiplies it by multiplicativeDecrease.
const (
	additiveIncrease       = 0.1
	multiplicativeDecrease = 0.7
)

// concurrencyLimit limits the requests in flight from this entry host to one target. It
// is not safe for concurrent use.
type concurrencyLimit struct {
	slots int
	limit float64
}

func newConcurrencyLimit(slots int) concurrencyLimit {
	return concurrencyLimit{slots: slots, limit: float64(slots)}
}

func (l *concurrencyLimit) increase() {
	l.limit = min(l.limit+additiveIncrease/l.limit, float64(l.slots))
}
func (l *concurrencyLimit) decrease() { l.limit = max(l.limit*multiplicativeDecrease, 1) }

// current returns the limit at a time. While the target warms up, it is bounded by a
// linear ramp from 1 to the number of slots.
func (l *concurrencyLimit) current(now, warmupStart time.Time, warmUp time.Duration) int {
	n := int(l.limit + 0.5)
	age := now.Sub(warmupStart)
	if warmupStart.IsZero() || warmUp <= 0 || age >= warmUp {
		return n
	}
	ramp := 1 + int(float64(l.slots-1)*float64(max(age, 0))/float64(warmUp))
	return min(n, ramp)
}

// The weights of a new sample in the moving averages, and the number of mean deviations
// above the mean within which most requests are served.
const (
	meanWeight      = 0.1
	deviationWeight = 0.1
	upperDeviations = 2
)

// serviceTime estimates how long a target takes for one request, by exponentially
// weighted moving averages of the time and its absolute deviation.
type serviceTime struct{ mean, deviation time.Duration }

func (s *serviceTime) add(took time.Duration) {
	off := took - s.mean
	s.mean += time.Duration(meanWeight * float64(off))
	s.deviation += time.Duration(deviationWeight * float64(off.Abs()-s.deviation))
}

// upper returns a time within which most requests are served.
func (s *serviceTime) upper() time.Duration { return s.mean + upperDeviations*s.deviation }

// backlogInterval estimates the time between two completed requests while others wait.
type backlogInterval struct {
	last time.Time // of the last completed request, zero if none waited then
	mean time.Duration
}

// add records a request completed at now. waiting reports whether others wait.
func (b *backlogInterval) add(now time.Time, waiting bool) {
	if !b.last.IsZero() {
		b.mean += time.Duration(meanWeight * float64(now.Sub(b.last)-b.mean))
	}
	b.last = time.Time{}
	if waiting {
		b.last = now
		return
	}
	b.mean = 0
}

// estimate returns the mean interval, or zero if no request waits.
func (b *backlogInterval) estimate() time.Duration { return b.mean }

// callerLimit is the state of one settings.Limit on this entry host.
type callerLimit struct {
	rate          *rate.Limiter
	maxConcurrent int
	inFlight      int
}

type callerLimitID struct {
	caller settings.Caller
	class  settings.Class
}

// allow counts a request as in flight if the limit permits it. Otherwise it returns the
// retry delay.
func (l *callerLimit) allow(now time.Time) (ok bool, wait time.Duration) {
	if l.maxConcurrent > 0 && l.inFlight >= l.maxConcurrent {
		return false, time.Second
	}
	if l.rate != nil {
		r := l.rate.ReserveN(now, 1)
		if d := r.DelayFrom(now); !r.OK() || d > 0 {
			r.CancelAt(now)
			return false, d
		}
	}
	l.inFlight++
	return true, 0
}
