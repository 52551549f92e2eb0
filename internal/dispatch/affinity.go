package dispatch

import (
	"slices"
	"time"

	"citrontray.example/citrontray/internal/place"
)

const (
	// newConnectionCost is what a target costs on top to which the asking host has
	// probably no free connection, as a share of the request's mean time. Opening
	// one is billed as a fortieth of a request; times of equal targets differ by
	// a seventh by chance.
	newConnectionCost = 0.35
	// connectionIdleTimeout is how long a connection is expected to be kept unused.
	// Hosts keep theirs for 15 s, targets about as long.
	connectionIdleTimeout = 10 * time.Second
	// maxAffinityEntries is how many targets are remembered of each host. One that runs
	// eight requests at a time needs no more.
	maxAffinityEntries = 32
)

// affinityEntry is a target that a host was sent to.
type affinityEntry struct {
	target *targetState
	usedAt time.Time
	// inFlight is how many requests the host has there, most how many it had at
	// once: it opened as many connections.
	inFlight, peak int
}

// affinity are the last targets of each host, the newest last. Homes are not told
// of connections; they go by where they sent each host.
type affinity map[place.Host][]affinityEntry

// begin notes that a request of the host is at a target.
func (v affinity) begin(now time.Time, host place.Host, at *targetState) {
	known := slices.DeleteFunc(v[host], func(o affinityEntry) bool { return o.inFlight == 0 && now.Sub(o.usedAt) > connectionIdleTimeout })
	v[host] = known
	o := affinityEntry{target: at}
	if i := v.index(host, at); i >= 0 {
		o = known[i]
		known = slices.Delete(known, i, i+1)
	} else if len(known) == maxAffinityEntries {
		known = slices.Delete(known, 0, 1)
	}
	o.usedAt = now
	o.inFlight++
	o.peak = max(o.peak, o.inFlight)
	v[host] = append(known, o)
}

// finish notes that a request of the host is no longer at a target.
func (v affinity) finish(now time.Time, host place.Host, at *targetState) {
	if i := v.index(host, at); i >= 0 && v[host][i].inFlight > 0 {
		v[host][i].inFlight--
		v[host][i].usedAt = now
	}
}

func (v affinity) index(host place.Host, at *targetState) int {
	return slices.IndexFunc(v[host], func(o affinityEntry) bool { return o.target == at })
}

// mark marks the targets to which a host probably has a free connection.
func (v affinity) mark(now time.Time, host place.Host, mark uint64) {
	for _, o := range v[host] {
		if o.inFlight < o.peak && now.Sub(o.usedAt) <= connectionIdleTimeout {
			o.target.connMark = mark
		}
	}
}
