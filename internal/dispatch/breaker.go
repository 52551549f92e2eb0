package dispatch

import (
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// breakerThreshold is how many targets of one zone must be out of reach in a row
	// for the whole zone to count as cut off: single ones crash.
	breakerThreshold = 3
	// breakerProbeInterval is the time between two requests that find out whether it still
	// is.
	breakerProbeInterval = 300 * time.Millisecond
)

// breakers are the zones that this host can't reach. They answer a zone that is
// cut off: each host has hundreds of targets there, and would find out one by
// one, at the cost of a connect timeout a request, that none can be reached. They
// count only in pools whose homes can't be reached either.
type breakers struct{ zones map[place.Zone]*breaker }

type breaker struct {
	// failed are the targets that took no connection since one last answered.
	failed map[place.Target]struct{}
	// probeAt is when the next request may try.
	probeAt time.Time
}

func newBreakers() *breakers { return &breakers{zones: make(map[place.Zone]*breaker)} }

// available reports whether a target of the zone may be tried now.
func (c *breakers) available(now time.Time, zone place.Zone) bool {
	z := c.zones[zone]
	return z == nil || len(z.failed) < breakerThreshold || !now.Before(z.probeAt)
}

// attempted notes that a request goes to the zone.
func (c *breakers) attempted(now time.Time, zone place.Zone) {
	if z := c.zones[zone]; z != nil {
		z.probeAt = now.Add(breakerProbeInterval)
	}
}

// connectFailed notes that a target of the zone took no connection.
func (c *breakers) connectFailed(now time.Time, zone place.Zone, name place.Target) {
	z := c.zones[zone]
	if z == nil {
		z = &breaker{failed: make(map[place.Target]struct{})}
		c.zones[zone] = z
	}
	z.failed[name] = struct{}{}
	z.probeAt = now.Add(breakerProbeInterval)
}

// reset notes that a target of the zone answered.
func (c *breakers) reset(zone place.Zone) { delete(c.zones, zone) }
