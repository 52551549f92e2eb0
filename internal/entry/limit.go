package entry

import (
	"time"

	"golang.org/x/time/rate"

	"citrontray.example/citrontray/internal/settings"
)

// Retry budget: resends are bounded to a tenth of the requests, so that many
// failures at once do not multiply the load.
const (
	retryBudgetRatio = 0.1
	retryBudgetBurst = 20
)

// retryBudget bounds resends. It is not safe for concurrent use.
type retryBudget struct{ tokens float64 }

func newRetryBudget() retryBudget { return retryBudget{tokens: retryBudgetBurst} }

// countRequest counts one request.
func (b *retryBudget) countRequest() { b.tokens = min(b.tokens+retryBudgetRatio, retryBudgetBurst) }

// withdraw takes the right to one resend, if there is one.
func (b *retryBudget) withdraw() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Adaptive concurrency: a whole answer raises the limit a little, a refusal
// for want of a slot lowers it.
const (
	additiveIncrease       = 0.1
	multiplicativeDecrease = 0.7
)

// concurrencyLimit is the number of requests that this entry host sends to one target
// at once. It is not safe for concurrent use.
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

// current returns the concurrency at a time, which ramps up from 1 while the
// target is cold.
func (l *concurrencyLimit) current(now, since time.Time, warmUp time.Duration) int {
	n := int(l.limit + 0.5)
	age := now.Sub(since)
	if since.IsZero() || warmUp <= 0 || age >= warmUp {
		return n
	}
	ramp := 1 + int(float64(l.slots-1)*float64(max(age, 0))/float64(warmUp))
	return min(n, ramp)
}

// The weights of the newest service time in its decayed mean and deviation,
// and the deviations above the mean within which most requests are served.
const (
	meanWeight      = 0.1
	deviationWeight = 0.1
	upperDeviations = 2
)

// serviceTime estimates how long a target takes for one request.
type serviceTime struct{ mean, deviation time.Duration }

func (s *serviceTime) add(took time.Duration) {
	off := took - s.mean
	s.mean += time.Duration(meanWeight * float64(off))
	s.deviation += time.Duration(deviationWeight * float64(off.Abs()-s.deviation))
}

// upper returns the time within which most requests are served.
func (s *serviceTime) upper() time.Duration { return s.mean + upperDeviations*s.deviation }

// backlogInterval estimates the time between two requests served while more wait.
type backlogInterval struct {
	last time.Time // zero where nothing waited
	mean time.Duration
}

// add counts a request served at now; waiting tells whether more wait.
func (p *backlogInterval) add(now time.Time, waiting bool) {
	if !p.last.IsZero() {
		p.mean += time.Duration(meanWeight * float64(now.Sub(p.last)-p.mean))
	}
	p.last = time.Time{}
	if waiting {
		p.last = now
		return
	}
	p.mean = 0
}

// estimate returns the estimate, zero where nothing waits.
func (p *backlogInterval) estimate() time.Duration { return p.mean }

// callerLimit is one settings.Limit at this entry host.
type callerLimit struct {
	rate          *rate.Limiter
	maxConcurrent int
	inFlight      int
}

type callerLimitID struct {
	caller settings.Caller
	class  settings.Class
}

// allow takes the right to one request; wait tells when to come back.
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
