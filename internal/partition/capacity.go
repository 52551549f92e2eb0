package partition

import (
	"math"
	"time"

	"citrontray.example/citrontray/internal/place"
)

// speedExponent is the power of a target's speed by which it gets work. At equal use
// a slow target is late more often, as its own time takes more of the aim: of
// targets at 0.6, 1 and 1.4 of the mean speed, all at 0.7 of what they can do,
// 0.82, 0.96 and 0.98 of the requests' worth is earned.
const speedExponent = 1.4

// Capacity returns the work that a target should have, as a share of what all
// have, from its slots and its speed over the mean.
func Capacity(slots int, speed float64) float64 {
	return float64(max(slots, 1)) * math.Pow(speed, speedExponent)
}

// Sample is what a target's own requests show of its speed.
type Sample struct {
	// MeanTime is the mean time of a request, Requests how many it rests on.
	MeanTime time.Duration
	Requests float64
}

const (
	// relTimeVariance is the variance of the time of one request, as a share of the
	// mean time squared: times vary by half to nine tenths of their mean, and one
	// in a hundred takes several times as long.
	relTimeVariance = 0.5
	// priorRequests is how many requests the mean of all targets counts as, beside
	// a target's own: no more than it takes to bear the first one, as targets'
	// speeds differ by two times and more.
	priorRequests = 1
	// maxSpeed bounds how much faster than the mean a target counts, so that one
	// lucky target does not get everything.
	maxSpeed = 3
)

// EstimateTarget returns the target's capacity by its own requests, as far as these
// tell, where a request takes the mean time at the average target.
func EstimateTarget(name place.Target, slots int, s Sample, mean time.Duration) Target {
	known := s.Requests + priorRequests
	took := (float64(s.MeanTime)*s.Requests + float64(mean)*priorRequests) / known
	speed := min(float64(mean)/max(took, 1), maxSpeed)
	return Target{Name: name, Capacity: Capacity(slots, speed), RelStdDev: speedExponent * math.Sqrt(relTimeVariance/known)}
}

const (
	// minCapacityBand is how far a target's measured capacity must be from the one
	// that plans go by, as a share of it, to replace it: one standard deviation of
	// what it was measured as, and not less than this.
	minCapacityBand = 0.2
)

// CapacityFilter steadies the measured capacities of targets.
type CapacityFilter struct{ known map[place.Target]float64 }

// Apply returns the target as plans should go by it, and whether that is another
// capacity than before.
func (c *CapacityFilter) Apply(measured Target) (steady Target, changed bool) {
	if c.known == nil {
		c.known = make(map[place.Target]float64)
	}
	last, ok := c.known[measured.Name]
	band := max(minCapacityBand, measured.RelStdDev)
	if ok && math.Abs(measured.Capacity-last) <= band*last {
		measured.Capacity = last
		return measured, false
	}
	c.known[measured.Name] = measured.Capacity
	return measured, true
}

// Retain forgets the targets that are not there any more.
func (c *CapacityFilter) Retain(there func(place.Target) bool) {
	for name := range c.known {
		if !there(name) {
			delete(c.known, name)
		}
	}
}
