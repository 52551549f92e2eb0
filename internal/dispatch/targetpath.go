package dispatch

import (
	"maps"
	"time"

	"citrontray.example/citrontray/internal/path"
	"citrontray.example/citrontray/internal/place"
)

const (
	// pathBackoff is how long after a failure to connect the same host gets no slot of the
	// target if there are others. A host asks for the only target of a pool if it has a path.
	pathBackoff = time.Second
	// evidenceAge is how long a failure to connect counts as evidence that the target is
	// down.
	evidenceAge = 2 * time.Second
	// minDownHosts is how many hosts must fail to connect, with no response of the target in
	// between, for the target to count as down. One alone may have lost its path.
	minDownHosts = 2
)

// PathEvent returns what the result of an attempt shows about the path to the target, and
// false if nothing.
func (r Result) PathEvent() (path.Event, bool) {
	switch r {
	case ResultServed, ResultFailed, ResultBusy, ResultMisdirected:
		return path.Responded, true
	case ResultUnreachable:
		return path.Unreachable, true
	case ResultTimeout, ResultCut:
		return path.Silent, true
	case ResultUnused:
	}
	return 0, false
}

// targetPaths is what a home knows of the paths from hosts to one target.
type targetPaths struct {
	// failed maps the hosts that could not connect to the time of their last failure.
	failed map[place.Host]time.Time
	// respondedAt is when the target last responded to any host.
	respondedAt time.Time
}

// responded records that the target responded to a host.
func (p *targetPaths) responded(now time.Time, host place.Host) {
	p.respondedAt = now
	delete(p.failed, host)
}

// connectFailed records that a host could not connect in an attempt that started at sentAt.
// It returns the number of hosts whose failures are evidence that the target is down, zero
// if it responded to another host since then.
func (p *targetPaths) connectFailed(now, sentAt time.Time, host place.Host) int {
	if p.failed == nil {
		p.failed = make(map[place.Host]time.Time)
	}
	p.failed[host] = now
	maps.DeleteFunc(p.failed, func(_ place.Host, at time.Time) bool { return now.Sub(at) > evidenceAge })
	if p.respondedAt.After(sentAt) {
		return 0
	}
	hosts := 0
	for _, at := range p.failed {
		if at.After(p.respondedAt) {
			hosts++
		}
	}
	return hosts
}

// lost reports whether the host could not connect a moment ago.
func (p *targetPaths) lost(now time.Time, host place.Host) bool {
	at, ok := p.failed[host]
	return ok && now.Sub(at) < pathBackoff
}
