package dispatch

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

const (
	// reorderWindow is how long after a response with a limit another one, to a
	// request sent before, may still state an older limit or none: responses overtake
	// each other on their way to the home.
	reorderWindow = 500 * time.Millisecond
	// limitTTL is how long a limit is assumed without a response of its target.
	limitTTL = 30 * time.Second
	// minLimitRate is the lowest rate that is used, in requests per second: only a
	// response shows that a limit has ended.
	minLimitRate target.Rate = 0.1
	// burstTime is the time in which the tokens of a full bucket accumulate. A bucket
	// holds at least minBurst tokens, one of which is reserved for urgent requests,
	// or a single one below slowRate requests per second.
	burstTime             = 300 * time.Millisecond
	minBurst              = 2
	slowRate  target.Rate = 0.5
	// orderAllowance is the rate of orders, as a share of the limit, that a target
	// accepts beside the requests. A higher one is subtracted from the requests, of
	// which at least minRequestShare remains.
	orderAllowance  = 0.5
	minRequestShare = 0.25
	// contentionWeight is the weight of the newest token in a limiter's contention.
	contentionWeight = 0.3
	// useDecay is the decay time of the measured rate at which tokens are taken.
	useDecay = 2 * time.Second
	// minReturnShare is the least share of the rate at which refused requests are told
	// to return.
	minReturnShare = 0.1
	// maxReturnWait is the share of the time to its deadline for which a client waits
	// before it returns.
	maxReturnWait = 1.0 / 3
	// maxLimitRetryAfter is the longest retry delay.
	maxLimitRetryAfter = 30 * time.Second
)

// advertisedLimit is the rate limit of one incarnation of a target, as stated by its
// responses.
type advertisedLimit struct {
	incarnation place.Incarnation
	rate        target.Rate
	// since is when the first response advertised a limit, advertisedAt when the last one did.
	since, advertisedAt time.Time
}

// observe applies what the response to a request that was sent at sentAt states. It
// reports whether the rate changed and whether the limit has ended.
func (n *advertisedLimit) observe(now, sentAt time.Time, l target.Limit) (changed, ended bool) {
	outdated := !sentAt.After(n.advertisedAt) && now.Sub(n.advertisedAt) < reorderWindow
	switch l := l.(type) {
	case target.RateLimit:
		if outdated && l.Rate > n.rate {
			return false, false
		}
		changed = n.rate != l.Rate
		n.rate, n.advertisedAt = l.Rate, now
	case target.NoLimit:
		ended = !outdated
	case target.InvalidLimit:
	}
	return changed, ended
}

// limiter enforces the limit of one target at the home of its pool, as a token bucket.
type limiter struct {
	advertisedLimit

	pool PoolID
	// source is the host that received the response that first advertised the limit.
	source place.Host
	tokens float64
	// filledAt is when tokens were last added, filledRate the rate since then.
	filledAt   time.Time
	filledRate target.Rate
	// size is the number of tokens that the bucket holds; zero if it follows from the rate.
	size float64
	// use is a moving average of the tokens taken per second.
	use float64
	// returnAt is when the last refused request was told to return.
	returnAt time.Time
	// lowest is the lowest rate that was allowed.
	lowest target.Rate
	// refused counts the requests that were refused because of the limit, refusedBefore
	// those until the last token was taken.
	refused, refusedBefore int
	// contention is a moving average of how often requests were refused between two
	// tokens, from 0 to 1.
	contention float64
}

// newLimiter returns a limiter without tokens: it is not known what other homes have
// sent the target just now.
func newLimiter(now, advertisedAt time.Time, pool PoolID, inc place.Incarnation, rate target.Rate, source place.Host) *limiter {
	return &limiter{
		advertisedLimit: advertisedLimit{incarnation: inc, rate: rate, since: advertisedAt, advertisedAt: advertisedAt},
		pool:            pool, source: source, filledAt: now, returnAt: now, contention: 1,
	}
}

// allowed returns the rate of requests that this home may send.
func (l *limiter) allowed(share float64, orders target.Rate) target.Rate {
	rate := max(l.rate-max(orders-orderAllowance*l.rate, 0), minRequestShare*l.rate)
	return target.Rate(share) * max(rate, minLimitRate)
}

// ttl returns how long the limit is assumed without a response: limitTTL, or the time of
// a few requests at the lowest rate, if that is longer.
func (l *limiter) ttl() time.Duration {
	const requests = 3
	if l.lowest <= 0 {
		return limitTTL
	}
	return max(limitTTL, time.Duration(requests/float64(l.lowest)*float64(time.Second)))
}

// burst returns the number of tokens that a bucket holds.
func burst(rate target.Rate) float64 {
	if rate < slowRate {
		return 1
	}
	return max(minBurst, float64(rate)*burstTime.Seconds())
}

// refill adds the tokens for the time since the last call, at the rate of that call, and
// sets the rate from now on. The first call adds up to one token for the time since a
// response last confirmed the limit, as no other home has sent the target much since.
func (l *limiter) refill(now time.Time, rate target.Rate) {
	if now.Before(l.filledAt) {
		now = l.filledAt // a caller with an earlier time must not add the tokens since then twice
	}
	seconds := now.Sub(l.filledAt).Seconds()
	if l.filledRate == 0 {
		l.tokens = min(float64(rate)*max(now.Sub(l.advertisedAt), 0).Seconds(), 1)
	}
	size := l.size
	if size == 0 {
		size = burst(rate)
	}
	l.tokens = min(l.tokens+float64(l.filledRate)*seconds, size)
	l.filledAt, l.filledRate = now, rate
	if l.lowest == 0 || rate < l.lowest {
		l.lowest = rate
	}
	l.use *= math.Exp(-seconds / useDecay.Seconds())
}

// take takes a token.
func (l *limiter) take() {
	l.tokens--
	l.use += 1 / useDecay.Seconds()
	contended := 0.0
	if l.refused > l.refusedBefore {
		contended = 1
	}
	l.contention += contentionWeight * (contended - l.contention)
	l.refusedBefore = l.refused
}

// refund returns the token of a request that was not sent.
func (l *limiter) refund() { l.tokens++ }

// retryAfter returns the retry delay of a request that is refused and would have to wait
// for a token until now + wait. Returns are spread at the rate that new requests leave
// unused. A request that can't return in time is told to stay away for longer, so that
// it does not compete with those that can.
func (l *limiter) retryAfter(now time.Time, wait, left time.Duration, rate target.Rate) time.Duration {
	l.refused++
	room := max(float64(rate)-l.use, minReturnShare*float64(rate))
	at := l.returnAt.Add(seconds(1 / room))
	if earliest := now.Add(max(wait, minRetryAfter)); at.Before(earliest) {
		at = earliest
	}
	delay := at.Sub(now)
	if delay <= time.Duration(maxReturnWait*float64(left)) {
		l.returnAt = at
		return delay
	}
	return min(delay+time.Duration(spread(l.refused)*float64(delay)), maxLimitRetryAfter)
}

// spread returns the nth of a sequence of numbers from 0 to 1 that are evenly
// distributed, whatever its length.
func spread(n int) float64 {
	_, fraction := math.Modf(float64(n) * math.Phi)
	return fraction
}

// seconds returns a number of seconds as a duration, at most maxLimitRetryAfter.
func seconds(n float64) time.Duration {
	return time.Duration(min(n, maxLimitRetryAfter.Seconds()) * float64(time.Second))
}
