package dispatch

import (
	"maps"
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
	"citrontray.example/citrontray/internal/target"
)

// limitReportInterval is the time after which a host states a limit again to a home to
// which it has sent no response with it: the datagram may be lost.
const limitReportInterval = time.Second

// observedLimits holds the rate limits that targets stated in responses to this
// host, so that it can pass them on when a pool gets another home.
type observedLimits struct {
	targets map[place.Target]*observedLimit
}

type observedLimit struct {
	advertisedLimit

	pool PoolID
	// invalid is the last limit that could not be parsed, nil if a valid one followed.
	invalid target.Limit
	// reportedTo is the home that was last told of the limit, at reportedAt.
	reportedTo place.Host
	reportedAt time.Time
}

// record records what the response to a request that was sent at sentAt states. It
// reports whether that differs from what was known.
func (o *observedLimits) record(now, sentAt time.Time, pool PoolID, row place.TargetRow, l target.Limit) bool {
	t := o.targets[row.Target]
	if t == nil || t.incarnation != row.Incarnation {
		t = &observedLimit{advertisedLimit: advertisedLimit{incarnation: row.Incarnation}, pool: pool}
	}
	changed := false
	switch l := l.(type) {
	case target.RateLimit:
		first := t.advertisedAt.IsZero()
		changed, _ = t.observe(now, sentAt, l)
		changed, t.invalid = changed || first, nil
	case target.InvalidLimit:
		changed, t.invalid = t.invalid != target.Limit(l), l
	default:
		if _, ended := t.observe(now, sentAt, l); ended {
			delete(o.targets, row.Target)
			return !t.advertisedAt.IsZero()
		}
		return false
	}
	o.targets[row.Target] = t
	return changed
}

// unreported returns the limits of a pool's targets that the home has to be told of.
func (o *observedLimits) unreported(now time.Time, pool PoolID, home place.Host) []Limited {
	var out []Limited
	for _, name := range slices.Sorted(maps.Keys(o.targets)) {
		t := o.targets[name]
		if t.pool != pool || t.advertisedAt.IsZero() || now.Sub(t.advertisedAt) > limitTTL {
			continue
		}
		if t.reportedTo == home && now.Sub(t.reportedAt) < limitReportInterval {
			continue
		}
		t.reportedTo, t.reportedAt = home, now
		out = append(out, Limited{
			Pool: pool, Target: name, Incarnation: t.incarnation, Limit: target.RateLimit{Rate: t.rate}, Age: now.Sub(t.advertisedAt),
		})
	}
	return out
}

// prune removes targets that are no longer listed.
func (o *observedLimits) prune(listed func(place.Target) bool) {
	for name := range o.targets {
		if !listed(name) {
			delete(o.targets, name)
		}
	}
}
