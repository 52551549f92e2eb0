package host

import (
	"log/slog"
	"math"
	"time"

	"citrontray.example/citrontray/internal/key"
	"citrontray.example/citrontray/internal/partition"
)

// updatePreference updates the preference for fast targets. It reports whether it applies: if
// the service's targets report their load. The leader knows that from responses to its own
// requests, as load reports of earlier builds don't state it.
func (c *controller) updatePreference(now time.Time) bool {
	if !c.host.dispatcher.reportsLoad(c.service) {
		c.preference = partition.SpeedPreference{}
		return false
	}
	c.preference.Update(now, c.load.Work(key.FullRange()))
	const logged = 0.3 // a smaller change of the exponent moves little work
	if exponent := c.preference.Exponent(); math.Abs(exponent-c.loggedExponent) >= logged {
		c.log.Info("Preference for fast targets changed.", slog.Float64("exponent", exponent), slog.Float64("was", c.loggedExponent),
			slog.Float64("utilization", c.preference.Utilization()))
		c.loggedExponent = exponent
	}
	return true
}
