package partition

import (
	"math"
	"time"
)

const (
	// maxSpeedExponent is the exponent of a target's speed in its share of the work up to
	// the utilization roomyUtilization. From there it falls evenly to speedExponent at
	// fullUtilization. With room to spare, requests are late because their target is slow,
	// not because they wait: of targets at 0.6, 1 and 1.4 times the mean speed with two
	// slots, 1.9 % of requests instead of 2.5 % are late or refused at a utilization of
	// 0.3, and 3.3 instead of 3.9 at 0.4. At 0.6 it would be 9.5 instead of 8.1, as measured
	// speeds and loads are off by a tenth. A higher exponent, 2.6, is worse from 0.3 on.
	maxSpeedExponent = 2.2
	roomyUtilization = 0.45
	fullUtilization  = 0.65
	// preferenceRise and preferenceFall are the time constants of the mean utilization when
	// it rises and when it falls. Work must leave the fast targets before they are
	// overloaded, but plans must not follow each swing of the load.
	preferenceRise = time.Second
	preferenceFall = 20 * time.Second
)

// SpeedPreference changes the estimated capacities of targets that report their load, so that
// plans prefer fast targets while there is room to spare. The zero value prefers them no more
// than EstimateTarget does.
type SpeedPreference struct {
	// headroom is 1 minus the mean utilization.
	headroom  float64
	updatedAt time.Time
	// scale keeps the sum of all capacities at what it is without the preference, as plans
	// compare utilizations with fixed values.
	scale float64
	// work is the work that all targets can do at once relative to their speeds, plain and
	// preferred the sums of their capacities without and with the preference, all of the
	// targets since the last Update.
	work, plain, preferred float64
}

// Update sets the work of all targets, in requests running at once at the mean speed. The
// targets that Apply was called with since the last call are all of them.
func (p *SpeedPreference) Update(now time.Time, work float64) {
	if p.work > 0 {
		headroom := 1 - work/p.work
		constant := preferenceFall
		if headroom < p.headroom {
			constant = preferenceRise
		}
		elapsed := min(now.Sub(p.updatedAt), preferenceRise)
		p.headroom = max(p.headroom+float64(elapsed)/float64(constant)*(headroom-p.headroom), 0)
		p.scale = p.plain / p.preferred
	}
	p.updatedAt = now
	p.work, p.plain, p.preferred = 0, 0, 0
}

// Utilization returns the mean utilization, 1 at first.
func (p *SpeedPreference) Utilization() float64 { return 1 - p.headroom }

// Exponent returns the present exponent of a target's speed in its share of the work.
func (p *SpeedPreference) Exponent() float64 {
	room := (fullUtilization - p.Utilization()) / (fullUtilization - roomyUtilization)
	return speedExponent + (maxSpeedExponent-speedExponent)*min(max(room, 0), 1)
}

// Apply returns the target with the present preference. Its capacity is an estimate without one,
// after the hysteresis of CapacityFilter: that would keep the preference of another load.
func (p *SpeedPreference) Apply(t Target, slots int) Target {
	all := float64(max(slots, 1))
	speed := math.Pow(t.Capacity/all, 1/speedExponent)
	preferred := all * math.Pow(speed, p.Exponent())
	p.work += all * speed
	p.plain += t.Capacity
	p.preferred += preferred
	if p.scale > 0 {
		preferred *= p.scale
	}
	t.Capacity, t.RelStdDev = preferred, t.RelStdDev*p.Exponent()/speedExponent
	return t
}
