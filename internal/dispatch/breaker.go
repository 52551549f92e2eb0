package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// breakerThreshold is how many distinct targets of a zone must fail to connect,
	// with no response of the zone in between, to open the zone's breaker. Single
	// failures are more likely crashed targets.
	breakerThreshold = 3
	// breakerProbeInterval is the time between two requests that probe a zone whose
	// breaker is open.
	breakerProbeInterval = 300 * time.Millisecond
)

// breakers holds a circuit breaker for each zone. Without them, a host that is
// partitioned from a zone with hundreds of targets would find each of them
// unreachable in turn, at the cost of one connect timeout per request. They apply
// only to pools for which this host is isolated from every other home.
type breakers struct{ zones map[place.Zone]*breaker }

// breaker is the circuit breaker of one zone.
type breaker struct {
	// failed holds the targets that failed to connect since the zone's last response.
	failed map[place.Target]struct{}
	// probeAt is when the next request may probe the zone.
	probeAt time.Time
}

func newBreakers() *breakers { return &breakers{zones: make(map[place.Zone]*breaker)} }

// available reports whether a request may be sent to the zone now.
func (b *breakers) available(now time.Time, zone place.Zone) bool {
	z := b.zones[zone]
	return z == nil || len(z.failed) < breakerThreshold || !now.Before(z.probeAt)
}

// attempted records that a request is sent to the zone.
func (b *breakers) attempted(now time.Time, zone place.Zone) {
	if z := b.zones[zone]; z != nil {
		z.probeAt = now.Add(breakerProbeInterval)
	}
}

// connectFailed records that no connection to a target of the zone could be made.
func (b *breakers) connectFailed(now time.Time, zone place.Zone, name place.Target) {
	z := b.zones[zone]
	if z == nil {
		z = &breaker{failed: make(map[place.Target]struct{})}
		b.zones[zone] = z
	}
	z.failed[name] = struct{}{}
	z.probeAt = now.Add(breakerProbeInterval)
}

// reset closes the zone's breaker after a response from one of its targets.
func (b *breakers) reset(zone place.Zone) { delete(b.zones, zone) }
