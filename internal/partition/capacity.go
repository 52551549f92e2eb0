package partition

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// speedExponent is the exponent of a target's speed in its share of the work. At equal
// utilization a slow target exceeds the latency objective more often, as its own
// request times take more of it: of targets at 0.6, 1 and 1.4 times the mean speed, all
// at a utilization of 0.7, requests earn 0.82, 0.96 and 0.98 of their utility.
const speedExponent = 1.4

// Capacity returns the relative amount of work that a target should have, from its
// number of slots and its speed relative to the mean.
func Capacity(slots int, speed float64) float64 {
	return float64(max(slots, 1)) * math.Pow(speed, speedExponent)
}

// Sample summarizes the times of a target's own requests.
type Sample struct {
	// MeanTime is the mean time of a request, Requests the number of requests that it
	// is the mean of.
	MeanTime time.Duration
	Requests float64
}

const (
	// relTimeVariance is the variance of the time of a request, relative to the square
	// of its mean. The standard deviation of the times is half to nine tenths of their
	// mean, and one in a hundred takes several times as long.
	relTimeVariance = 0.5
	// priorRequests is the weight of the mean of all targets beside a target's own
	// requests, as a number of requests. It is just enough to damp the first request,
	// as the speeds of targets differ by a factor of two and more.
	priorRequests = 1
	// maxSpeed bounds the speed of a target relative to the mean, so that a target
	// whose first requests were short by chance does not get all work.
	maxSpeed = 3
)

// EstimateTarget estimates the target's capacity from the times of its own requests,
// and from the mean time of a request at the average target as a prior.
func EstimateTarget(name place.Target, slots int, s Sample, mean time.Duration) Target {
	weight := s.Requests + priorRequests
	estimate := (float64(s.MeanTime)*s.Requests + float64(mean)*priorRequests) / weight
	speed := min(float64(mean)/max(estimate, 1), maxSpeed)
	return Target{Name: name, Capacity: Capacity(slots, speed), RelStdDev: speedExponent * math.Sqrt(relTimeVariance/weight)}
}

const (
	// spansPerRate is the number of ranges that a target with a rate limit should
	// own, for each request per second that it accepts. The target may count the
	// orders that renew its ranges.
	spansPerRate = 0.6
	// minOpenLimit is the lowest limit, in requests per second, of a target that owns
	// ranges. The renewals of a single range come nearly as often.
	minOpenLimit target.Rate = 1
)

// WithLimit returns the target with the capacity that its rate limit leaves, if a
// request takes the mean time.
func (t Target) WithLimit(limit target.Rate, mean time.Duration) Target {
	if capacity := float64(max(limit, minOpenLimit)) * mean.Seconds(); capacity < t.Capacity {
		t.Capacity, t.RelStdDev = capacity, 0
	}
	t.MaxSpans = max(int(spansPerRate*float64(limit)), 1)
	t.Closed = limit < minOpenLimit
	return t
}

// WithColdRate returns the target with the capacity that it has while it is cold, if a request
// takes the mean time. Orders don't count, so the number of its ranges is not limited.
func (t Target) WithColdRate(rate target.Rate, mean time.Duration) Target {
	if capacity := float64(max(rate, minOpenLimit)) * mean.Seconds(); capacity < t.Capacity {
		t.Capacity, t.RelStdDev = capacity, 0
	}
	return t
}

const (
	// minCapacityBand is the least relative change of a measured capacity that replaces
	// the value used in plans. The change must also exceed one standard deviation of
	// the measured value.
	minCapacityBand = 0.2
)

// CapacityFilter applies hysteresis to the measured capacities of targets, so that
// noise alone moves few ranges.
type CapacityFilter struct{ known map[place.Target]float64 }

// Apply returns the target with the capacity to use in plans, and whether that capacity
// has changed.
func (c *CapacityFilter) Apply(measured Target) (filtered Target, changed bool) {
	if c.known == nil {
		c.known = make(map[place.Target]float64)
	}
	used, ok := c.known[measured.Name]
	band := max(minCapacityBand, measured.RelStdDev)
	if ok && math.Abs(measured.Capacity-used) <= band*used {
		measured.Capacity = used
		return measured, false
	}
	c.known[measured.Name] = measured.Capacity
	return measured, true
}

// Retain drops the targets for which listed returns false.
func (c *CapacityFilter) Retain(listed func(place.Target) bool) {
	for name := range c.known {
		if !listed(name) {
			delete(c.known, name)
		}
	}
}
